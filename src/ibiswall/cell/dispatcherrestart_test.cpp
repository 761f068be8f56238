// Tests what a dispatcher makes of the reports about a target that has restarted under its id.

#include "dispatcherfixture.hpp"
#include "targetsupervisorfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

constexpr std::int64_t restarted = 2;

/// Results of the first incarnation have been acknowledged, and a task is placed on the target.
struct RestartedTargetFixture : DispatcherFixture
{
    RestartedTargetFixture()
    {
        add("a");
        dispatcher_.addJob(testJob("first", {testStep(3)}), now_);
        for (const StartOrder &start : schedule().starts_) {
            finishRun(start);
        }
        dispatcher_.takeActions();
        dispatcher_.addJob(testJob("j1", {testStep(1)}), now_);
        placed_ = schedule().starts_.at(0).run_;
    }

    Run placed_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_restart)

// Results of an incarnation that had not announced itself were dropped as ones that had been acknowledged, and the job never ended.
BOOST_AUTO_TEST_CASE(results_of_an_incarnation_that_has_not_announced_itself_count)
{
    RestartedTargetFixture fixture;
    fixture.dispatcher_.followIncarnation("a", restarted);
    fixture.dispatcher_.applyResult("a", {1, fixture.placed_, RunOutcome::Done, {}}, fixture.now_);
    BOOST_TEST((fixture.dispatcher_.finalState("j1") == JobState::Completed));
    const DispatcherActions actions = fixture.dispatcher_.takeActions();
    BOOST_REQUIRE(actions.acks_.size() == 1U);
    BOOST_TEST(actions.acks_[0].targetIncarnation_ == restarted);
    BOOST_TEST(actions.acks_[0].through_ == 1U);
}

BOOST_AUTO_TEST_CASE(incarnation_that_has_not_announced_itself_gets_no_starts)
{
    RestartedTargetFixture fixture;
    fixture.dispatcher_.followIncarnation("a", restarted);
    fixture.dispatcher_.addJob(testJob("j2", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
    TargetInfo info = testTarget("t-a");
    info.targetIncarnation_ = restarted;
    fixture.dispatcher_.updateTarget("a", info);
    BOOST_TEST(fixture.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(report_of_an_earlier_incarnation_does_not_take_the_target_back)
{
    RestartedTargetFixture fixture;
    fixture.dispatcher_.followIncarnation("a", restarted);
    fixture.dispatcher_.followIncarnation("a", restarted - 1);
    fixture.dispatcher_.applyResult("a", {1, fixture.placed_, RunOutcome::Done, {}}, fixture.now_);
    BOOST_TEST(fixture.dispatcher_.takeActions().acks_.at(0).targetIncarnation_ == restarted);
}

BOOST_AUTO_TEST_CASE(every_report_names_the_incarnation_that_numbered_its_results)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(60);
    fixture.answerRenewals({}, {{1, {{"j1", 0, 0}, 1}, RunOutcome::Done, {}}}, restarted);
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_TEST(!report.full_);
    BOOST_TEST(!report.info_.has_value());
    BOOST_TEST(report.targetIncarnation_ == restarted);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
