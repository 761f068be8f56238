// Tests that all problems of a settings file are reported together.

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <ibiswall/settings.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

const char *const validEntry = R"({
    "role": "entry", "name": "entry-1", "failure_domain": "east",
    "callers_address": "127.0.0.1:1", "links_address": "127.0.0.1:2", "platform_addresses": ["127.0.0.1:3"],
    "peers": [{"name": "entry-2", "links_address": "127.0.0.1:4"}],
    "members": [{"name": "studio", "token": "studio-token"}], "operators": [{"name": "ops", "token": "ops-token"}]
})";

const char *const validAgent = R"({
    "role": "agent", "target": "t1", "worker": "w1", "failure_domain": "east", "slots": 8,
    "target_address": "127.0.0.1:5", "health_address": "127.0.0.1:0", "entry_addresses": ["127.0.0.1:2"]
})";

// A JSON merge into valid settings that makes them invalid, and the expected problem.
struct InvalidCase
{
    const char *validSettings_;
    const char *patch_;
    const char *expectedProblem_;
};

const InvalidCase invalidCases[] = {
    {validEntry, R"({"name": "entry-2"})", "peers[0].name: \"entry-2\" is this entry"},
    {validEntry, R"({"peers": [{"name": "e", "links_address": "127.0.0.1:8"}, {"name": "e", "links_address": "127.0.0.1:9"}]})",
     "peers[1].name: \"e\" is given twice"},
    {validEntry, R"({"peers": [{"name": "e", "links_address": "127.0.0.1:2"}]})", "peers[0].links_address: 127.0.0.1:2 is given twice"},
    {validEntry, R"({"peers": [{"name": "e", "links_address": "127.0.0.1:0"}]})", "peers[0].links_address: 127.0.0.1:0: port 0"},
    {validEntry, R"({"peers": [{"name": "e", "links_address": "127.0.0.1:8", "x": 1}]})", "peers[0].x: unknown key"},
    {validEntry, R"({"peers": 5})", "peers: an array is required"},
    {validEntry, R"({"peers": [5]})", "peers[0]: an object is required"},
    {validEntry, R"({"links_address": "127.0.0.1:0"})", "links_address: 127.0.0.1:0: port 0"},
    {validEntry, R"({"callers_address": "localhost:1"})", "callers_address: "},
    {validEntry, R"({"callers_address": "127.0.0.1:99999"})", "callers_address: "},
    {validEntry, R"({"platform_addresses": ["127.0.0.1:3", "127.0.0.1:3"]})", "platform_addresses[1]: 127.0.0.1:3 is given twice"},
    {validEntry, R"({"platform_addresses": ["127.0.0.1:0"]})", "platform_addresses[0]: 127.0.0.1:0: port 0"},
    {validEntry, R"({"members": [{"name": "studio", "token": "short"}]})", "members[0].token: 8 to 256"},
    {validEntry, R"({"members": [{"name": "studio", "token": "a token with blanks"}]})", "members[0].token: 8 to 256"},
    {validEntry, R"({"members": [{"name": "a", "token": "token-one"}, {"name": "a", "token": "token-two"}]})",
     "members: name \"a\" is given twice"},
    {validEntry, R"({"members": [{"name": "a", "token": "token-one"}, {"name": "b", "token": "token-one"}]})",
     "members: \"b\" has the token of another"},
    {validEntry, R"({"operators": [{"name": "ops", "token": "studio-token"}]})", "operators: \"ops\" has the token of a member"},
    {validEntry, R"({"max_jobs": 18446744073709551615})", "max_jobs: a whole number from 1 to"},
    {validEntry, R"({"max_jobs": 1e300})", "max_jobs: a whole number from 1 to"},
    {validEntry, R"({"max_jobs": -1})", "max_jobs: a whole number from 1 to"},
    {validEntry, R"({"max_body_bytes": 16777216})", "max_frame_bytes: must exceed max_body_bytes"},
    {validEntry, R"({"log_level": "loud"})", "log_level: one of debug, info, warning, error is required"},
    {validAgent, R"({"target_address": "127.0.0.1:0"})", "target_address: 127.0.0.1:0: port 0"},
    {validAgent, R"({"entry_addresses": ["127.0.0.1:7", "127.0.0.1:7"]})", "entry_addresses[1]: 127.0.0.1:7 is given twice"},
    {validAgent, R"({"entry_addresses": ["127.0.0.1:0"]})", "entry_addresses[0]: 127.0.0.1:0: port 0"},
    {validAgent, R"({"entry_addresses": "127.0.0.1:7"})", "entry_addresses: an array is required"},
    {validAgent, R"({"slots": 1.5})", "slots: a whole number from 1"},
    {validAgent, R"({"role": "cook"})", "role: \"entry\", \"agent\", \"cell-entry\" or \"cell-agent\" is required"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(accepts_comments)
{
    const auto parsed = parseSettings("a.json", R"({
        "role": "agent", // beside the target
        "target": "t1", "worker": "w1", "failure_domain": "east", "slots": 8,
        "target_address": "127.0.0.1:80", "health_address": "127.0.0.1:0", "entry_addresses": ["127.0.0.1:81"]
    })");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(std::get<AgentSettings>(parsed.value()).slots_ == 8);
}

BOOST_AUTO_TEST_CASE(reports_all_problems_at_once)
{
    const auto parsed = parseSettings("a.json", R"({
        "role": "agent", "target": "T 1", "worker": 5, "failure_domain": "east", "slots": 0, "colour": "red",
        "target_address": "127.0.0.1:80", "health_address": "127.0.0.1:80", "entry_addresses": []
    })");
    BOOST_REQUIRE(parsed.has_error());
    const std::string &text = parsed.error().text_;
    for (const char *fragment : {"a.json: target: \"T 1\" is not a name", "worker: a string", "slots: a whole number from 1",
                                 "colour: unknown key", "health_address: 127.0.0.1:80 is given twice", "entry_addresses: at least one"}) {
        BOOST_TEST(text.find(fragment) != std::string::npos, fragment);
    }
}

