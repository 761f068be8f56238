// Tests a supervisor whose target restarts under its id: the new incarnation takes calls that were meant for the former one.

#include "targetsupervisorfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

constexpr std::int64_t former = 1;
constexpr std::int64_t current = 2;

Run runOf(const std::string &job, std::uint64_t number)
{
    return {{job, 0, 0}, number};
}

// The renewals in flight get no reply; the next ones are sent after the latest start was confirmed.
void loseRenewals(TargetSupervisorFixture &fixture)
{
    fixture.advance(5);
    fixture.failRenewals(CallOutcome::Unknown);
    fixture.advance(10);
}

std::vector<std::uint64_t> lostRuns(const AgentReport &report)
{
    std::vector<std::uint64_t> lost;
    for (const RunResult &result : report.results_) {
        if (result.kind_ == RunOutcome::Lost) {
            lost.push_back(result.run_.number_);
        }
    }
    return lost;
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_supervisor_restart)

// Runs that the new incarnation had confirmed were reported as lost, and their tasks ran elsewhere at the same time.
BOOST_AUTO_TEST_CASE(run_listed_by_the_new_incarnation_is_not_lost)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(5);
    fixture.answerRenewals({runOf("j1", 1)}, {}, current);
    BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()).empty());
    BOOST_TEST(fixture.calls(TargetCall::Kind::Stop).empty());
    BOOST_TEST(fixture.supervisor_.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(run_confirmed_before_the_announcement_of_the_new_incarnation_is_not_lost_before_its_list)
{
    for (const bool listed : {false, true}) {
        TargetSupervisorFixture fixture;
        fixture.startRunning("j1", 1);
        fixture.restartTarget();
        BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()).empty());
        fixture.advance(5);
        fixture.answerRenewals(listed ? std::vector<Run>{runOf("j1", 1)} : std::vector<Run>{}, {}, current);
        BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()).size() == (listed ? 0U : 1U));
        BOOST_TEST(fixture.calls(TargetCall::Kind::Stop).empty());
    }
}

// The result of a run that had ended in the new incarnation already was dropped, and the task was started again.
BOOST_AUTO_TEST_CASE(result_listed_with_the_new_incarnation_is_reported_instead_of_a_loss)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(60);
    fixture.answerRenewals({}, {{1, runOf("j1", 1), RunOutcome::Done, {}}}, current);
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(report.results_.size() == 1U);
    BOOST_TEST((report.results_[0].kind_ == RunOutcome::Done));
    BOOST_TEST(report.results_[0].number_ == 1U);
}

BOOST_AUTO_TEST_CASE(run_confirmed_after_the_list_was_requested_waits_for_the_next_list)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    loseRenewals(fixture);
    fixture.supervisor_.tick(fixture.now_);
    const TargetCall renewal = fixture.calls(TargetCall::Kind::Renew).at(0);
    fixture.advance(5);
    fixture.startRunning("j2", 2);
    fixture.supervisor_.onRenewalReply(renewal, {CallOutcome::Ok, 0, current, {}, {}}, fixture.now_);
    BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()) == std::vector<std::uint64_t>{1});
    fixture.advance(5);
    fixture.answerRenewals({runOf("j2", 2)}, {}, current);
    BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()).empty());
    BOOST_TEST(fixture.supervisor_.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(only_the_latest_of_several_incarnations_keeps_a_run)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(5);
    fixture.answerRenewals({runOf("j1", 1)}, {}, current);
    TargetInfo restarted = testTarget("t");
    restarted.targetIncarnation_ = current + 1;
    fixture.supervisor_.onAnnouncement(restarted, 0, fixture.now_);
    BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()) == std::vector<std::uint64_t>{1});
}

