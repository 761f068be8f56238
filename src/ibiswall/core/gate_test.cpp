// Checks the agent's judgement of starts.

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

Order makeOrder(std::uint32_t task, std::uint32_t attempt = 1)
{
    return Order{{"job", task}, "note", "payload", {1000}, attempt};
}

std::vector<Order> oneOrder(std::uint32_t task, std::uint32_t attempt)
{
    return {makeOrder(task, attempt)};
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
    BOOST_TEST((actions.reports_.front().report_.outcome_.code_ == Code::NoLease));
}

BOOST_AUTO_TEST_CASE(refused_task_starts_at_its_next_attempt_only)
{
    Gate gate = makeGate({0});
    GateActions actions;
    takeOrders(gate, {5}, 1, oneOrder(0, 1), actions);
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    gate.grantUntil_ = {1000};
    takeOrders(gate, {6}, 1, oneOrder(0, 1), actions);
    BOOST_TEST(actions.calls_.empty());
    takeOrders(gate, {7}, 1, oneOrder(0, 2), actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    takeOrders(gate, {8}, 1, oneOrder(0, 2), actions);
    BOOST_TEST(actions.calls_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(waiting_task_that_was_refused_starts_at_its_next_attempt)
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
    BOOST_TEST(actions.calls_.size() == 1U);
    takeOrders(gate, {1003}, 1, oneOrder(1, 2), actions);
    BOOST_REQUIRE(actions.calls_.size() == 2U);
    BOOST_TEST(actions.calls_.back().key_.task_ == 1U);
}

BOOST_AUTO_TEST_CASE(task_whose_call_was_not_sent_starts_at_its_next_attempt)
{
    Gate gate = makeGate({1000});
    GateActions actions;
    takeOrders(gate, {0}, 1, oneOrder(0, 1), actions);
    finishCall(gate, {1}, actions.calls_.front().call_, {TaskState::NotRun, Code::ConnectRefused, {}}, actions);
    takeOrders(gate, {2}, 1, oneOrder(0, 2), actions);
    BOOST_TEST(actions.calls_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(later_attempt_of_a_started_task_is_told_the_truth)
{
    Gate gate = makeGate({1000});
    GateActions actions;
    takeOrders(gate, {0}, 1, oneOrder(0, 1), actions);
    takeOrders(gate, {1}, 2, oneOrder(0, 2), actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    BOOST_TEST(actions.reports_.front().link_ == 2U);
    BOOST_TEST((actions.reports_.front().report_.outcome_.state_ == TaskState::MayHaveRun));
    BOOST_TEST((actions.reports_.front().report_.outcome_.code_ == Code::DuplicateStart));
}

BOOST_AUTO_TEST_CASE(full_table_refuses_and_forgets_nothing)
{
    Gate gate = makeGate({1000});
    gate.slots_ = 8;
    gate.seen_.maxTasks_ = 2;
    GateActions actions;
    for (const std::uint32_t task : {0U, 1U, 2U, 0U, 1U}) {
        takeOrders(gate, {0}, 1, oneOrder(task, 1), actions);
    }
    BOOST_TEST(actions.calls_.size() == 2U);
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    BOOST_TEST((actions.reports_.front().report_.outcome_.code_ == Code::Overloaded));
    BOOST_TEST(gate.repeats_ == 2U);
    expire(gate.seen_, gate.seen_.life_);
    BOOST_TEST(gate.seen_.tasks_.size() == 2U);
    expire(gate.seen_, gate.seen_.life_ + Millis{1});
    BOOST_TEST(gate.seen_.tasks_.empty());
    BOOST_TEST(gate.seen_.order_.empty());
}

BOOST_AUTO_TEST_CASE(later_attempt_is_remembered_for_the_whole_life)
{
    SeenTable table;
    const TaskKey key{"job", 0};
    BOOST_TEST((admit(table, {0}, key, 1) == Admission::Fresh));
    markRefused(table, key);
    BOOST_TEST((admit(table, {500}, key, 2) == Admission::Fresh));
    expire(table, table.life_ + Millis{500});
    BOOST_TEST((admit(table, table.life_ + Millis{500}, key, 2) == Admission::Repeated));
}

BOOST_AUTO_TEST_CASE(grant_counts_from_the_renewal)
{
    Gate gate = makeGate({0});
    GateActions actions;
    takeGrant(gate, {900}, {100}, Grant{1, 1, false, {500}}, actions);
    BOOST_TEST((startRefusal(gate, {900}) == Code::NoLease));
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