BOOST_AUTO_TEST_CASE(reports_each_invalid_setting)
{
    for (const char *valid : {validEntry, validAgent}) {
        BOOST_TEST(parseSettings("a.json", valid).has_value());
    }
    for (const InvalidCase &invalid : invalidCases) {
        Json json = Json::parse(invalid.validSettings_);
        json.update(Json::parse(invalid.patch_));
        const auto parsed = parseSettings("a.json", json.dump());
        BOOST_REQUIRE_MESSAGE(parsed.has_error(), invalid.patch_ << " was accepted");
        BOOST_TEST(parsed.error().text_.find(std::string("a.json: ") + invalid.expectedProblem_) != std::string::npos,
                   invalid.patch_ << " gave " << parsed.error().text_);
    }
}

BOOST_AUTO_TEST_CASE(cell_entry_cores_must_be_a_number_within_bounds)
{
    const Json valid = Json::parse(R"({"role": "cell-entry", "name": "e1", "domain": "fd-1", "callers": "127.0.0.1:1",
        "ready": "127.0.0.1:2", "links": "127.0.0.1:3", "metrics": "127.0.0.1:4", "store": "127.0.0.1:5", "cores": 0.12})");
    const auto parsed = parseSettings("e.json", valid.dump());
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), (parsed.has_error() ? parsed.error().text_ : ""));
    BOOST_TEST(std::get<CellEntrySettings>(parsed.value()).cores_ == 0.12);
    for (const Json &cores : {Json(0), Json(-1), Json("much"), Json(1e9), Json(true)}) {
        Json invalidJson = valid;
        invalidJson["cores"] = cores;
        const auto rejected = parseSettings("e.json", invalidJson.dump());
        BOOST_REQUIRE(rejected.has_error());
        BOOST_TEST(rejected.error().text_.find("e.json: cores: a number from 0.01 to 1024 is required") != std::string::npos);
    }
}

