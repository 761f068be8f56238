// Tests the dispatcher with targets that have not listed all of their results.

#include "dispatcherfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

/// A job of two tasks runs on a target whose agent restarts while the target has unlisted results.
struct RestartedAgentFixture : DispatcherFixture
{
    RestartedAgentFixture()
    {
        add("a");
        dispatcher_.addJob(testJob("j1", {testStep(2)}, false), now_);
        starts_ = schedule().starts_;
        dispatcher_.setUnlistedResults("a", true, now_);
        dispatcher_.applyFullReport("a", testTarget("t-a"), 1, {}, {}, now_);
    }

    std::vector<StartOrder> starts_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_unlisted)

// An agent that had restarted could not know of runs whose results its target did not list, and their tasks were started again.
BOOST_AUTO_TEST_CASE(run_missing_in_a_report_is_lost_only_once_all_results_are_listed)
{
    RestartedAgentFixture fixture;
    BOOST_REQUIRE(fixture.starts_.size() == 2U);
    fixture.add("b");
    BOOST_TEST(fixture.schedule().starts_.empty());
    fixture.dispatcher_.applyResult("a", {1, fixture.starts_[0].run_, RunOutcome::Done, {}}, fixture.now_);
    fixture.dispatcher_.setUnlistedResults("a", false, fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.starts_.size() == 1U);
    BOOST_TEST(actions.starts_[0].run_.task_.index_ == fixture.starts_[1].run_.task_.index_);
}

BOOST_AUTO_TEST_CASE(target_with_unlisted_results_gets_no_starts)
{
    RestartedAgentFixture fixture;
    fixture.dispatcher_.addJob(testJob("j2", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    BOOST_TEST(fixture.dispatcher_.hasUnlistedResults());
    fixture.dispatcher_.markTargetLost("a", fixture.now_);
    BOOST_TEST(!fixture.dispatcher_.hasUnlistedResults());
}

// The results of an ephemeral job filled the list of its target, which could not list the result that the job needed to end.
BOOST_AUTO_TEST_CASE(results_of_unfinished_ephemeral_jobs_do_not_keep_a_list_full)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(2)}, true), fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.starts_.size() == 2U);
    fixture.finishRun(actions.starts_[0]);
    BOOST_TEST(fixture.dispatcher_.takeActions().acks_.empty());
    fixture.dispatcher_.setUnlistedResults("a", true, fixture.now_);
    const DispatcherActions later = fixture.dispatcher_.takeActions();
    BOOST_REQUIRE(later.acks_.size() == 1U);
    BOOST_TEST(later.acks_[0].through_ == 1U);
}

// An acknowledgement that was lost with the path to the agent was never repeated.
BOOST_AUTO_TEST_CASE(acknowledgement_is_repeated_after_a_full_report)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    const StartOrder start = fixture.schedule().starts_.at(0);
    fixture.finishRun(start);
    BOOST_TEST(fixture.dispatcher_.takeActions().acks_.size() == 1U);
    const std::vector<RunResult> listed{{1, start.run_, RunOutcome::Done, {}}};
    fixture.dispatcher_.applyFullReport("a", testTarget("t-a"), 1, {}, listed, fixture.now_);
    const DispatcherActions again = fixture.dispatcher_.takeActions();
    BOOST_REQUIRE(again.acks_.size() == 1U);
    BOOST_TEST(again.acks_[0].through_ == 1U);
}

BOOST_AUTO_TEST_CASE(progress_is_stored_early_when_many_results_wait)
{
    DispatcherFixture fixture;
    fixture.add("a", 1000000);
    fixture.dispatcher_.addJob(testJob("j1", {testStep(300)}, false), fixture.now_);
    const DispatcherActions actions = fixture.schedule();
    BOOST_REQUIRE(actions.starts_.size() == 300U);
    for (std::size_t i = 0; i < 100; ++i) {
        fixture.finishRun(actions.starts_[i]);
    }
    BOOST_TEST(fixture.dispatcher_.takeWrites(10, fixture.now_).empty());
    for (std::size_t i = 100; i < 299; ++i) {
        fixture.finishRun(actions.starts_[i]);
    }
    BOOST_TEST(fixture.dispatcher_.takeWrites(10, fixture.now_).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
