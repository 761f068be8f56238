// Checks that every problem of a settings file is named at once.

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <ibiswall/settings.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

const char *const goodEntry = R"({
    "role": "entry", "name": "entry-1", "failure_domain": "east",
    "callers_address": "127.0.0.1:1", "links_address": "127.0.0.1:2", "platform_addresses": ["127.0.0.1:3"],
    "peers": [{"name": "entry-2", "links_address": "127.0.0.1:4"}],
    "members": [{"name": "studio", "token": "studio-token"}], "operators": [{"name": "ops", "token": "ops-token"}]
})";

const char *const goodAgent = R"({
    "role": "agent", "target": "t1", "worker": "w1", "failure_domain": "east", "slots": 8,
    "target_address": "127.0.0.1:5", "health_address": "127.0.0.1:0", "entry_addresses": ["127.0.0.1:2"]
})";

// A change that spoils good settings, and what is said about it.
struct Broken
{
    const char *settings_;
    const char *patch_;
    const char *problem_;
};

const Broken brokenSettings[] = {
    {goodEntry, R"({"name": "entry-2"})", "peers[0].name: \"entry-2\" is this entry"},
    {goodEntry, R"({"peers": [{"name": "e", "links_address": "127.0.0.1:8"}, {"name": "e", "links_address": "127.0.0.1:9"}]})",
     "peers[1].name: \"e\" is given twice"},
    {goodEntry, R"({"peers": [{"name": "e", "links_address": "127.0.0.1:2"}]})", "peers[0].links_address: 127.0.0.1:2 is given twice"},
    {goodEntry, R"({"peers": [{"name": "e", "links_address": "127.0.0.1:0"}]})", "peers[0].links_address: 127.0.0.1:0: port 0"},
    {goodEntry, R"({"peers": [{"name": "e", "links_address": "127.0.0.1:8", "x": 1}]})", "peers[0].x: unknown key"},
    {goodEntry, R"({"peers": 5})", "peers: an array is required"},
    {goodEntry, R"({"peers": [5]})", "peers[0]: an object is required"},
    {goodEntry, R"({"links_address": "127.0.0.1:0"})", "links_address: 127.0.0.1:0: port 0"},
    {goodEntry, R"({"callers_address": "localhost:1"})", "callers_address: "},
    {goodEntry, R"({"callers_address": "127.0.0.1:99999"})", "callers_address: "},
    {goodEntry, R"({"platform_addresses": ["127.0.0.1:3", "127.0.0.1:3"]})", "platform_addresses[1]: 127.0.0.1:3 is given twice"},
    {goodEntry, R"({"platform_addresses": ["127.0.0.1:0"]})", "platform_addresses[0]: 127.0.0.1:0: port 0"},
    {goodEntry, R"({"members": [{"name": "studio", "token": "short"}]})", "members[0].token: 8 to 256"},
    {goodEntry, R"({"members": [{"name": "studio", "token": "a token with blanks"}]})", "members[0].token: 8 to 256"},
    {goodEntry, R"({"members": [{"name": "a", "token": "token-one"}, {"name": "a", "token": "token-two"}]})",
     "members: name \"a\" is given twice"},
    {goodEntry, R"({"members": [{"name": "a", "token": "token-one"}, {"name": "b", "token": "token-one"}]})",
     "members: \"b\" has the token of another"},
    {goodEntry, R"({"operators": [{"name": "ops", "token": "studio-token"}]})", "operators: \"ops\" has the token of a member"},
    {goodEntry, R"({"max_jobs": 18446744073709551615})", "max_jobs: a whole number from 1 to"},
    {goodEntry, R"({"max_jobs": 1e300})", "max_jobs: a whole number from 1 to"},
    {goodEntry, R"({"max_jobs": -1})", "max_jobs: a whole number from 1 to"},
    {goodEntry, R"({"max_body_bytes": 16777216})", "max_frame_bytes: must exceed max_body_bytes"},
    {goodEntry, R"({"log_level": "loud"})", "log_level: one of debug, info, warning, error is required"},
    {goodAgent, R"({"target_address": "127.0.0.1:0"})", "target_address: 127.0.0.1:0: port 0"},
    {goodAgent, R"({"entry_addresses": ["127.0.0.1:7", "127.0.0.1:7"]})", "entry_addresses[1]: 127.0.0.1:7 is given twice"},
    {goodAgent, R"({"entry_addresses": ["127.0.0.1:0"]})", "entry_addresses[0]: 127.0.0.1:0: port 0"},
    {goodAgent, R"({"entry_addresses": "127.0.0.1:7"})", "entry_addresses: an array is required"},
    {goodAgent, R"({"slots": 1.5})", "slots: a whole number from 1"},
    {goodAgent, R"({"role": "cook"})", "role: \"entry\", \"agent\", \"cell-entry\" or \"cell-agent\" is required"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(comments_are_allowed)
{
    const auto parsed = parseSettings("a.json", R"({
        "role": "agent", // beside the target
        "target": "t1", "worker": "w1", "failure_domain": "east", "slots": 8,
        "target_address": "127.0.0.1:80", "health_address": "127.0.0.1:0", "entry_addresses": ["127.0.0.1:81"]
    })");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(std::get<AgentSettings>(parsed.value()).slots_ == 8);
}

BOOST_AUTO_TEST_CASE(all_problems_are_named_at_once)
{
    const auto parsed = parseSettings("a.json", R"({
        "role": "agent", "target": "T 1", "worker": 5, "failure_domain": "east", "slots": 0, "colour": "red",
        "target_address": "127.0.0.1:80", "health_address": "127.0.0.1:80", "entry_addresses": []
    })");
    BOOST_REQUIRE(parsed.has_error());
    const std::string &text = parsed.error().text_;
    for (const char *part : {"a.json: target: \"T 1\" is not a name", "worker: a string", "slots: a whole number from 1",
                             "colour: unknown key", "health_address: 127.0.0.1:80 is given twice", "entry_addresses: at least one"}) {
        BOOST_TEST(text.find(part) != std::string::npos, part);
    }
}