// A run that is active after the crash counted as one that the target had crashed under.
BOOST_AUTO_TEST_CASE(run_of_the_new_incarnation_does_not_count_as_crashed)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("lost", 1);
    fixture.advance(5);
    fixture.answerRenewals({runOf("lost", 1)}, {});
    fixture.startRunning("kept", 2);
    fixture.advance(5);
    fixture.startRunning("unlisted", 3);
    loseRenewals(fixture);
    fixture.answerRenewals({runOf("kept", 2)}, {}, current);
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_TEST(lostRuns(report) == (std::vector<std::uint64_t>{1, 3}));
    BOOST_REQUIRE(report.crashes_.size() == 2U);
    BOOST_TEST(report.crashes_[0].run_.number_ == 1U);
    BOOST_TEST(report.crashes_[1].run_.number_ == 3U);
}

// The crash was recorded before the start timed out, and never counted for its task.
BOOST_AUTO_TEST_CASE(crash_under_a_start_without_a_reply_counts_once_the_run_is_lost)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("old", 1);
    fixture.advance(5);
    fixture.answerRenewals({runOf("old", 1)}, {});
    fixture.start("j1", 2);
    fixture.advance(5);
    fixture.refuseRenewals();
    fixture.advance(25);
    fixture.supervisor_.tick(fixture.now_);
    BOOST_TEST(fixture.supervisor_.takeReport().crashes_.size() == 1U);
    fixture.answerStart(CallOutcome::Unknown);
    while (fixture.supervisor_.runs() > 0 && fixture.now_ < Millis{5000}) {
        fixture.advance(50);
        fixture.refuseRenewals();
        for (const TargetCall::Kind kind : {TargetCall::Kind::Start, TargetCall::Kind::Stop}) {
            for (const TargetCall &call : fixture.calls(kind)) {
                kind == TargetCall::Kind::Start ? fixture.supervisor_.onStartReply(call, CallOutcome::Refused, fixture.now_)
                                                : fixture.supervisor_.onStopReply(call, CallOutcome::Refused, fixture.now_);
            }
        }
    }
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(report.crashes_.size() == 1U);
    BOOST_TEST(report.crashes_[0].run_.number_ == 2U);
    BOOST_TEST(report.crashes_[0].suspected_);
    BOOST_TEST(!report.crashes_[0].started_);
}

// Its lease is counted by the clock of the new incarnation, which grants the longest lease from when the call arrives.
BOOST_AUTO_TEST_CASE(run_that_a_silent_new_incarnation_may_have_is_lost_after_the_longest_lease)
{
    TargetSupervisorFixture fixture({1300});
    fixture.startRunning("j1", 1);
    fixture.advance(200);
    fixture.restartTarget();
    const Millis restartedAt = fixture.now_;
    Millis lostAt;
    while (lostAt == Millis{0} && fixture.now_ < restartedAt + Millis{3000}) {
        fixture.advance(10);
        fixture.failRenewals(CallOutcome::Unknown);
        lostAt = lostRuns(fixture.supervisor_.takeReport()).empty() ? Millis{0} : fixture.now_;
    }
    BOOST_TEST((lostAt - restartedAt).count_ >= 1000);
    BOOST_TEST((lostAt - restartedAt).count_ <= 2500);
}

BOOST_AUTO_TEST_CASE(list_is_requested_at_once_after_a_restart)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.supervisor_.tick(fixture.now_);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Renew).size() == 1U);
    fixture.advance(5);
    fixture.restartTarget();
    fixture.supervisor_.tick(fixture.now_);
    const auto renewals = fixture.calls(TargetCall::Kind::Renew);
    BOOST_REQUIRE(renewals.size() == 1U);
    BOOST_TEST((renewals[0].wait_ == Millis{0}));
}

BOOST_AUTO_TEST_CASE(list_of_the_former_incarnation_that_arrives_late_changes_nothing)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(5);
    fixture.supervisor_.tick(fixture.now_);
    const TargetCall renewal = fixture.calls(TargetCall::Kind::Renew).at(0);
    fixture.advance(5);
    fixture.answerRenewals({runOf("j1", 1)}, {}, current);
    fixture.restartTarget();
    fixture.advance(5);
    fixture.answerRenewals({runOf("j1", 1)}, {}, current);
    fixture.supervisor_.onRenewalReply(renewal, {CallOutcome::Ok, 0, former, {}, {}}, fixture.now_);
    BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()).empty());
    BOOST_TEST(fixture.supervisor_.runs() == 1U);
}

