// Tests when an agent starts, rejects or ignores an order.

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

AgentScheduler makeScheduler(Millis leaseUntil)
{
    AgentScheduler scheduler;
    scheduler.slots_ = 1;
    scheduler.leaseUntil_ = leaseUntil;
    return scheduler;
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_scheduler)

BOOST_AUTO_TEST_CASE(starts_duplicate_order_once)
{
    AgentScheduler scheduler = makeScheduler({1000});
    AgentSchedulerActions actions;
    const std::vector<Order> orders = {makeOrder(0), makeOrder(0)};
    admitOrders(scheduler, {0}, 1, orders, actions);
    admitOrders(scheduler, {1}, 2, orders, actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    BOOST_TEST(scheduler.repeats_ == 3U);
}

BOOST_AUTO_TEST_CASE(nothing_starts_just_after_the_target_broke_a_call)
{
    for (const Code code : {Code::Ok, Code::ConnectionLost}) {
        AgentScheduler scheduler = makeScheduler({1000});
        AgentSchedulerActions actions;
        const std::vector<Order> orders = {makeOrder(0), makeOrder(1)};
        admitOrders(scheduler, {0}, 1, orders, actions);
        BOOST_REQUIRE(actions.calls_.size() == 1U);
        finishCall(scheduler, {1}, actions.calls_.front().call_, {TaskState::MayHaveRun, code, {}}, actions);
        BOOST_TEST(actions.calls_.size() == (code == Code::Ok ? 2U : 1U));
        tick(scheduler, {60}, actions);
        BOOST_TEST(actions.calls_.size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(rejects_start_without_lease)
{
    AgentScheduler scheduler = makeScheduler({0});
    AgentSchedulerActions actions;
    const std::vector<Order> orders = {makeOrder(0)};
    admitOrders(scheduler, {5}, 1, orders, actions);
    BOOST_TEST(actions.calls_.empty());
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    BOOST_TEST((actions.reports_.front().report_.outcome_.code_ == Code::NoLease));
}

BOOST_AUTO_TEST_CASE(starts_rejected_task_only_with_next_attempt)
{
    AgentScheduler scheduler = makeScheduler({0});
    AgentSchedulerActions actions;
    admitOrders(scheduler, {5}, 1, oneOrder(0, 1), actions);
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    scheduler.leaseUntil_ = {1000};
    admitOrders(scheduler, {6}, 1, oneOrder(0, 1), actions);
    BOOST_TEST(actions.calls_.empty());
    admitOrders(scheduler, {7}, 1, oneOrder(0, 2), actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    admitOrders(scheduler, {8}, 1, oneOrder(0, 2), actions);
    BOOST_TEST(actions.calls_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(starts_task_rejected_while_waiting_with_next_attempt)
{
    AgentScheduler scheduler = makeScheduler({1000});
    AgentSchedulerActions actions;
    const std::vector<Order> orders = {makeOrder(0), makeOrder(1)};
    admitOrders(scheduler, {0}, 1, orders, actions);
    tick(scheduler, {1000}, actions);
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    scheduler.leaseUntil_ = {2000};
    finishCall(scheduler, {1001}, actions.calls_.front().call_, {}, actions);
    admitOrders(scheduler, {1002}, 1, orders, actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    admitOrders(scheduler, {1003}, 1, oneOrder(1, 2), actions);
    BOOST_REQUIRE(actions.calls_.size() == 2U);
    BOOST_TEST(actions.calls_.back().key_.task_ == 1U);
}

BOOST_AUTO_TEST_CASE(starts_task_whose_call_was_not_sent_with_next_attempt)
{
    AgentScheduler scheduler = makeScheduler({1000});
    AgentSchedulerActions actions;
    admitOrders(scheduler, {0}, 1, oneOrder(0, 1), actions);
    finishCall(scheduler, {1}, actions.calls_.front().call_, {TaskState::NotRun, Code::ConnectRefused, {}}, actions);
    admitOrders(scheduler, {2}, 1, oneOrder(0, 2), actions);
    BOOST_TEST(actions.calls_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(reports_later_attempt_of_started_task_as_may_have_run)
{
    AgentScheduler scheduler = makeScheduler({1000});
    AgentSchedulerActions actions;
    admitOrders(scheduler, {0}, 1, oneOrder(0, 1), actions);
    admitOrders(scheduler, {1}, 2, oneOrder(0, 2), actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    BOOST_TEST(actions.reports_.front().link_ == 2U);
    BOOST_TEST((actions.reports_.front().report_.outcome_.state_ == TaskState::MayHaveRun));
    BOOST_TEST((actions.reports_.front().report_.outcome_.code_ == Code::DuplicateStart));
}

BOOST_AUTO_TEST_CASE(full_dedup_table_rejects_and_evicts_nothing)
{
    AgentScheduler scheduler = makeScheduler({1000});
    scheduler.slots_ = 8;
    scheduler.dedup_.maxTasks_ = 2;
    AgentSchedulerActions actions;
    for (const std::uint32_t task : {0U, 1U, 2U, 0U, 1U}) {
        admitOrders(scheduler, {0}, 1, oneOrder(task, 1), actions);
    }
    BOOST_TEST(actions.calls_.size() == 2U);
    BOOST_REQUIRE(actions.reports_.size() == 1U);
    BOOST_TEST((actions.reports_.front().report_.outcome_.code_ == Code::Overloaded));
    BOOST_TEST(scheduler.repeats_ == 2U);
    expire(scheduler.dedup_, scheduler.dedup_.retention_);
    BOOST_TEST(scheduler.dedup_.tasks_.size() == 2U);
    expire(scheduler.dedup_, scheduler.dedup_.retention_ + Millis{1});
    BOOST_TEST(scheduler.dedup_.tasks_.empty());
    BOOST_TEST(scheduler.dedup_.order_.empty());
}

BOOST_AUTO_TEST_CASE(keeps_later_attempt_for_full_retention_time)
{
    DedupTable table;
    const TaskKey key{"job", 0};
    BOOST_TEST((admit(table, {0}, key, 1) == Admission::Fresh));
    markRejected(table, key);
    BOOST_TEST((admit(table, {500}, key, 2) == Admission::Fresh));
    expire(table, table.retention_ + Millis{500});
    BOOST_TEST((admit(table, table.retention_ + Millis{500}, key, 2) == Admission::Repeated));
}

BOOST_AUTO_TEST_CASE(lease_runs_from_sending_of_renewal)
{
    AgentScheduler scheduler = makeScheduler({0});
    AgentSchedulerActions actions;
    applyLease(scheduler, {900}, {100}, LeaseGrant{1, 1, false, {500}}, actions);
    BOOST_TEST((startRejection(scheduler, {900}) == Code::NoLease));
    applyLease(scheduler, {900}, {800}, LeaseGrant{2, 1, false, {500}}, actions);
    BOOST_TEST((startRejection(scheduler, {900}) == Code::Ok));
}

BOOST_AUTO_TEST_CASE(older_version_does_not_return_target_to_service)
{
    AgentScheduler scheduler = makeScheduler({1000});
    AgentSchedulerActions actions;
    applyLease(scheduler, {0}, {0}, LeaseGrant{0, 7, true, {0}}, actions);
    applyLease(scheduler, {0}, {0}, LeaseGrant{0, 6, false, {900}}, actions);
    BOOST_TEST((startRejection(scheduler, {1}) == Code::OutOfService));
}

BOOST_AUTO_TEST_CASE(rejects_waiting_orders_when_target_goes_out_of_service)
{
    AgentScheduler scheduler = makeScheduler({1000});
    AgentSchedulerActions actions;
    const std::vector<Order> orders = {makeOrder(0), makeOrder(1)};
    admitOrders(scheduler, {0}, 1, orders, actions);
    BOOST_TEST(scheduler.waiting_.size() == 1U);
    applyLease(scheduler, {1}, {1}, LeaseGrant{0, 1, true, {0}}, actions);
    BOOST_TEST(scheduler.waiting_.empty());
    finishCall(scheduler, {2}, actions.calls_.front().call_, {TaskState::Done, Code::Ok, "ok"}, actions);
    BOOST_TEST(actions.calls_.size() == 1U);
    BOOST_REQUIRE(actions.reports_.size() == 2U);
    BOOST_TEST((actions.reports_.front().report_.outcome_.state_ == TaskState::NotRun));
}

BOOST_AUTO_TEST_CASE(finishes_only_running_calls_when_leaving)
{
    AgentScheduler scheduler = makeScheduler({1000});
    AgentSchedulerActions actions;
    const std::vector<Order> orders = {makeOrder(0), makeOrder(1)};
    admitOrders(scheduler, {0}, 1, orders, actions);
    leave(scheduler, {1}, actions);
    BOOST_TEST(scheduler.running_.size() == 1U);
    BOOST_TEST(scheduler.waiting_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
