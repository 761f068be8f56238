// Unit tests of the supervisor of a target.

#include "targetsupervisorfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

bool isLost(const AgentReport &report, std::uint64_t run)
{
    for (const RunResult &result : report.results_) {
        if (result.kind_ == RunOutcome::Lost && result.run_.number_ == run) {
            return true;
        }
    }
    return false;
}

bool reportsDraining(const AgentReport &report)
{
    return report.info_ && report.info_->draining_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_supervisor)

BOOST_AUTO_TEST_CASE(target_lease_ends_with_agent_lease)
{
    TargetSupervisorFixture fixture;
    fixture.supervisor_.renewAgentLease({1200});
    fixture.start("j1", 1);
    const auto calls = fixture.calls(TargetCall::Kind::Start);
    BOOST_REQUIRE(calls.size() == 1U);
    BOOST_TEST(calls[0].leaseUntil_.count_ <= 2000);
    BOOST_TEST(calls[0].leaseEnd_.has_value());
}

BOOST_AUTO_TEST_CASE(rejects_start_without_agent_lease)
{
    TargetSupervisorFixture fixture;
    fixture.now_ = {99990};
    fixture.start("j1", 1);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Start).empty());
    BOOST_TEST(fixture.supervisor_.takeReport().rejected_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(rejects_start_based_on_outdated_report)
{
    TargetSupervisorFixture fixture;
    fixture.supervisor_.scheduleFullReport();
    fixture.answerRenewals({}, {});
    BOOST_TEST(fixture.supervisor_.takeReport().full_);
    fixture.start("j1", 1);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Start).empty());
    BOOST_TEST(fixture.supervisor_.takeReport().rejected_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ignores_older_epoch)
{
    TargetSupervisorFixture fixture;
    BOOST_TEST(fixture.supervisor_.follow({2, 0}, fixture.now_));
    BOOST_TEST(!fixture.supervisor_.follow({1, 0}, fixture.now_));
}

BOOST_AUTO_TEST_CASE(unanswered_start_is_retried_then_stopped_then_reported_lost)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    for (int i = 0; i < 5; ++i) {
        const auto calls = fixture.calls(TargetCall::Kind::Start);
        BOOST_REQUIRE(calls.size() == 1U);
        BOOST_TEST(calls[0].run_.number_ == 1U);
        fixture.advance(80);
        fixture.supervisor_.onStartReply(calls[0], CallOutcome::Unknown, fixture.now_);
    }
    auto stops = fixture.calls(TargetCall::Kind::Stop);
    BOOST_REQUIRE(stops.size() == 1U);
    fixture.supervisor_.onStopReply(stops[0], CallOutcome::Unknown, fixture.now_);
    BOOST_TEST(!isLost(fixture.supervisor_.takeReport(), 1));
    fixture.advance(50);
    fixture.answerRenewals({}, {});
    fixture.supervisor_.tick(fixture.now_);
    stops = fixture.calls(TargetCall::Kind::Stop);
    BOOST_REQUIRE(stops.size() == 1U);
    fixture.supervisor_.onStopReply(stops[0], CallOutcome::Ok, fixture.now_);
    BOOST_TEST(!isLost(fixture.supervisor_.takeReport(), 1));
    fixture.advance(5);
    fixture.answerRenewals({}, {});
    fixture.advance(5);
    fixture.answerRenewals({}, {});
    BOOST_TEST(isLost(fixture.supervisor_.takeReport(), 1));
}

BOOST_AUTO_TEST_CASE(start_in_flight_survives_target_restart)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    const auto calls = fixture.calls(TargetCall::Kind::Start);
    TargetInfo restarted = testTarget("t");
    restarted.targetIncarnation_ = 2;
    fixture.supervisor_.onAnnouncement(restarted, 0, fixture.now_);
    BOOST_TEST(!isLost(fixture.supervisor_.takeReport(), 1));
    fixture.supervisor_.onStartReply(calls[0], CallOutcome::Ok, fixture.now_);
    fixture.advance(5);
    fixture.answerRenewals({{{"j1", 0, 0}, 1}}, {}, 2);
    BOOST_TEST(!isLost(fixture.supervisor_.takeReport(), 1));
    BOOST_TEST(fixture.supervisor_.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(target_restart_loses_running_tasks)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.supervisor_.onStartReply(fixture.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, fixture.now_);
    fixture.advance(5);
    fixture.answerRenewals({{{"j1", 0, 0}, 1}}, {});
    TargetInfo restarted = testTarget("t");
    restarted.targetIncarnation_ = 2;
    fixture.supervisor_.onAnnouncement(restarted, 0, fixture.now_);
    BOOST_TEST(isLost(fixture.supervisor_.takeReport(), 1));
}

