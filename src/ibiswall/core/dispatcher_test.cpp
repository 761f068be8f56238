// Tests how an entry admits, places and answers jobs.

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

constexpr Now start{{1000}, {1000000}};

Dispatcher makeDispatcher()
{
    Dispatcher dispatcher;
    dispatcher.self_ = {"entry-1", 7};
    dispatcher.configuration_.kinds_["note"] = Kind{1, false, {1000}};
    return dispatcher;
}

AgentInfo makeAgent(const std::string &name, const std::string &domain, int credits)
{
    return AgentInfo{{name, 1}, {name, "worker-" + name, domain}, credits, credits};
}

Submission makeJob(Dispatcher &dispatcher, std::size_t tasks)
{
    Submission submission;
    submission.id_ = issueId(dispatcher, start);
    submission.member_ = "studio";
    submission.kind_ = "note";
    submission.payloads_.assign(tasks, "text");
    return submission;
}

std::vector<TaskReport> reportAll(const DispatchActions &actions, TaskState state, Code code)
{
    std::vector<TaskReport> reports;
    for (const SendOrders &send : actions.orders_) {
        for (const Order &order : send.orders_) {
            reports.push_back({order.key_, {state, code, "answer"}, order.attempt_});
        }
    }
    return reports;
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher)

BOOST_AUTO_TEST_CASE(answers_job_after_last_report)
{
    Dispatcher entry = makeDispatcher();
    DispatchActions actions;
    joinAgent(entry, start, 1, makeAgent("a", "east", 4), actions);
    submit(entry, start, makeJob(entry, 2), 9, actions);
    const auto reports = reportAll(actions, TaskState::Done, Code::Ok);
    BOOST_REQUIRE(reports.size() == 2U);
    applyReports(entry, start, 1, Span<const TaskReport>(reports.data(), 1), actions);
    BOOST_TEST(actions.answers_.empty());
    applyReports(entry, start, 1, Span<const TaskReport>(reports.data() + 1, 1), actions);
    BOOST_REQUIRE(actions.answers_.size() == 1U);
    BOOST_TEST(actions.answers_.front().caller_ == 9U);
    BOOST_TEST((actions.answers_.front().answer_->code_ == Code::Ok));
    BOOST_TEST(actions.answers_.front().answer_->tasks_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(resubmission_attaches_and_gets_same_answer)
{
    Dispatcher entry = makeDispatcher();
    DispatchActions actions;
    joinAgent(entry, start, 1, makeAgent("a", "east", 4), actions);
    const Submission job = makeJob(entry, 1);
    submit(entry, start, job, 1, actions);
    submit(entry, start, job, 2, actions);
    BOOST_TEST(actions.orders_.size() == 1U);
    applyReports(entry, start, 1, reportAll(actions, TaskState::Done, Code::Ok), actions);
    submit(entry, start, job, 3, actions);
    BOOST_REQUIRE(actions.answers_.size() == 3U);
    BOOST_TEST(actions.answers_[0].answer_ == actions.answers_[2].answer_);
    BOOST_TEST(actions.orders_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refuses_resubmission_with_other_body_or_member)
{
    Dispatcher entry = makeDispatcher();
    DispatchActions actions;
    Submission job = makeJob(entry, 1);
    submit(entry, start, job, 1, actions);
    job.bodyHash_ = 5;
    submit(entry, start, job, 2, actions);
    job.member_ = "rival";
    submit(entry, start, job, 3, actions);
    BOOST_REQUIRE(actions.answers_.size() == 2U);
    BOOST_TEST((actions.answers_[0].answer_->code_ == Code::BodyDiffers));
    BOOST_TEST((actions.answers_[1].answer_->code_ == Code::UnknownJob));
}

BOOST_AUTO_TEST_CASE(reports_tasks_of_lost_agent_as_may_have_run)
{
    Dispatcher entry = makeDispatcher();
    DispatchActions actions;
    joinAgent(entry, start, 1, makeAgent("a", "east", 4), actions);
    joinAgent(entry, start, 2, makeAgent("b", "west", 0), actions);
    submit(entry, start, makeJob(entry, 1), 1, actions);
    loseAgent(entry, start, 1, actions);
    BOOST_REQUIRE(actions.answers_.size() == 1U);
    const TaskOutcome &outcome = actions.answers_.front().answer_->tasks_.front();
    BOOST_TEST((outcome.state_ == TaskState::MayHaveRun));
    BOOST_TEST((outcome.code_ == Code::ConnectionLost));
    BOOST_TEST(actions.orders_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(retries_rejected_task_until_attempts_are_used_up)
{
    Dispatcher entry = makeDispatcher();
    DispatchActions actions;
    joinAgent(entry, start, 1, makeAgent("a", "east", 4), actions);
    submit(entry, start, makeJob(entry, 1), 1, actions);
    for (int i = 0; i < entry.limits_.maxAttempts_; ++i) {
        BOOST_TEST(actions.answers_.empty());
        const auto reports = reportAll(actions, TaskState::NotRun, Code::NoLease);
        BOOST_REQUIRE(reports.size() == 1U);
        actions.orders_.clear();
        applyReports(entry, start, 1, reports, actions);
    }
    BOOST_REQUIRE(actions.answers_.size() == 1U);
    BOOST_TEST((actions.answers_.front().answer_->tasks_.front().code_ == Code::NoLease));
}

BOOST_AUTO_TEST_CASE(repeatable_task_that_crashes_two_targets_is_not_tried_on_a_third)
{
    Dispatcher entry = makeDispatcher();
    entry.configuration_.kinds_["note"].repeatable_ = true;
    DispatchActions actions;
    joinAgent(entry, start, 1, makeAgent("a", "east", 4), actions);
    submit(entry, start, makeJob(entry, 1), 1, actions);
    for (int crashes = 0; crashes < 2; ++crashes) {
        BOOST_TEST(actions.answers_.empty());
        const auto reports = reportAll(actions, TaskState::MayHaveRun, Code::ConnectionLost);
        BOOST_REQUIRE(reports.size() == 1U);
        actions.orders_.clear();
        applyReports(entry, start, 1, reports, actions);
    }
    BOOST_TEST(actions.orders_.empty());
    BOOST_REQUIRE(actions.answers_.size() == 1U);
    BOOST_TEST((actions.answers_.front().answer_->tasks_.front().state_ == TaskState::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(never_reports_repeatable_task_that_may_have_run_as_not_run)
{
    Dispatcher entry = makeDispatcher();
    entry.configuration_.kinds_["note"].repeatable_ = true;
    DispatchActions actions;
    joinAgent(entry, start, 1, makeAgent("a", "east", 4), actions);
    submit(entry, start, makeJob(entry, 1), 1, actions);
    loseAgent(entry, start, 1, actions);
    BOOST_TEST(actions.answers_.empty());
    tick(entry, {{2000}, {1001000}}, actions);
    BOOST_REQUIRE(actions.answers_.size() == 1U);
    const TaskOutcome &outcome = actions.answers_.front().answer_->tasks_.front();
    BOOST_TEST((outcome.state_ == TaskState::MayHaveRun));
    BOOST_TEST((outcome.code_ == Code::ConnectionLost));
}

BOOST_AUTO_TEST_CASE(ignores_duplicate_report_of_earlier_attempt)
{
    Dispatcher entry = makeDispatcher();
    DispatchActions actions;
    joinAgent(entry, start, 1, makeAgent("a", "east", 4), actions);
    submit(entry, start, makeJob(entry, 1), 1, actions);
    const auto reports = reportAll(actions, TaskState::NotRun, Code::NoLease);
    actions.orders_.clear();
    applyReports(entry, start, 1, reports, actions);
    applyReports(entry, start, 1, reports, actions);
    BOOST_REQUIRE(actions.orders_.size() == 1U);
    BOOST_TEST(actions.orders_.back().orders_.size() == 1U);
    BOOST_TEST(actions.orders_.back().orders_.back().attempt_ == 2U);
}

BOOST_AUTO_TEST_CASE(places_no_task_in_domain_out_of_service)
{
    Dispatcher entry = makeDispatcher();
    DispatchActions actions;
    joinAgent(entry, start, 1, makeAgent("a", "east", 4), actions);
    Change change;
    change.version_ = 1;
    change.intent_ = {IntentOp::DomainOut, "east", {}, {}};
    BOOST_REQUIRE(applyConfigurationChange(entry, start, change, actions));
    submit(entry, start, makeJob(entry, 1), 1, actions);
    BOOST_TEST(actions.orders_.empty());
    tick(entry, {{2000}, {1001000}}, actions);
    BOOST_REQUIRE(actions.answers_.size() == 1U);
    BOOST_TEST((actions.answers_.front().answer_->tasks_.front().code_ == Code::DeadlinePassed));
}

BOOST_AUTO_TEST_CASE(removes_jobs_after_id_expiry)
{
    Dispatcher entry = makeDispatcher();
    DispatchActions actions;
    joinAgent(entry, start, 1, makeAgent("a", "east", 4), actions);
    submit(entry, start, makeJob(entry, 1), 1, actions);
    applyReports(entry, start, 1, reportAll(actions, TaskState::Done, Code::Ok), actions);
    tick(entry, {{2000}, {1000000 + 660000}}, actions);
    BOOST_TEST(entry.jobs_.size() == 1U);
    tick(entry, {{2000}, {1000000 + 660001}}, actions);
    BOOST_TEST(entry.jobs_.empty());
    BOOST_TEST(entry.numbers_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