// A renewal with the number of an acknowledged result discarded the results of a new incarnation before it had listed them, and the
// task was started again.
BOOST_AUTO_TEST_CASE(results_are_not_released_while_a_run_may_be_one_of_a_new_incarnation)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(60);
    fixture.supervisor_.tick(fixture.now_);
    const TargetCall renewal = fixture.calls(TargetCall::Kind::Renew).at(0);
    fixture.startRunning("j2", 2);
    const std::vector<RunResult> results{{1, runOf("j1", 1), RunOutcome::Done, {}}};
    // Listed before the start of j2.
    fixture.supervisor_.onRenewalReply(renewal, {CallOutcome::Ok, 0, former, {}, results}, fixture.now_);
    const TargetCall unproven = fixture.calls(TargetCall::Kind::Renew).at(0);
    BOOST_TEST(unproven.acknowledged_ == 0U);
    fixture.advance(5);
    fixture.supervisor_.onRenewalReply(unproven, {CallOutcome::Ok, 0, former, {runOf("j2", 2)}, results}, fixture.now_);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Renew).at(0).acknowledged_ == 1U);
}

BOOST_AUTO_TEST_CASE(results_that_are_discarded_already_are_not_released_again)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(60);
    fixture.answerRenewals({}, {{1, runOf("j1", 1), RunOutcome::Done, {}}});
    const TargetCall release = fixture.calls(TargetCall::Kind::Renew).at(0);
    BOOST_TEST(release.acknowledged_ == 1U);
    fixture.supervisor_.onRenewalReply(release, {CallOutcome::Ok, 0, former, {}, {}}, fixture.now_);
    fixture.startRunning("j2", 2);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Renew).at(0).acknowledged_ == 0U);
}

BOOST_AUTO_TEST_CASE(release_that_reached_a_new_incarnation_does_not_count_for_it)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(60);
    fixture.answerRenewals({}, {{1, runOf("j1", 1), RunOutcome::Done, {}}});
    const TargetCall release = fixture.calls(TargetCall::Kind::Renew).at(0);
    const std::vector<RunResult> results{{1, runOf("j2", 2), RunOutcome::Done, {}}};
    fixture.supervisor_.onRenewalReply(release, {CallOutcome::Ok, 0, current, {}, results}, fixture.now_);
    fixture.supervisor_.acknowledge(current, 1);
    fixture.supervisor_.tick(fixture.now_);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Renew).at(0).acknowledged_ == 1U);
}

BOOST_AUTO_TEST_CASE(stop_that_the_former_incarnation_confirmed_is_sent_to_the_new_one)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    for (int i = 0; i < 5; ++i) {
        fixture.answerStart(CallOutcome::Unknown);
    }
    const TargetCall stop = fixture.calls(TargetCall::Kind::Stop).at(0);
    for (const bool confirmed : {true, false}) {
        if (confirmed) {
            fixture.supervisor_.onStopReply(stop, CallOutcome::Ok, fixture.now_);
            fixture.advance(5);
            fixture.answerRenewals({}, {}, current);
        } else {
            // A reply to the same call again: it may be from before the restart.
            fixture.supervisor_.onStopReply(stop, CallOutcome::Ok, fixture.now_);
        }
        BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()).empty());
        BOOST_TEST(fixture.supervisor_.runs() == 1U);
    }
    const auto stops = fixture.calls(TargetCall::Kind::Stop);
    BOOST_REQUIRE(!stops.empty());
    fixture.supervisor_.onStopReply(stops.back(), CallOutcome::Ok, fixture.now_);
    fixture.advance(5);
    fixture.answerRenewals({}, {}, current);
    fixture.advance(5);
    fixture.answerRenewals({}, {}, current);
    BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()) == std::vector<std::uint64_t>{1});
}