BOOST_AUTO_TEST_CASE(results_of_earlier_incarnation_are_reported_without_numbers)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.supervisor_.onStartReply(fixture.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, fixture.now_);
    fixture.advance(10);
    fixture.answerRenewals({}, {{7, {{"j1", 0, 0}, 1}, RunOutcome::Done, {}}});
    TargetInfo restarted = testTarget("t");
    restarted.targetIncarnation_ = 2;
    fixture.supervisor_.onAnnouncement(restarted, 0, fixture.now_);
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(report.results_.size() == 1U);
    BOOST_TEST((report.results_[0].kind_ == RunOutcome::Done));
    BOOST_TEST(report.results_[0].number_ == 0U);
}

BOOST_AUTO_TEST_CASE(ignores_announcement_of_earlier_incarnation)
{
    TargetSupervisorFixture fixture;
    TargetInfo restarted = testTarget("t");
    restarted.targetIncarnation_ = 2;
    fixture.supervisor_.onAnnouncement(restarted, 0, fixture.now_);
    fixture.supervisor_.takeReport();
    TargetInfo late = testTarget("t");
    late.draining_ = true;
    fixture.supervisor_.onAnnouncement(late, 0, fixture.now_);
    BOOST_TEST(!fixture.supervisor_.takeReport().info_);
}

BOOST_AUTO_TEST_CASE(single_lost_replies_do_not_mark_target_unresponsive)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.supervisor_.onStartReply(fixture.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, fixture.now_);
    const std::vector<Run> running{{{"j1", 0, 0}, 1}};
    for (int i = 0; i < 20; ++i) {
        fixture.advance(100);
        fixture.supervisor_.tick(fixture.now_);
        for (const TargetCall &call : fixture.calls(TargetCall::Kind::Renew)) {
            BOOST_TEST(call.leaseEnd_.has_value());
            RenewalReply reply{CallOutcome::Ok, fixture.now_.count_, 1, running, {}};
            if (i % 3 != 0) {
                reply = {};
            }
            fixture.supervisor_.onRenewalReply(call, reply, fixture.now_);
        }
    }
    BOOST_TEST(!isLost(fixture.supervisor_.takeReport(), 1));
    BOOST_TEST(fixture.supervisor_.isReady(fixture.now_));
}

BOOST_AUTO_TEST_CASE(unresponsive_target_is_reported_and_its_runs_are_lost_after_lease_end)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.supervisor_.onStartReply(fixture.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, fixture.now_);
    const Millis began = fixture.now_;
    Millis lostAt;
    bool reported = false;
    while (fixture.now_ < began + Millis{5000} && lostAt == Millis{0}) {
        fixture.advance(50);
        fixture.supervisor_.tick(fixture.now_);
        for (const TargetCall &call : fixture.calls(TargetCall::Kind::Renew)) {
            fixture.supervisor_.onRenewalReply(call, {}, fixture.now_);
        }
        const AgentReport report = fixture.supervisor_.takeReport();
        reported = reported || (report.info_ && !report.info_->responsive_);
        if (isLost(report, 1)) {
            lostAt = fixture.now_;
        }
    }
    BOOST_TEST(reported);
    // Not before the end of the longest lease that the target may hold.
    BOOST_TEST((lostAt - began).count_ >= 1000);
    BOOST_TEST((lostAt - began).count_ <= 2500);
}

