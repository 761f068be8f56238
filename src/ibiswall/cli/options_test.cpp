// Checks command lines, exit codes and help.

#include <boost/test/unit_test.hpp>
#include <ibiswall/cli.hpp>
#include <iostream>
#include <sstream>

namespace ibiswall {

namespace {

// Takes the place of a standard stream while it lives.
class Capture
{
public:
    explicit Capture(std::ostream &stream)
        : stream_(stream)
        , previous_(stream.rdbuf(text_.rdbuf()))
    {
    }

    ~Capture()
    {
        stream_.rdbuf(previous_);
    }

    Capture(const Capture &) = delete;
    Capture &operator=(const Capture &) = delete;

    std::string text() const
    {
        return text_.str();
    }

private:
    std::ostream &stream_;
    std::ostringstream text_;
    std::streambuf *previous_;
};

struct Ran
{
    int exit_ = 0;
    std::string out_;
    std::string errors_;
};

Ran run(const std::vector<std::string> &arguments)
{
    const Capture out(std::cout);
    const Capture errors(std::cerr);
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
    const Ran all = run({"--help"});
    BOOST_TEST(all.exit_ == 0);
    BOOST_TEST(contains(all.out_, "5 cannot listen"));
    for (const std::string &command : commands) {
        BOOST_TEST(contains(all.out_, "  " + command));
        const Ran help = run({command, "--help"});
        BOOST_TEST(help.exit_ == 0);
        BOOST_TEST(contains(help.out_, "usage: ibiswall " + command));
        BOOST_TEST(help.errors_.empty());
    }
}

BOOST_AUTO_TEST_CASE(times_name_their_unit)
{
    BOOST_TEST(contains(run({"submit", "--help"}).out_, "in ms"));
    BOOST_TEST(contains(run({"plan", "--help"}).out_, "may start, in ms"));
}

BOOST_AUTO_TEST_CASE(mistakes_name_the_thing)
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
        const Ran ran = run(each.arguments_);
        BOOST_TEST(ran.exit_ == each.exit_, each.error_ << ": " << ran.exit_ << ", " << ran.errors_);
        BOOST_TEST(contains(ran.errors_, each.error_), each.error_ << ": " << ran.errors_);
        BOOST_TEST(ran.out_.empty());
    }
}

BOOST_AUTO_TEST_CASE(settings_are_judged_for_scripts)
{
    const Ran bad = run({"check-settings", "--json", "/no/such"});
    BOOST_TEST(bad.exit_ == 3);
    BOOST_TEST(bad.out_ == "{\"ok\":false,\"problems\":[\"/no/such: cannot be read\"]}\n");
    const Ran good = run({"check-settings", "--json", PROJECT_FOLDER "/examples/kowalchuk/entry-1.json"});
    BOOST_TEST(good.exit_ == 0);
    BOOST_TEST(good.out_ == "{\"ok\":true,\"problems\":[]}\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
