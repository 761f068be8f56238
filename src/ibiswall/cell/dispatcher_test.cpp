// Unit tests of the dispatcher.

#include "dispatcherfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

BOOST_AUTO_TEST_SUITE(dispatcher_decisions)

BOOST_AUTO_TEST_CASE(spreads_job_over_targets)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.add("b");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(4)}), fixture.now_);
    std::map<std::string, int> placed;
    for (const StartOrder &start : fixture.schedule().starts_) {
        ++placed[start.agent_];
    }
    BOOST_TEST(placed["a"] == 2);
    BOOST_TEST(placed["b"] == 2);
}

BOOST_AUTO_TEST_CASE(never_exceeds_target_capacity)
{
    DispatcherFixture fixture;
    fixture.add("a", 2500);
    fixture.dispatcher_.addJob(testJob("j1", {testStep(4)}), fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_TEST(actions.starts_.size() == 2U);
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.finishRun(actions.starts_[0]);
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(capacity_is_freed_only_when_stopped_run_has_ended)
{
    DispatcherFixture fixture;
    fixture.add("a", 1000);
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    const DispatcherActions first = fixture.schedule();
    fixture.dispatcher_.abandon("j1", "entry-1", fixture.now_);
    fixture.dispatcher_.addJob(testJob("j2", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.finishRun(first.starts_[0], RunOutcome::Stopped);
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(urgent_queues_are_placed_first)
{
    DispatcherFixture fixture;
    fixture.add("a", 1000);
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}, true, "later"), fixture.now_);
    fixture.dispatcher_.addJob(testJob("j2", {testStep(1)}), fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.starts_.size() == 1U);
    BOOST_TEST(actions.starts_[0].run_.task_.job_ == "j2");
}

BOOST_AUTO_TEST_CASE(step_waits_for_its_dependencies)
{
    DispatcherFixture fixture;
    fixture.add("a");
    Step second = testStep(1);
    second.after_ = {0};
    fixture.dispatcher_.addJob(testJob("j1", {testStep(2), second}), fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.starts_.size() == 2U);
    fixture.finishRun(actions.starts_[0]);
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.finishRun(actions.starts_[1]);
    const DispatcherActions last = fixture.schedule();
    BOOST_REQUIRE(last.starts_.size() == 1U);
    BOOST_TEST(last.starts_[0].run_.task_.step_ == 1U);
}

BOOST_AUTO_TEST_CASE(starts_nothing_on_draining_unresponsive_or_evacuated_target)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.add("b");
    fixture.add("c", 8000, "fd-2");
    TargetInfo draining = testTarget("t-a");
    draining.draining_ = true;
    TargetInfo unresponsive = testTarget("t-b");
    unresponsive.responsive_ = false;
    fixture.dispatcher_.updateTarget("a", draining);
    fixture.dispatcher_.updateTarget("b", unresponsive);
    fixture.dispatcher_.setConfig(testConfig(), {"fd-2"});
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.dispatcher_.setConfig(testConfig(), {});
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.starts_.size() == 1U);
    BOOST_TEST(actions.starts_[0].agent_ == "c");
}

