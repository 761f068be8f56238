// Tests command lines, exit codes and help texts.

#include <boost/test/unit_test.hpp>
#include <ibiswall/cli.hpp>
#include <iostream>
#include <sstream>

namespace ibiswall {

namespace {

// Captures the output of a standard stream during its lifetime.
class StreamCapture
{
public:
    explicit StreamCapture(std::ostream &stream)
        : stream_(stream)
        , previous_(stream.rdbuf(text_.rdbuf()))
    {
    }

    ~StreamCapture()
    {
        stream_.rdbuf(previous_);
    }

    StreamCapture(const StreamCapture &) = delete;
    StreamCapture &operator=(const StreamCapture &) = delete;

    std::string text() const
    {
        return text_.str();
    }

private:
    std::ostream &stream_;
    std::ostringstream text_;
    std::streambuf *previous_;
};

struct CommandResult
{
    int exit_ = 0;
    std::string out_;
    std::string errors_;
};

CommandResult run(const std::vector<std::string> &arguments)
{
    const StreamCapture out(std::cout);
    const StreamCapture errors(std::cerr);
    const int exit = runCommand(arguments);
    return {exit, out.text(), errors.text()};
}

struct UsageCase
{
    std::vector<std::string> arguments_;
    int exit_;
    const char *error_;
};

const std::vector<std::string> commands = {"entry", "agent", "check-settings", "submit", "cancel", "plan", "confirm", "status", "audit"};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(options)

BOOST_AUTO_TEST_CASE(every_command_has_help)
{
    const CommandResult all = run({"--help"});
    BOOST_TEST(all.exit_ == 0);
    BOOST_TEST(contains(all.out_, "5 cannot listen"));
    for (const std::string &command : commands) {
        BOOST_TEST(contains(all.out_, "  " + command));
        const CommandResult help = run({command, "--help"});
        BOOST_TEST(help.exit_ == 0);
        BOOST_TEST(contains(help.out_, "usage: ibiswall " + command));
        BOOST_TEST(help.errors_.empty());
    }
}

BOOST_AUTO_TEST_CASE(help_states_units_of_times)
{
    BOOST_TEST(contains(run({"submit", "--help"}).out_, "in ms"));
    BOOST_TEST(contains(run({"plan", "--help"}).out_, "may start, in ms"));
}

BOOST_AUTO_TEST_CASE(errors_name_the_invalid_argument)
{
    const std::vector<UsageCase> cases = {
        {{}, 2, "usage: ibiswall COMMAND"},
        {{"fly"}, 2, "unknown command \"fly\""},
        {{"status"}, 2, "--entry"},
        {{"status", "--entry", "127.0.0.1:1"}, 2, "--token"},
        {{"status", "--entry", "nowhere", "--token", "x"}, 2, "--entry: "},
        {{"status", "--entry", "127.0.0.1:1", "--token", "x", "--timeout-ms", "soon"}, 2, "--timeout-ms"},
        {{"status", "--entry", "127.0.0.1:1", "--token", "x", "--timeout-ms", "0"}, 2, "--timeout-ms: must be at least 1"},
        {{"status", "--entry", "127.0.0.1:1", "--token", "x", "--colour"}, 2, "--colour"},
        {{"submit", "--entry", "127.0.0.1:1", "--token", "x"}, 2, "--file, or --kind and --task"},
        {{"submit", "--entry", "127.0.0.1:1", "--token", "x", "--kind", "k"}, 2, "--file, or --kind and --task"},
        {{"submit", "--entry", "127.0.0.1:1", "--token", "x", "--kind", "k", "--file", "f"}, 2, "--file takes the place"},
        {{"submit", "--entry", "127.0.0.1:1", "--token", "x", "--file", "/no/such"}, 2, "--file: /no/such cannot be read"},
        {{"plan", "--entry", "127.0.0.1:1", "--token", "x", "--op", "explode", "--name", "n"}, 2, "unknown operation \"explode\""},
        {{"entry"}, 2, "--settings"},
        {{"entry", "/no/such"}, 3, "/no/such: cannot be read"},
        {{"check-settings", "/no/such"}, 3, "/no/such: cannot be read"},
        {{"status", "--entry", "127.0.0.1:1", "--token", "x"}, 4, "cannot connect: 127.0.0.1:1"},
        {{"submit", "--entry", "127.0.0.1:1", "--token", "x", "--kind", "k", "--task", "t"}, 4, "cannot connect: 127.0.0.1:1"},
    };
    for (const UsageCase &each : cases) {
        const CommandResult result = run(each.arguments_);
        BOOST_TEST(result.exit_ == each.exit_, each.error_ << ": " << result.exit_ << ", " << result.errors_);
        BOOST_TEST(contains(result.errors_, each.error_), each.error_ << ": " << result.errors_);
        BOOST_TEST(result.out_.empty());
    }
}

BOOST_AUTO_TEST_CASE(check_settings_prints_json)
{
    const CommandResult bad = run({"check-settings", "--json", "/no/such"});
    BOOST_TEST(bad.exit_ == 3);
    BOOST_TEST(bad.out_ == "{\"ok\":false,\"problems\":[\"/no/such: cannot be read\"]}\n");
    const CommandResult good = run({"check-settings", "--json", PROJECT_FOLDER "/examples/kowalchuk/entry-1.json"});
    BOOST_TEST(good.exit_ == 0);
    BOOST_TEST(good.out_ == "{\"ok\":true,\"problems\":[]}\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
