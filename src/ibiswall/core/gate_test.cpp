// Checks the agent's judgement of starts.

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

Order makeOrder(std::uint32_t task)
{
    return Order{{"job", task}, "note", "payload", {1000}};
}

Gate makeGate(Millis grantUntil)
{
    Gate gate;
    gate.slots_ = 1;
    gate.grantUntil_ = grantUntil;
    return gate;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gate)

BOOST_AUTO_TEST_CASE(repeated_order_starts_once)
{
    Gate gate = makeGate({1000});
    GateActions actions;
    const std::vector<Order> orders = {makeOrder(0), makeOrder(0)};
    takeOrders(gate, {0}, 1, orders, actions);
    takeOrders(gate, {1}, 2, orders, actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    BOOST_TEST(gate.repeats_ == 3U);
}

BOOST_AUTO_TEST_CASE(no_start_without_a_grant)
{
    Gate gate = makeGate({0});
    GateActions actions;
    const std::vector<Order> orders = {makeOrder(0)};
    takeOrders(gate, {5}, 1, orders, actions);
    BOOST_TEST(actions.calls_.empty());
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    BOOST_TEST((actions.reports_.front().report_.outcome_.code_ == Code::NoGrant));
}

BOOST_AUTO_TEST_CASE(refused_order_may_be_sent_again)
{
    Gate gate = makeGate({0});
    GateActions actions;
    const std::vector<Order> orders = {makeOrder(0)};
    takeOrders(gate, {5}, 1, orders, actions);
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    gate.grantUntil_ = {1000};
    takeOrders(gate, {6}, 1, orders, actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    takeOrders(gate, {7}, 1, orders, actions);
    BOOST_TEST(actions.calls_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(waiting_order_that_was_refused_may_be_sent_again)
{
    Gate gate = makeGate({1000});
    GateActions actions;
    const std::vector<Order> orders = {makeOrder(0), makeOrder(1)};
    takeOrders(gate, {0}, 1, orders, actions);
    tick(gate, {1000}, actions);
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    gate.grantUntil_ = {2000};
    finishCall(gate, {1001}, actions.calls_.front().call_, {}, actions);
    takeOrders(gate, {1002}, 1, orders, actions);
    BOOST_REQUIRE(actions.calls_.size() == 2U);
    BOOST_TEST(actions.calls_.back().key_.task_ == 1U);
}

BOOST_AUTO_TEST_CASE(grant_counts_from_the_renewal)
{
    Gate gate = makeGate({0});
    GateActions actions;
    takeGrant(gate, {900}, {100}, Grant{1, 1, false, {500}}, actions);
    BOOST_TEST((startRefusal(gate, {900}) == Code::NoGrant));
    takeGrant(gate, {900}, {800}, Grant{2, 1, false, {500}}, actions);
    BOOST_TEST((startRefusal(gate, {900}) == Code::Ok));
}

BOOST_AUTO_TEST_CASE(older_version_does_not_bring_a_target_back)
{
    Gate gate = makeGate({1000});
    GateActions actions;
    takeGrant(gate, {0}, {0}, Grant{0, 7, true, {0}}, actions);
    takeGrant(gate, {0}, {0}, Grant{0, 6, false, {900}}, actions);
    BOOST_TEST((startRefusal(gate, {1}) == Code::OutOfService));
}

BOOST_AUTO_TEST_CASE(waiting_orders_are_refused_when_the_target_goes_out)
{
    Gate gate = makeGate({1000});
    GateActions actions;
    const std::vector<Order> orders = {makeOrder(0), makeOrder(1)};
    takeOrders(gate, {0}, 1, orders, actions);
    BOOST_TEST(gate.waiting_.size() == 1U);
    takeGrant(gate, {1}, {1}, Grant{0, 1, true, {0}}, actions);
    BOOST_TEST(gate.waiting_.empty());
    finishCall(gate, {2}, actions.calls_.front().call_, {TaskState::Done, Code::Ok, "ok"}, actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    BOOST_REQUIRE(actions.reports_.size() == 2U);
    BOOST_TEST((actions.reports_.front().report_.outcome_.state_ == TaskState::NotRun));
}

BOOST_AUTO_TEST_CASE(leaving_finishes_running_calls_only)
{
    Gate gate = makeGate({1000});
    GateActions actions;
    const std::vector<Order> orders = {makeOrder(0), makeOrder(1)};
    takeOrders(gate, {0}, 1, orders, actions);
    leave(gate, {1}, actions);
    BOOST_TEST(gate.running_.size() == 1U);
    BOOST_TEST(gate.waiting_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