BOOST_AUTO_TEST_CASE(results_of_ephemeral_jobs_are_kept_and_reported_to_new_dispatcher)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.supervisor_.onStartReply(fixture.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, fixture.now_);
    fixture.advance(10);
    const std::vector<RunResult> results{{1, {{"j1", 0, 0}, 1}, RunOutcome::Done, {}}};
    fixture.answerRenewals({}, results);
    BOOST_TEST(fixture.supervisor_.takeReport().results_.size() == 1U);
    fixture.supervisor_.tick(fixture.now_);
    const auto renewals = fixture.calls(TargetCall::Kind::Renew);
    BOOST_REQUIRE(renewals.size() == 1U);
    BOOST_TEST(renewals[0].acknowledged_ == 1U);
    fixture.supervisor_.onRenewalReply(renewals[0], {CallOutcome::Ok, fixture.now_.count_, 1, {}, {}}, fixture.now_);
    fixture.supervisor_.follow({2, 0}, fixture.now_);
    fixture.answerRenewals({}, {});
    BOOST_TEST(fixture.supervisor_.takeReport().results_.size() == 1U);
    fixture.supervisor_.acknowledge(1, 1);
    fixture.supervisor_.scheduleFullReport();
    fixture.answerRenewals({}, {});
    BOOST_TEST(fixture.supervisor_.takeReport().results_.empty());
}

BOOST_AUTO_TEST_CASE(ignores_acknowledgement_for_earlier_incarnation)
{
    TargetSupervisorFixture fixture;
    TargetInfo restarted = testTarget("t");
    restarted.targetIncarnation_ = 2;
    fixture.supervisor_.onAnnouncement(restarted, 0, fixture.now_);
    fixture.start("j1", 1);
    fixture.supervisor_.onStartReply(fixture.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, fixture.now_);
    fixture.advance(10);
    fixture.answerRenewals({}, {{1, {{"j1", 0, 0}, 1}, RunOutcome::Done, {}}}, 2);
    fixture.supervisor_.takeReport();
    fixture.supervisor_.acknowledge(1, 7);
    fixture.supervisor_.scheduleFullReport();
    fixture.answerRenewals({}, {}, 2);
    BOOST_TEST(fixture.supervisor_.takeReport().results_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(results_of_durable_jobs_stay_on_target_until_stored)
{
    TargetSupervisorFixture fixture;
    fixture.supervisor_.start({{"j1", 0, 0}, 1}, "payload", {}, false, fixture.report_, fixture.now_);
    fixture.supervisor_.onStartReply(fixture.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, fixture.now_);
    fixture.advance(10);
    const std::vector<RunResult> results{{1, {{"j1", 0, 0}, 1}, RunOutcome::Done, {}}};
    fixture.answerRenewals({}, results);
    fixture.supervisor_.tick(fixture.now_);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Renew).empty());
    fixture.supervisor_.acknowledge(1, 1);
    fixture.supervisor_.tick(fixture.now_);
    const auto renewals = fixture.calls(TargetCall::Kind::Renew);
    BOOST_REQUIRE(renewals.size() == 1U);
    BOOST_TEST(renewals[0].acknowledged_ == 1U);
}

BOOST_AUTO_TEST_CASE(agent_of_a_draining_target_waits_for_the_acknowledgement_of_its_last_results)
{
    for (const bool acknowledged : {false, true}) {
        TargetSupervisorFixture fixture;
        fixture.startRunning("j1", 1);
        fixture.supervisor_.drain();
        BOOST_TEST(!fixture.supervisor_.isDrained(fixture.now_));
        fixture.advance(10);
        fixture.answerRenewals({}, {{1, {{"j1", 0, 0}, 1}, RunOutcome::Done, {}}});
        BOOST_TEST(!fixture.supervisor_.isDrained(fixture.now_));
        if (acknowledged) {
            fixture.supervisor_.acknowledge(1, 1);
        } else {
            fixture.advance(1000);
        }
        BOOST_TEST(fixture.supervisor_.isDrained(fixture.now_));
    }
}

BOOST_AUTO_TEST_CASE(stops_run_that_was_not_ordered)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.supervisor_.onStartReply(fixture.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, fixture.now_);
    fixture.advance(10);
    fixture.answerRenewals({{{"j1", 0, 0}, 1}, {{"j9", 0, 0}, 5}}, {});
    const auto stops = fixture.calls(TargetCall::Kind::Stop);
    BOOST_REQUIRE(stops.size() == 1U);
    BOOST_TEST(stops[0].run_.task_.job_ == "j9");
}