// A start whose first call had no reply was carried out by the next incarnation, after its run had ended in the former one.
BOOST_AUTO_TEST_CASE(start_without_a_reply_is_prevented_in_the_new_incarnation_after_its_run_has_ended)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.answerStart(CallOutcome::Unknown);
    fixture.answerStart(CallOutcome::Ok);
    fixture.advance(60);
    fixture.answerRenewals({}, {{1, runOf("j1", 1), RunOutcome::Failed, {}}});
    fixture.start("j1", 2);
    fixture.answerStart(CallOutcome::Unknown);
    fixture.answerStart(CallOutcome::Ok);
    fixture.advance(60);
    fixture.answerRenewals({}, {{2, runOf("j1", 2), RunOutcome::Done, {}}});
    BOOST_TEST(fixture.supervisor_.runs() == 0U);
    fixture.restartTarget();
    const auto stops = fixture.calls(TargetCall::Kind::Stop);
    BOOST_REQUIRE(stops.size() == 1U);
    BOOST_TEST(stops[0].run_.number_ == 2U);
    BOOST_TEST(stops[0].targetIncarnation_ == current);
    // Another dispatcher must not take it for an active run, nor its end for news.
    fixture.supervisor_.takeReport();
    fixture.supervisor_.scheduleFullReport();
    fixture.advance(5);
    fixture.answerRenewals({}, {}, current);
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_TEST(report.full_);
    BOOST_TEST(report.running_.empty());
    fixture.supervisor_.onStopReply(stops[0], CallOutcome::Ok, fixture.now_);
    fixture.advance(5);
    fixture.answerRenewals({}, {}, current);
    fixture.advance(5);
    fixture.answerRenewals({}, {}, current);
    BOOST_TEST(fixture.supervisor_.runs() == 0U);
    BOOST_TEST(fixture.supervisor_.takeReport().isEmpty());
}

BOOST_AUTO_TEST_CASE(run_whose_start_may_be_carried_out_again_is_stopped_before_it_is_lost)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.answerStart(CallOutcome::Unknown);
    fixture.answerStart(CallOutcome::Ok);
    loseRenewals(fixture);
    fixture.answerRenewals({}, {}, current);
    BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()).empty());
    const auto stops = fixture.calls(TargetCall::Kind::Stop);
    BOOST_REQUIRE(stops.size() == 1U);
    fixture.supervisor_.onStopReply(stops[0], CallOutcome::Ok, fixture.now_);
    fixture.advance(5);
    fixture.answerRenewals({}, {}, current);
    fixture.advance(5);
    fixture.answerRenewals({}, {}, current);
    BOOST_TEST(lostRuns(fixture.supervisor_.takeReport()) == std::vector<std::uint64_t>{1});
}

// The new incarnation had granted a lease by the clock of the former one, and its runs outlived the lease of the agent.
BOOST_AUTO_TEST_CASE(nothing_is_started_while_the_lease_of_a_new_incarnation_may_outlast_that_of_the_agent)
{
    TargetSupervisorFixture fixture({1900});
    fixture.restartTarget();
    BOOST_TEST(!fixture.supervisor_.isReady(fixture.now_));
    fixture.supervisor_.renewAgentLease({2000});
    BOOST_TEST(fixture.supervisor_.isReady(fixture.now_));
}

BOOST_AUTO_TEST_CASE(runs_are_stopped_when_the_lease_of_the_agent_ends_before_that_of_a_new_incarnation)
{
    TargetSupervisorFixture fixture({1500});
    fixture.startRunning("j1", 1);
    fixture.advance(5);
    fixture.answerRenewals({runOf("j1", 1)}, {}, current);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Stop).empty());
    fixture.advance(500);
    fixture.supervisor_.tick(fixture.now_);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Stop).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