// An agent that has restarted has forgotten that its target is leaving, and may receive an older announcement that was delayed.
BOOST_AUTO_TEST_CASE(late_announcement_after_a_restart_of_the_agent_does_not_bring_back_a_leaving_target)
{
    DispatcherFixture fixture;
    fixture.add("a");
    TargetInfo leaving = testTarget("t-a");
    leaving.draining_ = true;
    leaving.leaving_ = true;
    fixture.dispatcher_.updateTarget("a", leaving);
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    TargetInfo restarted = testTarget("t-a");
    restarted.targetIncarnation_ = 2;
    fixture.dispatcher_.updateTarget("a", restarted);
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(target_of_an_agent_that_has_restarted_is_used_again)
{
    DispatcherFixture fixture;
    fixture.add("a");
    TargetInfo agentStopping = testTarget("t-a");
    agentStopping.draining_ = true;
    fixture.dispatcher_.updateTarget("a", agentStopping);
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(honors_labels_and_limits_per_target)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.add("b");
    TargetInfo special = testTarget("t-b");
    special.labels_ = {"b", "r1"};
    fixture.dispatcher_.updateTarget("b", special);
    Step step = testStep(3);
    step.requiredLabel_ = "b";
    step.maxPerTarget_ = 2;
    fixture.dispatcher_.addJob(testJob("j1", {step}), fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.starts_.size() == 2U);
    BOOST_TEST(actions.starts_[0].agent_ == "b");
    BOOST_TEST(actions.starts_[1].agent_ == "b");
}

BOOST_AUTO_TEST_CASE(ephemeral_job_ends_with_notice_to_its_entry_and_no_write)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    fixture.finishRun(fixture.schedule().starts_.at(0));
    const DispatcherActions actions = fixture.dispatcher_.takeActions();
    BOOST_REQUIRE(actions.notices_.size() == 1U);
    BOOST_TEST((actions.notices_[0].state_ == JobState::Completed));
    BOOST_TEST(actions.notices_[0].origins_.count("entry-1") == 1U);
    BOOST_REQUIRE(actions.acks_.size() == 1U);
    BOOST_TEST(actions.acks_[0].through_ == 1U);
    BOOST_TEST(fixture.dispatcher_.takeWrites(10, {100000}).empty());
    // A caller that lost the reply and asks through another entry gets the state.
    BOOST_TEST((fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_) == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(acknowledgement_to_the_agent_of_a_draining_target_is_sent_at_once)
{
    for (const bool draining : {false, true}) {
        DispatcherFixture fixture;
        fixture.add("a");
        fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
        const StartOrder start = fixture.schedule().starts_.at(0);
        TargetInfo info = testTarget("t-a");
        info.draining_ = draining;
        fixture.dispatcher_.updateTarget("a", info);
        fixture.finishRun(start);
        BOOST_TEST(fixture.dispatcher_.takeActions().acks_.at(0).awaited_ == draining);
    }
}

BOOST_AUTO_TEST_CASE(durable_job_is_stored_before_notice_and_acknowledgement)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}, false), fixture.now_);
    fixture.finishRun(fixture.schedule().starts_.at(0));
    DispatcherActions actions = fixture.dispatcher_.takeActions();
    BOOST_TEST(actions.notices_.empty());
    BOOST_TEST(actions.acks_.empty());
    const auto writes = fixture.dispatcher_.takeWrites(10, fixture.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST(writes[0].expectedRevision_ == 7);
    BOOST_TEST((writes[0].record_.progress_.state_ == JobState::Completed));
    fixture.dispatcher_.onWritten("j1", 8, fixture.now_);
    actions = fixture.dispatcher_.takeActions();
    BOOST_TEST(actions.notices_.size() == 1U);
    BOOST_TEST(actions.acks_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(failed_write_is_retried_with_current_revision)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}, false), fixture.now_);
    fixture.finishRun(fixture.schedule().starts_.at(0));
    fixture.dispatcher_.takeWrites(10, fixture.now_);
    fixture.dispatcher_.onWriteFailed("j1", 9);
    BOOST_TEST(fixture.dispatcher_.takeActions().acks_.empty());
    const auto writes = fixture.dispatcher_.takeWrites(10, fixture.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST(writes[0].expectedRevision_ == 9);
}

