// Tests plans, confirmations and the order of changes.

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

BOOST_AUTO_TEST_SUITE(plan)

BOOST_AUTO_TEST_CASE(plan_lists_targets_of_domain)
{
    const std::vector<TargetPlace> places = {{"t1", "w1", "east"}, {"t2", "w2", "west"}};
    const auto made = makePlan(Configuration{}, Intent{IntentOp::DomainOut, "east", {}, {}}, places);
    BOOST_REQUIRE(made.has_value());
    BOOST_REQUIRE(made.value().targets_.size() == 1U);
    BOOST_TEST(made.value().targets_.front().target_ == "t1");
    BOOST_TEST(made.value().before_ == "in service");
    BOOST_TEST(made.value().after_ == "out of service");
}

BOOST_AUTO_TEST_CASE(refuses_intent_without_effect)
{
    const auto made = makePlan(Configuration{}, Intent{IntentOp::DomainIn, "east", {}, {}}, {});
    BOOST_REQUIRE(made.has_error());
    BOOST_TEST((made.error().code_ == Code::NoEffect));
}

BOOST_AUTO_TEST_CASE(refuses_stale_confirmation)
{
    Configuration configuration;
    const Intent east{IntentOp::DomainOut, "east", {}, {}};
    const Intent west{IntentOp::DomainOut, "west", {}, {}};
    const auto first = makePlan(configuration, east, {}).value();
    const auto second = makePlan(configuration, west, {}).value();
    BOOST_REQUIRE(apply(configuration, confirmPlan(configuration, east, first.baseVersion_, first.digest_).value()));
    const auto late = confirmPlan(configuration, west, second.baseVersion_, second.digest_);
    BOOST_REQUIRE(late.has_error());
    BOOST_TEST((late.error().code_ == Code::StalePlan));
}

BOOST_AUTO_TEST_CASE(applies_changes_in_order_only)
{
    Configuration configuration;
    Change change;
    change.version_ = 2;
    change.intent_ = {IntentOp::DomainOut, "east", {}, {}};
    BOOST_TEST(!apply(configuration, change));
    change.version_ = 1;
    BOOST_TEST(apply(configuration, change));
    BOOST_TEST(!apply(configuration, change));
    BOOST_TEST(isOut(configuration, "east", "t1"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