BOOST_AUTO_TEST_CASE(runs_of_earlier_agent_process_are_kept_until_lease_may_have_ended)
{
    TargetSupervisor supervisor({}, 1);
    supervisor.onAnnouncement(testTarget("t"), 0, {1000});
    supervisor.follow({1, 0}, {1000});
    for (const TargetCall &call : supervisor.takeCalls()) {
        supervisor.onRenewalReply(call, {CallOutcome::Ok, 1000, 1, {{{"j1", 0, 0}, 1}}, {}}, {1001});
    }
    BOOST_TEST(supervisor.takeReport().running_.size() == 1U);
    // The new process has not received an agent lease yet.
    supervisor.tick({1050});
    BOOST_TEST(supervisor.takeReport().results_.empty());
    BOOST_TEST(supervisor.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(draining_agent_reports_draining_and_starts_nothing)
{
    TargetSupervisorFixture fixture;
    fixture.supervisor_.drain();
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(report.info_.has_value());
    BOOST_TEST(report.info_->draining_);
    fixture.start("j1", 1);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Start).empty());
}

BOOST_AUTO_TEST_CASE(changed_target_of_draining_agent_is_not_reported_as_usable)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.supervisor_.onStartReply(fixture.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, fixture.now_);
    fixture.supervisor_.drain();
    BOOST_TEST(reportsDraining(fixture.supervisor_.takeReport()));
    TargetInfo changed = testTarget("t");
    changed.labels_.emplace_back("b");
    fixture.supervisor_.onAnnouncement(changed, 0, fixture.now_);
    BOOST_TEST(reportsDraining(fixture.supervisor_.takeReport()));
    fixture.supervisor_.tick(fixture.now_);
    const TargetCall renewal = fixture.calls(TargetCall::Kind::Renew).at(0);
    fixture.supervisor_.onRenewalReply(renewal, {CallOutcome::NotSent, 0, 1, {}, {}}, fixture.now_);
    BOOST_TEST(reportsDraining(fixture.supervisor_.takeReport()));
    changed.targetIncarnation_ = 2;
    fixture.supervisor_.onAnnouncement(changed, 0, fixture.now_);
    BOOST_TEST(reportsDraining(fixture.supervisor_.takeReport()));
}

BOOST_AUTO_TEST_CASE(target_announced_after_its_agent_began_to_drain_is_reported_as_draining)
{
    TargetSupervisor supervisor({}, 1);
    supervisor.drain();
    supervisor.onAnnouncement(testTarget("t"), 0, {1000});
    BOOST_TEST(reportsDraining(supervisor.takeReport()));
}

BOOST_AUTO_TEST_CASE(late_announcement_does_not_bring_back_a_departed_target)
{
    TargetSupervisorFixture fixture;
    fixture.supervisor_.onDeparture("t", 1, fixture.now_);
    BOOST_TEST(reportsDraining(fixture.supervisor_.takeReport()));
    fixture.supervisor_.onAnnouncement(testTarget("t"), 0, fixture.now_);
    fixture.start("j1", 1);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Start).empty());
    TargetInfo restarted = testTarget("t");
    restarted.targetIncarnation_ = 2;
    fixture.supervisor_.onAnnouncement(restarted, 0, fixture.now_);
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(report.info_.has_value());
    BOOST_TEST(!report.info_->draining_);
}

BOOST_AUTO_TEST_CASE(late_departure_of_an_earlier_incarnation_does_not_drain_the_target)
{
    TargetSupervisorFixture fixture;
    TargetInfo restarted = testTarget("t");
    restarted.targetIncarnation_ = 2;
    fixture.supervisor_.onAnnouncement(restarted, 0, fixture.now_);
    fixture.supervisor_.takeReport();
    fixture.supervisor_.onDeparture("t", 1, fixture.now_);
    fixture.start("j1", 1);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Start).size() == 1U);
    BOOST_TEST(!reportsDraining(fixture.supervisor_.takeReport()));
}

BOOST_AUTO_TEST_CASE(report_numbers_increase_after_restart_with_clock_behind)
{
    TargetSupervisor supervisor({}, 1);
    supervisor.onAnnouncement(testTarget("t"), 0, {1000});
    supervisor.follow({1, 5000}, {1000});
    for (const TargetCall &call : supervisor.takeCalls()) {
        supervisor.onRenewalReply(call, {CallOutcome::Ok, 1000, 1, {}, {}}, {1001});
    }
    const AgentReport report = supervisor.takeReport();
    BOOST_TEST(report.full_);
    BOOST_TEST(report.number_ > 5000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