BOOST_AUTO_TEST_CASE(rejected_write_ends_the_job_with_a_small_record)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(2)}, false), fixture.now_);
    fixture.finishRun(fixture.schedule().starts_.at(0));
    fixture.now_ = fixture.now_ + Millis{5000};
    const auto progress = fixture.dispatcher_.takeWrites(10, fixture.now_);
    BOOST_REQUIRE(progress.size() == 1U);
    fixture.dispatcher_.onWriteRejected("j1", progress[0].expectedRevision_, fixture.now_);
    BOOST_TEST(fixture.dispatcher_.takeActions().acks_.empty());
    const auto writes = fixture.dispatcher_.takeWrites(10, fixture.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST((writes[0].record_.progress_.state_ == JobState::Failed));
    BOOST_TEST(formatRecord(writes[0].record_).size() < formatRecord(progress[0].record_).size());
    fixture.dispatcher_.onWritten("j1", 9, fixture.now_);
    BOOST_TEST(fixture.dispatcher_.takeActions().acks_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(attempts_are_counted_once_and_limited)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}, false), fixture.now_);
    const StartOrder first = fixture.schedule().starts_.at(0);
    fixture.finishRun(first, RunOutcome::Failed);
    // The same result, listed again after a reconnection.
    fixture.dispatcher_.applyResult("a", {1, first.run_, RunOutcome::Failed, {}}, fixture.now_);
    const DispatcherActions second = fixture.schedule();
    BOOST_REQUIRE(second.starts_.size() == 1U);
    BOOST_TEST(second.starts_[0].run_.number_ > first.run_.number_);
    fixture.finishRun(second.starts_[0], RunOutcome::Failed);
    BOOST_TEST(fixture.schedule().starts_.empty());
    const auto writes = fixture.dispatcher_.takeWrites(10, fixture.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST((writes[0].record_.progress_.state_ == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(failure_counts_once_across_takeover)
{
    DispatcherFixture first;
    first.add("a");
    first.dispatcher_.addJob(testJob("j1", {testStep(1)}, false), first.now_);
    const StartOrder start = first.schedule().starts_.at(0);
    first.finishRun(start, RunOutcome::Failed);
    const auto writes = first.dispatcher_.takeWrites(10, first.now_);
    BOOST_REQUIRE(writes.size() == 1U);

    DispatcherFixture second(false);
    JobOffer loaded{"j1", writes[0].record_, 8, false, {}, {}, {}};
    second.dispatcher_.addJob(loaded, second.now_);
    const std::vector<RunResult> listed{{1, start.run_, RunOutcome::Failed, {}}};
    second.dispatcher_.applyFullReport("a", testTarget("t-a"), 1, {}, listed, second.now_);
    second.dispatcher_.markReconciled(second.now_);
    BOOST_TEST(second.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(tasks_of_earlier_epoch_wait_until_reconciled)
{
    DispatcherFixture fixture(false);
    fixture.add("a");
    JobOffer loaded = testJob("j1", {testStep(1)});
    loaded.fresh_ = false;
    fixture.dispatcher_.addJob(loaded, fixture.now_);
    fixture.dispatcher_.addJob(testJob("j2", {testStep(1)}), fixture.now_);
    const DispatcherActions early = fixture.schedule();
    BOOST_REQUIRE(early.starts_.size() == 1U);
    BOOST_TEST(early.starts_[0].run_.task_.job_ == "j2");
    fixture.dispatcher_.markReconciled(fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(orphan_runs_and_results_are_kept_until_job_is_offered)
{
    DispatcherFixture fixture(false);
    const std::vector<Run> running{{{"j1", 0, 0}, 3}};
    const std::vector<RunResult> results{{1, {{"j1", 0, 1}, 4}, RunOutcome::Done, {}}};
    fixture.dispatcher_.applyFullReport("a", testTarget("t-a"), 1, running, results, fixture.now_);
    DispatcherActions actions = fixture.dispatcher_.takeActions();
    BOOST_TEST(actions.stops_.empty());
    BOOST_TEST(actions.acks_.empty());
    BOOST_TEST(!actions.lookups_.empty());
    fixture.dispatcher_.markReconciled(fixture.now_);
    JobOffer offer = testJob("j1", {testStep(2)}, false);
    offer.fresh_ = false;
    fixture.dispatcher_.addJob(offer, fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.dispatcher_.applyResult("a", {2, running[0], RunOutcome::Done, {}}, fixture.now_);
    const auto writes = fixture.dispatcher_.takeWrites(10, fixture.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST((writes[0].record_.progress_.state_ == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(runs_of_unknown_job_are_stopped)
{
    DispatcherFixture fixture;
    const std::vector<Run> running{{{"j1", 0, 0}, 3}};
    fixture.dispatcher_.applyFullReport("a", testTarget("t-a"), 1, running, {}, fixture.now_);
    fixture.dispatcher_.discardUnknownJob("j1");
    BOOST_TEST(fixture.dispatcher_.takeActions().stops_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(job_offered_after_stop_of_its_runs_waits_for_their_end)
{
    DispatcherFixture fixture;
    const std::vector<Run> running{{{"j1", 0, 0}, 3}};
    fixture.dispatcher_.applyFullReport("a", testTarget("t-a"), 1, running, {}, fixture.now_);
    fixture.add("b");
    fixture.dispatcher_.discardUnknownJob("j1");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.dispatcher_.applyResult("a", {1, running[0], RunOutcome::Stopped, {}}, fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(tasks_of_lost_target_are_placed_elsewhere)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    const StartOrder first = fixture.schedule().starts_.at(0);
    fixture.add("b");
    fixture.dispatcher_.markTargetLost("a", fixture.now_);
    // A later dispatcher may lead the agent, with its run still going on.
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.dispatcher_.requeueLostTasks(fixture.now_ + Millis{1});
    const DispatcherActions second = fixture.schedule();
    BOOST_REQUIRE(second.starts_.size() == 1U);
    BOOST_TEST(second.starts_[0].agent_ == "b");
    BOOST_TEST(second.starts_[0].run_.number_ > first.run_.number_);
}

BOOST_AUTO_TEST_CASE(restarted_target_renumbers_results_and_agent_reports_lost_runs)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(2)}, false), fixture.now_);
    const DispatcherActions first = fixture.schedule();
    BOOST_REQUIRE(first.starts_.size() == 2U);
    fixture.dispatcher_.applyResult("a", {9, first.starts_[0].run_, RunOutcome::Done, {}}, fixture.now_);
    TargetInfo restarted = testTarget("t-a");
    restarted.targetIncarnation_ = 2;
    fixture.dispatcher_.updateTarget("a", restarted);
    // The start of the second task may have reached the new incarnation.
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.dispatcher_.applyResult("a", {0, first.starts_[1].run_, RunOutcome::Lost, {}}, fixture.now_);
    const DispatcherActions again = fixture.schedule();
    BOOST_REQUIRE(again.starts_.size() == 1U);
    fixture.dispatcher_.applyResult("a", {1, again.starts_[0].run_, RunOutcome::Done, {}}, fixture.now_);
    const auto writes = fixture.dispatcher_.takeWrites(10, fixture.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST((writes[0].record_.progress_.state_ == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(late_result_of_earlier_incarnation_does_not_use_a_number_of_the_current_one)
{
    DispatcherFixture fixture(false);
    const std::vector<RunResult> results{{68, {{"j1", 0, 0}, 2}, RunOutcome::Done, {}}};
    fixture.dispatcher_.applyFullReport("a", testTarget("t-a"), 1, {}, results, fixture.now_);
    TargetInfo restarted = testTarget("t-a");
    restarted.targetIncarnation_ = 2;
    fixture.dispatcher_.updateTarget("a", restarted);
    fixture.dispatcher_.markReconciled(fixture.now_);
    fixture.dispatcher_.addJob(testJob("j1", {testStep(2)}), fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.starts_.size() == 1U);
    fixture.dispatcher_.applyResult("a", {1, actions.starts_[0].run_, RunOutcome::Done, {}}, fixture.now_);
    BOOST_TEST((fixture.dispatcher_.finalState("j1") == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(announcement_after_report_is_not_a_restart)
{
    DispatcherFixture fixture(false);
    JobOffer offer = testJob("j1", {testStep(2)}, false);
    offer.fresh_ = false;
    fixture.dispatcher_.addJob(offer, fixture.now_);
    const std::vector<Run> running{{{"j1", 0, 1}, 3}};
    const std::vector<RunResult> results{{1, {{"j1", 0, 0}, 2}, RunOutcome::Done, {}}};
    fixture.dispatcher_.applyFullReport("a", std::nullopt, 1, running, results, fixture.now_);
    fixture.dispatcher_.updateTarget("a", testTarget("t-a"));
    fixture.dispatcher_.markReconciled(fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    // The result of the first task is not stored, so the target must keep listing it.
    fixture.dispatcher_.applyResult("a", {2, {{"j9", 0, 0}, 4}, RunOutcome::Stopped, {}}, fixture.now_);
    fixture.dispatcher_.discardUnknownJob("j9");
    BOOST_TEST(fixture.dispatcher_.takeActions().acks_.empty());
}

BOOST_AUTO_TEST_CASE(late_done_result_stops_replacement_run)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1), testStep(1)}), fixture.now_);
    const StartOrder first = fixture.schedule().starts_.at(0);
    fixture.add("b");
    fixture.dispatcher_.markTargetLost("a", fixture.now_);
    fixture.dispatcher_.requeueLostTasks(fixture.now_ + Millis{1});
    fixture.schedule();
    fixture.dispatcher_.applyResult("a", {1, first.run_, RunOutcome::Done, {}}, fixture.now_);
    BOOST_TEST(fixture.dispatcher_.takeActions().stops_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(backs_off_from_target_that_rejects_starts)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    int starts = 0;
    for (int i = 0; i < 1000; ++i) {
        fixture.now_ = fixture.now_ + Millis{1};
        for (const StartOrder &start : fixture.schedule().starts_) {
            ++starts;
            fixture.dispatcher_.onStartRejected(start.agent_, start.run_, false, fixture.now_);
        }
    }
    BOOST_TEST(starts <= 8);
}

BOOST_AUTO_TEST_CASE(refuses_unstarted_job_at_caller_timeout)
{
    DispatcherFixture fixture;
    JobOffer offer = testJob("j1", {testStep(1)});
    offer.callerTimeout_ = {500};
    fixture.dispatcher_.addJob(offer, fixture.now_);
    fixture.dispatcher_.refuseUnservable(fixture.now_ + Millis{499});
    BOOST_TEST(fixture.dispatcher_.takeActions().notices_.empty());
    fixture.dispatcher_.refuseUnservable(fixture.now_ + Millis{500});
    const DispatcherActions actions = fixture.dispatcher_.takeActions();
    BOOST_REQUIRE(actions.notices_.size() == 1U);
    BOOST_TEST((actions.notices_[0].state_ == JobState::Refused));
    fixture.add("a");
    BOOST_TEST(fixture.schedule().starts_.empty());
}

BOOST_AUTO_TEST_CASE(never_refuses_started_job)
{
    DispatcherFixture fixture;
    fixture.add("a");
    JobOffer offer = testJob("j1", {testStep(2, 5000)});
    offer.callerTimeout_ = {500};
    fixture.dispatcher_.addJob(offer, fixture.now_);
    const StartOrder start = fixture.schedule().starts_.at(0);
    fixture.dispatcher_.onStartRejected("a", start.run_, false, fixture.now_);
    fixture.dispatcher_.refuseUnservable(fixture.now_ + Millis{501});
    BOOST_TEST(fixture.dispatcher_.takeActions().notices_.empty());
}

// Guards against a refusal of a job that has run. The former leader had run some tasks of it, the next leader had no
// record of them, and the caller was told that the job had not run. Occurred on a test bench.
BOOST_AUTO_TEST_CASE(never_refuses_job_that_earlier_leader_may_have_started)
{
    DispatcherFixture fixture;
    JobOffer offer = testJob("j1", {testStep(4)});
    offer.fresh_ = false;
    offer.callerTimeout_ = {500};
    fixture.dispatcher_.addJob(offer, fixture.now_);
    JobOffer again = testJob("j2", {testStep(4)});
    again.callerTimeout_ = {500};
    fixture.dispatcher_.addJob(again, fixture.now_);
    again.fresh_ = false;
    fixture.dispatcher_.addJob(again, fixture.now_);
    fixture.now_ = {1500};
    fixture.dispatcher_.refuseUnservable(fixture.now_);
    BOOST_TEST(fixture.dispatcher_.takeActions().notices_.empty());
}

BOOST_AUTO_TEST_CASE(never_refuses_job_with_reported_result)
{
    for (const RunOutcome kind : {RunOutcome::Done, RunOutcome::Failed, RunOutcome::Stopped, RunOutcome::LeaseExpired}) {
        DispatcherFixture fixture;
        const std::vector<RunResult> results{{1, {{"j1", 0, 0}, 3}, kind, {}}};
        fixture.dispatcher_.applyFullReport("a", testTarget("t-a", 100), 1, {}, results, fixture.now_);
        JobOffer offer = testJob("j1", {testStep(4)});
        offer.callerTimeout_ = {500};
        fixture.dispatcher_.addJob(offer, fixture.now_);
        fixture.now_ = {1500};
        fixture.dispatcher_.refuseUnservable(fixture.now_);
        BOOST_TEST(fixture.dispatcher_.takeActions().notices_.empty());
    }
}

// Guards against an early acknowledgement: without these results the next leader would run completed tasks again.
BOOST_AUTO_TEST_CASE(results_of_ephemeral_job_are_acknowledged_once_it_has_ended)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(2)}), fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.starts_.size() == 2U);
    fixture.finishRun(actions.starts_[0]);
    fixture.now_ = {9000};
    fixture.dispatcher_.takeWrites(10, fixture.now_);
    BOOST_TEST(fixture.dispatcher_.takeActions().acks_.empty());
    fixture.finishRun(actions.starts_[1]);
    const DispatcherActions after = fixture.dispatcher_.takeActions();
    BOOST_REQUIRE(!after.acks_.empty());
    BOOST_TEST(after.acks_.back().through_ == 2U);
}

BOOST_AUTO_TEST_CASE(records_of_ended_jobs_are_removed_after_retention)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("d1", {testStep(1)}, false), fixture.now_);
    fixture.dispatcher_.addJob(testJob("e1", {testStep(1)}, true), fixture.now_);
    for (const StartOrder &start : fixture.schedule().starts_) {
        fixture.finishRun(start);
    }
    BOOST_REQUIRE(fixture.dispatcher_.takeWrites(10, fixture.now_).size() == 1U);
    fixture.dispatcher_.onWritten("d1", 40, fixture.now_);
    JobOffer loaded = testJob("d2", {}, false);
    loaded.record_.progress_.state_ = JobState::Failed;
    loaded.revision_ = 41;
    fixture.dispatcher_.addJob(loaded, fixture.now_);
    fixture.dispatcher_.expireFinalJobs(fixture.now_, fixture.now_, fixture.now_);
    BOOST_TEST(fixture.dispatcher_.takeRemovals(10).empty());
    BOOST_TEST(fixture.dispatcher_.hasJob("d1"));
    fixture.dispatcher_.expireFinalJobs(fixture.now_ + Millis{1}, fixture.now_ + Millis{1}, fixture.now_ + Millis{1});
    BOOST_TEST(!fixture.dispatcher_.hasJob("d1"));
    std::map<std::string, std::int64_t> removed;
    for (const JobRemoval &removal : fixture.dispatcher_.takeRemovals(1)) {
        removed[removal.job_] = removal.revision_;
    }
    BOOST_TEST(removed.size() == 1U);
    const auto rest = fixture.dispatcher_.takeRemovals(10);
    BOOST_REQUIRE(rest.size() == 1U);
    fixture.dispatcher_.requeueRemovals(rest);
    for (const JobRemoval &removal : fixture.dispatcher_.takeRemovals(10)) {
        removed[removal.job_] = removal.revision_;
    }
    const std::map<std::string, std::int64_t> wanted{{"d1", 40}, {"d2", 41}};
    BOOST_TEST((removed == wanted));
}

// Guards against running a job after its refusal. An entry whose path to the leader was replaced repeated its offer
// while the refusal was in flight: the caller was told that the job had not run, and it ran a second later. Occurred on a
// test bench.
BOOST_AUTO_TEST_CASE(refused_job_stays_refused_until_resubmitted)
{
    DispatcherFixture fixture;
    JobOffer offer = testJob("j1", {testStep(1)});
    offer.callerTimeout_ = {500};
    fixture.dispatcher_.addJob(offer, fixture.now_);
    fixture.dispatcher_.refuseUnservable(fixture.now_ + Millis{500});
    fixture.add("a");
    JobOffer repeated = offer;
    repeated.fresh_ = false;
    BOOST_TEST((fixture.dispatcher_.addJob(repeated, fixture.now_) == std::optional(JobState::Refused)));
    BOOST_TEST(fixture.schedule().starts_.empty());
    BOOST_TEST(!fixture.dispatcher_.addJob(offer, fixture.now_).has_value());
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(no_notice_for_abandoned_ephemeral_job)
{
    DispatcherFixture fixture;
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    fixture.dispatcher_.abandon("j1", "entry-1", fixture.now_);
    BOOST_TEST(fixture.dispatcher_.takeActions().notices_.empty());
}

BOOST_AUTO_TEST_CASE(refuses_job_that_can_only_end_too_late)
{
    DispatcherFixture fixture;
    JobOffer offer = testJob("j1", {testStep(1)});
    offer.callerTimeout_ = {5000};
    fixture.dispatcher_.addJob(offer, fixture.now_);
    // The objective is 1.6 * 100 ms + 60 ms. Three times that may pass, including 100 ms of work at the end.
    fixture.dispatcher_.refuseUnservable(fixture.now_ + Millis{560});
    BOOST_TEST(fixture.dispatcher_.takeActions().notices_.empty());
    fixture.dispatcher_.refuseUnservable(fixture.now_ + Millis{561});
    const DispatcherActions actions = fixture.dispatcher_.takeActions();
    BOOST_REQUIRE(actions.notices_.size() == 1U);
    BOOST_TEST((actions.notices_[0].state_ == JobState::Refused));
}

BOOST_AUTO_TEST_CASE(new_leader_counts_time_that_caller_has_waited)
{
    DispatcherFixture fixture;
    JobOffer offer = testJob("j1", {testStep(1)});
    offer.callerTimeout_ = {5000};
    offer.age_ = {600};
    fixture.dispatcher_.addJob(offer, fixture.now_);
    fixture.dispatcher_.refuseUnservable(fixture.now_ + Millis{1});
    BOOST_TEST(fixture.dispatcher_.takeActions().notices_.size() == 1U);
}

// A target with capacity for 100 jobs per second receives 160 per second for three seconds, then 60. Every caller must
// be notified within three times the objective, and jobs submitted after the burst must meet their objective at once.
BOOST_AUTO_TEST_CASE(jobs_after_a_burst_meet_their_objective)
{
    constexpr std::int64_t length = 6000;
    constexpr std::int64_t burst = 3000;
    DispatcherFixture fixture;
    fixture.add("a", 10000);
    struct SubmittedJob
    {
        std::int64_t submittedAt_ = 0;
        std::int64_t notifiedAfter_ = -1;
        JobState state_ = JobState::Pending;
    };
    std::map<std::string, SubmittedJob> jobs;
    std::multimap<std::int64_t, StartOrder> running;
    double pendingArrivals = 0;
    for (std::int64_t now = 0; now < length + 1000; ++now) {
        fixture.now_ = {1000 + now};
        pendingArrivals += now < burst ? 0.16 : now < length ? 0.06 : 0;
        for (; pendingArrivals >= 1; pendingArrivals -= 1) {
            const std::string id = "j" + std::to_string(jobs.size());
            JobOffer offer = testJob(id, {testStep(1)});
            offer.callerTimeout_ = {3000};
            fixture.dispatcher_.addJob(offer, fixture.now_);
            jobs[id].submittedAt_ = now;
        }
        while (!running.empty() && running.begin()->first <= now) {
            fixture.finishRun(running.begin()->second);
            running.erase(running.begin());
        }
        fixture.dispatcher_.schedule(fixture.now_);
        if (now % 50 == 0) {
            fixture.dispatcher_.refuseUnservable(fixture.now_);
        }
        const DispatcherActions actions = fixture.dispatcher_.takeActions();
        for (const StartOrder &start : actions.starts_) {
            running.emplace(now + 100, start);
        }
        for (const Notice &notice : actions.notices_) {
            jobs[notice.job_].notifiedAfter_ = now - jobs[notice.job_].submittedAt_;
            jobs[notice.job_].state_ = notice.state_;
        }
    }
    int inTime = 0;
    constexpr std::int64_t objective = 220;
    for (const auto &[id, job] : jobs) {
        BOOST_TEST(job.notifiedAfter_ >= 0);
        BOOST_TEST(job.notifiedAfter_ <= usefulObjectiveFactor * objective);
        const bool served = job.state_ == JobState::Completed && job.notifiedAfter_ <= objective;
        inTime += served ? 1 : 0;
        if (job.submittedAt_ > burst + objective) {
            BOOST_TEST(served);
        }
    }
    // The capacity suffices for 300 jobs of the burst and for all 180 after it.
    BOOST_TEST(inTime >= 430);
}

BOOST_AUTO_TEST_CASE(cancelled_durable_job_is_stored_and_its_runs_are_stopped)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(2)}, false), fixture.now_);
    fixture.schedule();
    BOOST_TEST((fixture.dispatcher_.cancel("j1", fixture.now_) == CancelOutcome::Accepted));
    BOOST_TEST(fixture.dispatcher_.takeActions().stops_.size() == 2U);
    BOOST_TEST(fixture.dispatcher_.takeWrites(10, fixture.now_).size() == 1U);
    fixture.dispatcher_.onWritten("j1", 8, fixture.now_);
    BOOST_TEST((fixture.dispatcher_.cancel("j1", fixture.now_) == CancelOutcome::AlreadyFinal));
    BOOST_TEST((fixture.dispatcher_.cancel("j2", fixture.now_) == CancelOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(target_without_admission_control_gets_no_task_beside_runs_of_unknown_need)
{
    for (const bool admissionControl : {false, true}) {
        DispatcherFixture fixture;
        CellConfig config = testConfig();
        config.admissionControl_["desk"] = admissionControl;
        fixture.dispatcher_.setConfig(config, {});
        const std::vector<Run> running{{{"unknown", 0, 0}, 3}};
        fixture.dispatcher_.applyFullReport("a", testTarget("t-a"), 1, running, {}, fixture.now_);
        fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
        BOOST_TEST(fixture.schedule().starts_.size() == (admissionControl ? 1U : 0U));
        fixture.dispatcher_.applyResult("a", {1, running[0], RunOutcome::Stopped, {}}, fixture.now_);
        BOOST_TEST(fixture.schedule().starts_.size() == (admissionControl ? 0U : 1U));
    }
}

BOOST_AUTO_TEST_CASE(target_whose_capacity_has_shrunk_gets_no_task_until_it_fits)
{
    DispatcherFixture fixture;
    fixture.add("a", 4000);
    fixture.dispatcher_.addJob(testJob("j1", {testStep(3)}), fixture.now_);
    const DispatcherActions first = fixture.schedule();
    fixture.dispatcher_.updateTarget("a", testTarget("t-a", 2000));
    fixture.dispatcher_.addJob(testJob("j2", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.finishRun(first.starts_.at(0));
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.finishRun(first.starts_.at(1));
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
    fixture.dispatcher_.updateTarget("a", testTarget("t-a", 4000));
    fixture.dispatcher_.addJob(testJob("j3", {testStep(2)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(abandoned_job_whose_caller_returns_runs_again_once_its_runs_have_ended)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.add("b");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    const DispatcherActions first = fixture.schedule();
    fixture.dispatcher_.abandon("j1", "entry-1", fixture.now_);
    const std::optional<JobState> state = fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    BOOST_TEST(!state.has_value());
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.finishRun(first.starts_.at(0), RunOutcome::Stopped);
    const DispatcherActions second = fixture.schedule();
    BOOST_REQUIRE(second.starts_.size() == 1U);
    fixture.finishRun(second.starts_[0]);
    const DispatcherActions last = fixture.schedule();
    BOOST_REQUIRE(last.notices_.size() == 1U);
    BOOST_TEST((last.notices_[0].state_ == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(abandoned_job_does_not_run_again_while_a_lost_target_may_run_it)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    fixture.schedule();
    fixture.dispatcher_.abandon("j1", "entry-1", fixture.now_);
    fixture.dispatcher_.markTargetLost("a", fixture.now_);
    fixture.add("b");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
}

BOOST_AUTO_TEST_CASE(returned_job_that_has_run_is_not_refused_as_not_run_after_its_state_has_expired)
{
    DispatcherFixture fixture;
    fixture.add("a");
    JobOffer offer = testJob("j1", {testStep(1)});
    offer.callerTimeout_ = {60000};
    fixture.dispatcher_.addJob(offer, fixture.now_);
    BOOST_REQUIRE(fixture.schedule().starts_.size() == 1U);
    fixture.dispatcher_.abandon("j1", "entry-1", fixture.now_);
    fixture.dispatcher_.markTargetLost("a", fixture.now_);
    fixture.dispatcher_.addJob(offer, fixture.now_);
    fixture.dispatcher_.expireFinalJobs(fixture.now_ + Millis{1}, fixture.now_ + Millis{1}, fixture.now_ + Millis{1});
    fixture.schedule();
    BOOST_TEST(fixture.dispatcher_.openJobs() == 1U);
    fixture.now_ = fixture.now_ + Millis{120000};
    fixture.dispatcher_.refuseUnservable(fixture.now_);
    BOOST_TEST(fixture.dispatcher_.takeActions().notices_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
