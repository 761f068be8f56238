// Checks that every problem of a settings file is named at once.

#include <boost/test/unit_test.hpp>
#include <ibiswall/settings.hpp>

namespace ibiswall {

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
