// Tests what the dispatcher does about tasks that crash their targets.

#include "dispatcherfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

BOOST_AUTO_TEST_SUITE(dispatcher_crashes)

BOOST_AUTO_TEST_CASE(ephemeral_task_that_crashes_two_targets_is_not_started_again)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.add("b");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    const DispatcherActions first = fixture.schedule();
    BOOST_REQUIRE(first.starts_.size() == 1U);
    fixture.crash(first.starts_[0].agent_, first.starts_);
    const DispatcherActions second = fixture.schedule();
    BOOST_REQUIRE(second.starts_.size() == 1U);
    fixture.crash(second.starts_[0].agent_, second.starts_);
    const DispatcherActions third = fixture.schedule();
    BOOST_TEST(third.starts_.empty());
    BOOST_REQUIRE(third.notices_.size() == 1U);
    BOOST_TEST((third.notices_[0].state_ == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(crash_reported_twice_counts_once)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    const DispatcherActions first = fixture.schedule();
    fixture.crash("a", {first.starts_[0], first.starts_[0]});
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(task_that_was_only_beside_the_cause_is_given_up_after_four_crashes)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    constexpr int starts = 4;
    for (int i = 0; i < starts; ++i) {
        const DispatcherActions actions = fixture.schedule();
        BOOST_REQUIRE(actions.starts_.size() == 1U);
        fixture.crash("a", actions.starts_, false);
    }
    BOOST_TEST(fixture.schedule().starts_.empty());
}

BOOST_AUTO_TEST_CASE(resubmitted_job_that_crashed_two_targets_fails_at_once)
{
    DispatcherFixture fixture;
    fixture.add("a");
    const TaskId task{"j1", 0, 0};
    const std::vector<RunCrash> crashes{{{task, 1}, true, true, {900}}, {{task, 2}, true, true, {}}};
    fixture.dispatcher_.recordCrashes(crashes, fixture.now_);
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_TEST(actions.starts_.empty());
    BOOST_REQUIRE(actions.notices_.size() == 1U);
    BOOST_TEST((actions.notices_[0].state_ == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(crashes_of_a_stored_job_are_stored_and_count_after_a_takeover)
{
    JobOffer stored = testJob("j1", {testStep(1)}, false);
    constexpr std::uint64_t maxStarts = 3;
    for (std::uint64_t epoch = 1; epoch <= maxStarts; ++epoch) {
        DispatcherFixture fixture(true, epoch);
        fixture.add("a");
        fixture.dispatcher_.addJob(stored, fixture.now_);
        const DispatcherActions actions = fixture.schedule();
        BOOST_REQUIRE(actions.starts_.size() == 1U);
        fixture.crash("a", actions.starts_);
        const std::vector<JobWrite> writes = fixture.dispatcher_.takeWrites(9, fixture.now_);
        BOOST_REQUIRE(writes.size() == 1U);
        stored.record_ = writes[0].record_;
        stored.fresh_ = false;
        BOOST_TEST((stored.record_.progress_.state_ == JobState::Failed) == (epoch == maxStarts));
    }
}

BOOST_AUTO_TEST_CASE(stored_job_is_not_started_again_before_the_crash_is_stored)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}, false), fixture.now_);
    const DispatcherActions first = fixture.schedule();
    fixture.crash("a", first.starts_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    BOOST_REQUIRE(fixture.dispatcher_.takeWrites(9, fixture.now_).size() == 1U);
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.dispatcher_.onWriteFailed("j1", 7);
    BOOST_TEST(fixture.schedule().starts_.empty());
    BOOST_REQUIRE(fixture.dispatcher_.takeWrites(9, fixture.now_).size() == 1U);
    fixture.dispatcher_.onWritten("j1", 8, fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(suspects_of_two_jobs_do_not_share_a_target_and_hold_up_nobody)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    fixture.dispatcher_.addJob(testJob("j2", {testStep(1)}), fixture.now_);
    const DispatcherActions first = fixture.schedule();
    BOOST_REQUIRE(first.starts_.size() == 2U);
    fixture.crash("a", first.starts_);
    fixture.dispatcher_.addJob(testJob("j3", {testStep(1)}), fixture.now_);
    const DispatcherActions second = fixture.schedule();
    BOOST_REQUIRE(second.starts_.size() == 2U);
    BOOST_TEST(second.starts_[0].run_.task_.job_ == "j1");
    BOOST_TEST(second.starts_[1].run_.task_.job_ == "j3");
    fixture.finishRun(second.starts_[0]);
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(contained_queue_and_others_do_not_share_targets)
{
    DispatcherFixture fixture;
    for (const char *agent : {"a", "b", "c", "d"}) {
        fixture.add(agent, 1000);
    }
    fixture.containUrgent();
    fixture.dispatcher_.addJob(testJob("u1", {testStep(4)}), fixture.now_);
    fixture.dispatcher_.addJob(testJob("l1", {testStep(4)}, true, "later"), fixture.now_);
    std::set<std::string> urgent;
    std::set<std::string> later;
    for (const StartOrder &start : fixture.schedule().starts_) {
        (start.run_.task_.job_ == "u1" ? urgent : later).insert(start.agent_);
    }
    // All targets are idle, so half of them are for the contained queue.
    BOOST_TEST(urgent.size() == 2U);
    BOOST_TEST(later.size() == 2U);
    BOOST_TEST(std::none_of(urgent.begin(), urgent.end(), [&later](const std::string &agent) { return later.count(agent) != 0; }));
}

BOOST_AUTO_TEST_CASE(target_of_contained_queues_runs_one_job_at_a_time)
{
    DispatcherFixture fixture;
    for (const char *agent : {"a", "b", "c", "d"}) {
        fixture.add(agent);
    }
    fixture.containUrgent();
    for (const char *job : {"u1", "u2", "u3"}) {
        fixture.dispatcher_.addJob(testJob(job, {testStep(2)}), fixture.now_);
    }
    std::map<std::string, std::set<std::string>> jobsByAgent;
    for (const StartOrder &start : fixture.schedule().starts_) {
        jobsByAgent[start.agent_].insert(start.run_.task_.job_);
    }
    BOOST_TEST(jobsByAgent.size() == 2U);
    for (const auto &[agent, jobs] : jobsByAgent) {
        BOOST_TEST(jobs.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(job_of_contained_queue_is_refused_at_once_while_its_targets_are_down)
{
    DispatcherFixture fixture;
    for (const char *agent : {"a", "b", "c", "d"}) {
        fixture.add(agent);
    }
    fixture.containUrgent();
    fixture.schedule();
    for (const char *agent : {"a", "b", "c", "d"}) {
        TargetInfo down = testTarget("t-" + std::string(agent));
        down.responsive_ = false;
        fixture.dispatcher_.updateTarget(agent, down);
    }
    JobOffer offer = testJob("u1", {testStep(1)});
    offer.callerTimeout_ = {1500};
    fixture.dispatcher_.addJob(offer, fixture.now_);
    fixture.schedule();
    fixture.dispatcher_.refuseUnservable(fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.notices_.size() == 1U);
    BOOST_TEST((actions.notices_[0].state_ == JobState::Refused));
}

BOOST_AUTO_TEST_CASE(stored_job_of_contained_queue_does_not_wait_while_most_targets_are_idle)
{
    DispatcherFixture fixture;
    for (const char *agent : {"a", "b", "c", "d", "e", "f"}) {
        fixture.add(agent);
    }
    fixture.containUrgent();
    for (const char *job : {"u1", "u2", "u3", "u4"}) {
        fixture.dispatcher_.addJob(testJob(job, {testStep(1)}, false), fixture.now_);
    }
    BOOST_TEST(fixture.schedule().starts_.size() == 3U);
    fixture.now_ = fixture.now_ + Millis{2000};
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(successor_contains_the_queues_of_the_previous_dispatcher)
{
    DispatcherFixture fixture;
    for (const char *agent : {"a", "b", "c", "d"}) {
        fixture.add(agent);
    }
    fixture.dispatcher_.containQueues({"urgent"}, fixture.now_);
    fixture.dispatcher_.addJob(testJob("u1", {testStep(4)}), fixture.now_);
    std::set<std::string> agents;
    for (const StartOrder &start : fixture.schedule().starts_) {
        agents.insert(start.agent_);
    }
    BOOST_TEST(agents.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