// Guards against misspelled switches that would silently leave a deployment without the behavior that it asks for.
BOOST_AUTO_TEST_CASE(scheduling_of_a_cell_entry_is_read_and_checked)
{
    Json json = Json::parse(R"({"role": "cell-entry", "name": "e1", "domain": "fd-1", "callers": "127.0.0.1:1",
        "ready": "127.0.0.1:2", "links": "127.0.0.1:3", "metrics": "127.0.0.1:4", "store": "127.0.0.1:5",
        "memory_mb": 120, "max_descriptors": 3075,
        "scheduling": {"admission": true, "queue_floor": 0.1, "place_by_end": true, "separate_interfering": false}})");
    const auto parsed = parseSettings("e.json", json.dump());
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), (parsed.has_error() ? parsed.error().text_ : ""));
    const auto &settings = std::get<CellEntrySettings>(parsed.value());
    BOOST_TEST(settings.memory_ == 120U);
    BOOST_TEST(settings.maxDescriptors_ == 3075U);
    BOOST_TEST(settings.scheduling_.admission_);
    BOOST_TEST(settings.scheduling_.queueFloor_ == 0.1);
    BOOST_TEST(settings.scheduling_.placeByEnd_);
    BOOST_TEST(!settings.scheduling_.separateInterfering_);
    const std::pair<Json, const char *> invalid[] = {
        {Json::object({{"queue_floor", 0.5}}), "e.json: scheduling.queue_floor: a number from 0 to 0.25 is required"},
        {Json::object({{"admission", 1}}), "e.json: scheduling.admission: true or false is required"},
        {Json::object({{"place_by_ends", true}}), "e.json: scheduling.place_by_ends: unknown key"},
        {Json::array(), "e.json: scheduling: an object is required"},
    };
    for (const auto &[scheduling, problem] : invalid) {
        json["scheduling"] = scheduling;
        const auto rejected = parseSettings("e.json", json.dump());
        BOOST_REQUIRE(rejected.has_error());
        BOOST_TEST(rejected.error().text_.find(problem) != std::string::npos, rejected.error().text_);
    }
}

// Guards against a process that does not start because a time or a limit of its machine is given with a fraction.
BOOST_AUTO_TEST_CASE(times_and_machine_limits_may_have_fractions)
{
    const auto entry = parseSettings("e.json", R"({"role": "cell-entry", "name": "e1", "domain": "fd-1", "callers": "127.0.0.1:1",
        "ready": "127.0.0.1:2", "links": "127.0.0.1:3", "metrics": "127.0.0.1:4", "store": "127.0.0.1:5",
        "memory_mb": 120.5, "max_descriptors": 3075.0, "grace_s": 6.5, "keep_states_s": 120})");
    BOOST_REQUIRE_MESSAGE(entry.has_value(), (entry.has_error() ? entry.error().text_ : ""));
    BOOST_TEST(std::get<CellEntrySettings>(entry.value()).gracePeriod_.count_ == 6500);
    BOOST_TEST(std::get<CellEntrySettings>(entry.value()).stateRetention_.count_ == 120000);
    BOOST_TEST(std::get<CellEntrySettings>(entry.value()).memory_ == 120U);
    const auto agent = parseSettings("a.json", R"({"role": "cell-agent", "name": "a1", "domain": "fd-1", "announcements": "127.0.0.1:1",
        "target": "127.0.0.1:2", "metrics": "127.0.0.1:3", "store": "127.0.0.1:4", "grace_s": 0.25, "max_lease_ms": 1000.0})");
    BOOST_REQUIRE_MESSAGE(agent.has_value(), (agent.has_error() ? agent.error().text_ : ""));
    BOOST_TEST(std::get<CellAgentSettings>(agent.value()).gracePeriod_.count_ == 250);
    BOOST_TEST(std::get<CellAgentSettings>(agent.value()).maxLease_.count_ == 1000);
}

BOOST_AUTO_TEST_CASE(example_settings_are_valid)
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