BOOST_AUTO_TEST_CASE(each_broken_setting_is_named)
{
    for (const char *good : {goodEntry, goodAgent}) {
        BOOST_TEST(parseSettings("a.json", good).has_value());
    }
    for (const Broken &broken : brokenSettings) {
        Json json = Json::parse(broken.settings_);
        json.update(Json::parse(broken.patch_));
        const auto parsed = parseSettings("a.json", json.dump());
        BOOST_REQUIRE_MESSAGE(parsed.has_error(), broken.patch_ << " was accepted");
        BOOST_TEST(parsed.error().text_.find(std::string("a.json: ") + broken.problem_) != std::string::npos,
                   broken.patch_ << " gave " << parsed.error().text_);
    }
}

BOOST_AUTO_TEST_CASE(the_power_of_a_cell_entry_is_a_number_within_bounds)
{
    const Json good = Json::parse(R"({"role": "cell-entry", "name": "e1", "domain": "fd-1", "callers": "127.0.0.1:1",
        "ready": "127.0.0.1:2", "links": "127.0.0.1:3", "metrics": "127.0.0.1:4", "store": "127.0.0.1:5", "cores": 0.12})");
    const auto parsed = parseSettings("e.json", good.dump());
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), (parsed.has_error() ? parsed.error().text_ : ""));
    BOOST_TEST(std::get<CellEntrySettings>(parsed.value()).cores_ == 0.12);
    for (const Json &cores : {Json(0), Json(-1), Json("much"), Json(1e9), Json(true)}) {
        Json bad = good;
        bad["cores"] = cores;
        const auto refused = parseSettings("e.json", bad.dump());
        BOOST_REQUIRE(refused.has_error());
        BOOST_TEST(refused.error().text_.find("e.json: cores: a number from 0.01 to 1024 is required") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(examples_are_good)
{
    std::size_t files = 0;
    for (const char *folder : {PROJECT_FOLDER "/examples/kowalchuk", PROJECT_FOLDER "/examples/cuidado-cilios"}) {
        for (const auto &item : std::filesystem::directory_iterator(folder)) {
            ++files;
            const auto loaded = loadSettings(item.path().string());
            BOOST_TEST(loaded.has_value(), (loaded.has_error() ? loaded.error().text_ : ""));
        }
    }
    BOOST_TEST(files == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
