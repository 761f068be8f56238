// Tests JSON encoding of changes, and the errors for malformed intents and submissions.

#include <boost/test/unit_test.hpp>
#include <ibiswall/codec.hpp>

namespace ibiswall {

BOOST_AUTO_TEST_SUITE(changes)

BOOST_AUTO_TEST_CASE(change_round_trips)
{
    const Change change{3, "c1", "ana", "storm", {99}, {IntentOp::SetKind, "alert", {9, false, {5000}}, {}}, "not set", "value 9"};
    const std::string text = formatChange(change);
    const auto back = parseChange(text);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(formatChange(back.value()) == text);
}

BOOST_AUTO_TEST_CASE(malformed_intent_error_names_the_field)
{
    BOOST_TEST(parseIntent("[]").error().text_ == "intent: not a JSON object");
    BOOST_TEST(parseIntent(R"({"op":"explode","name":"x"})").error().text_ == "unknown operation \"explode\"");
    BOOST_TEST(parseIntent(R"({"op":"domain-out","name":"x","value":1})").error().text_ == "value: unknown key");
    BOOST_TEST(parseIntent(R"({"op":"set-member","name":"x","weight":"1"})").error().text_ == "weight: a whole number is required");
}

BOOST_AUTO_TEST_CASE(malformed_submission_error_names_the_task)
{
    const auto parsed = parseSubmission({}, "studio", R"({"kind":"note","tasks":["a",1]})");
    BOOST_REQUIRE(parsed.has_error());
    BOOST_TEST(parsed.error().text_ == "tasks[1]: a string is required");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
