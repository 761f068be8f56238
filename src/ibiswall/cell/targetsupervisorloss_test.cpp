// Tests the supervisor of a target whose replies are partly lost.

#include "targetsupervisorfixture.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace ibiswall::cell {

namespace {

// A target that loses one reply in twenty, as seen on a test bench for tens of seconds at a time. A run of 50 ms is
// ordered every 20 ms.
class LossyTarget
{
public:
    // Runs until the given number of results has been reported.
    // @return delay from the end of each run to its report in milliseconds, in ascending order
    std::vector<std::int64_t> simulate(std::size_t runs)
    {
        const std::size_t maxOrdered = runs * 2;
        while (delays_.size() < runs && ordered_ < maxOrdered) {
            fixture_.advance(1);
            orderRun();
            finishRuns();
            fixture_.supervisor_.tick(fixture_.now_);
            takeCalls();
            answerStarts();
            answerRenewals();
            takeReport();
        }
        std::sort(delays_.begin(), delays_.end());
        return delays_;
    }

private:
    static constexpr std::int64_t runDuration = 50;
    static constexpr std::int64_t startInterval = 20;
    static constexpr unsigned oneLostIn = 20;

    // A renewal, or a start whose reply is lost.
    struct PendingCall
    {
        TargetCall call_;
        bool lost_ = false;
    };

    bool isLost()
    {
        return random_() % oneLostIn == 0;
    }

    void orderRun()
    {
        if (fixture_.now_.count_ % startInterval == 0) {
            ++ordered_;
            fixture_.start("j" + std::to_string(ordered_), ordered_);
        }
    }

    void finishRuns()
    {
        while (!running_.empty() && fixture_.now_ >= running_.front().second) {
            const Run run = running_.front().first;
            running_.erase(running_.begin());
            results_.push_back({results_.size() + 1, run, RunOutcome::Done, {}});
            endedAt_[run.number_] = fixture_.now_;
        }
    }

    void takeCalls()
    {
        for (const TargetCall &call : fixture_.supervisor_.takeCalls()) {
            const bool lost = isLost();
            if (call.kind_ == TargetCall::Kind::Renew) {
                renewals_.push_back({call, lost});
            } else if (lost) {
                starts_.push_back({call, lost});
            } else {
                running_.emplace_back(call.run_, fixture_.now_ + Millis{runDuration});
                fixture_.supervisor_.onStartReply(call, CallOutcome::Ok, fixture_.now_);
            }
        }
    }

    void answerStarts()
    {
        for (const PendingCall &start : std::exchange(starts_, {})) {
            if (fixture_.now_ < start.call_.sentAt_ + targetCallTimeout) {
                starts_.push_back(start);
            } else {
                fixture_.supervisor_.onStartReply(start.call_, CallOutcome::Unknown, fixture_.now_);
            }
        }
    }

    void answerRenewals()
    {
        for (const PendingCall &renewal : std::exchange(renewals_, {})) {
            const Millis waitUntil = renewal.call_.sentAt_ + renewal.call_.wait_;
            const bool hasNewResults = results_.size() > std::max(released_, renewal.call_.acknowledged_);
            if (renewal.lost_ && fixture_.now_ >= waitUntil + targetCallTimeout) {
                fixture_.supervisor_.onRenewalReply(renewal.call_, {}, fixture_.now_);
            } else if (!renewal.lost_ && (hasNewResults || fixture_.now_ >= waitUntil)) {
                answerRenewal(renewal.call_);
            } else {
                renewals_.push_back(renewal);
            }
        }
    }

    void answerRenewal(const TargetCall &call)
    {
        RenewalReply reply{CallOutcome::Ok, fixture_.now_.count_, 1, {}, {}};
        for (const auto &[run, endsAt] : running_) {
            reply.running_.push_back(run);
        }
        released_ = std::max(released_, std::min<std::size_t>(call.acknowledged_, results_.size()));
        reply.results_.assign(results_.begin() + static_cast<std::ptrdiff_t>(released_), results_.end());
        fixture_.supervisor_.onRenewalReply(call, reply, fixture_.now_);
    }

    void takeReport()
    {
        for (const RunResult &result : fixture_.supervisor_.takeReport().results_) {
            BOOST_REQUIRE((result.kind_ == RunOutcome::Done));
            delays_.push_back((fixture_.now_ - endedAt_.at(result.run_.number_)).count_);
        }
    }

    TargetSupervisorFixture fixture_;
    std::mt19937 random_{7};
    std::uint64_t ordered_ = 0;
    /// Runs with the time at which they end, earliest first.
    std::vector<std::pair<Run, Millis>> running_;
    /// Numbered from 1 without gaps.
    std::vector<RunResult> results_;
    std::map<std::uint64_t, Millis> endedAt_;
    /// Results up to this number are discarded.
    std::size_t released_ = 0;
    std::vector<PendingCall> renewals_;
    std::vector<PendingCall> starts_;
    std::vector<std::int64_t> delays_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_supervisor_losses)

BOOST_AUTO_TEST_CASE(results_are_reported_promptly_while_replies_are_lost)
{
    constexpr std::size_t runs = 400;
    const std::vector<std::int64_t> delays = LossyTarget().simulate(runs);
    BOOST_REQUIRE(delays.size() >= runs);
    // The objective of the shortest jobs leaves about 90 ms in addition to their work.
    BOOST_TEST(delays[delays.size() * 9 / 10] <= 15);
    BOOST_TEST(delays[delays.size() * 99 / 100] <= 90);
}

BOOST_AUTO_TEST_CASE(late_outdated_run_list_stops_nothing)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(10);
    fixture.supervisor_.tick(fixture.now_);
    auto lost = fixture.calls(TargetCall::Kind::Renew);
    BOOST_REQUIRE(lost.size() == 1U);
    fixture.supervisor_.onRenewalReply(lost[0], {}, fixture.now_);
    fixture.advance(50);
    fixture.supervisor_.tick(fixture.now_);
    const auto renewals = fixture.calls(TargetCall::Kind::Renew);
    BOOST_REQUIRE(renewals.size() == 2U);
    const std::vector<RunResult> results{{1, {{"j1", 0, 0}, 1}, RunOutcome::Done, {}}};
    fixture.supervisor_.onRenewalReply(renewals[1], {CallOutcome::Ok, fixture.now_.count_, 1, {}, results}, fixture.now_);
    fixture.supervisor_.onRenewalReply(renewals[0], {CallOutcome::Ok, fixture.now_.count_, 1, {{{"j1", 0, 0}, 1}}, {}}, fixture.now_);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Stop).empty());
    BOOST_TEST(fixture.supervisor_.runs() == 0U);
}

BOOST_AUTO_TEST_CASE(refused_connections_report_the_crash_of_the_target_and_its_latest_start)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("old", 1);
    fixture.advance(200);
    fixture.startRunning("new", 2);
    fixture.advance(10);
    fixture.refuseRenewals();
    BOOST_TEST(fixture.supervisor_.takeReport().crashes_.empty());
    fixture.advance(30);
    fixture.supervisor_.tick(fixture.now_);
    const std::vector<RunCrash> crashes = fixture.supervisor_.takeReport().crashes_;
    BOOST_REQUIRE(crashes.size() == 2U);
    BOOST_TEST(crashes[0].run_.number_ == 2U);
    BOOST_TEST(crashes[0].suspected_);
    BOOST_TEST(crashes[1].run_.number_ == 1U);
    BOOST_TEST(!crashes[1].suspected_);
}

BOOST_AUTO_TEST_CASE(refused_retry_of_an_unanswered_start_is_not_reported_as_not_started)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.answerStart(CallOutcome::Unknown);
    fixture.answerStart(CallOutcome::Refused);
    BOOST_TEST(fixture.supervisor_.takeReport().rejected_.empty());
    BOOST_TEST(fixture.supervisor_.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(rejected_retry_of_a_start_that_was_carried_out_does_not_hide_its_result)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.answerStart(CallOutcome::Unknown);
    fixture.answerStart(CallOutcome::Rejected);
    BOOST_TEST(fixture.supervisor_.takeReport().rejected_.empty());
    fixture.advance(5);
    fixture.supervisor_.onStopReply(fixture.calls(TargetCall::Kind::Stop).at(0), CallOutcome::Ok, fixture.now_);
    fixture.advance(5);
    fixture.answerRenewals({}, {{1, {{"j1", 0, 0}, 1}, RunOutcome::Done, {}}});
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(report.results_.size() == 1U);
    BOOST_TEST((report.results_[0].kind_ == RunOutcome::Done));
}

BOOST_AUTO_TEST_CASE(restart_after_a_silent_end_is_reported_as_a_crash_of_the_runs_lost)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(3000);
    fixture.failRenewals(CallOutcome::Unknown);
    fixture.supervisor_.tick(fixture.now_);
    const AgentReport lost = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(lost.results_.size() == 1U);
    BOOST_TEST(lost.crashes_.empty());
    fixture.restartTarget();
    BOOST_TEST(fixture.supervisor_.takeReport().crashes_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(end_of_a_leaving_target_is_not_a_crash)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    TargetInfo leaving = testTarget("t");
    leaving.draining_ = true;
    fixture.supervisor_.onAnnouncement(leaving, 0, fixture.now_);
    fixture.refuseRenewals();
    fixture.advance(30);
    fixture.supervisor_.tick(fixture.now_);
    fixture.restartTarget();
    BOOST_TEST(fixture.supervisor_.takeReport().crashes_.empty());
}

BOOST_AUTO_TEST_CASE(full_report_repeats_the_crashes_of_the_last_minute)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.restartTarget();
    for (const bool expired : {false, true}) {
        fixture.advance(expired ? 60000 : 500);
        fixture.supervisor_.follow({expired ? 3U : 2U, 0}, fixture.now_);
        fixture.answerRenewals({}, {}, 2);
        const AgentReport report = fixture.supervisor_.takeReport();
        BOOST_REQUIRE(report.full_);
        BOOST_REQUIRE(report.crashes_.size() == (expired ? 0U : 1U));
        BOOST_TEST((expired || report.crashes_[0].age_ == Millis{500}));
    }
}

BOOST_AUTO_TEST_CASE(full_report_does_not_wait_for_a_target_that_has_crashed)
{
    TargetSupervisorFixture fixture;
    fixture.startRunning("j1", 1);
    fixture.advance(10);
    fixture.refuseRenewals();
    fixture.supervisor_.follow({2, 0}, fixture.now_);
    fixture.supervisor_.tick(fixture.now_);
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(report.full_);
    BOOST_REQUIRE(report.info_.has_value());
    BOOST_TEST(!report.info_->responsive_);
    // The lease of the run has not expired, so another dispatcher must not start the task again yet.
    BOOST_TEST(report.running_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(restarted_agent_reports_without_its_target_once_earlier_leases_have_expired)
{
    TargetSupervisorFixture fixture;
    TargetSupervisor restarted({}, 100);
    restarted.follow({1, 0}, fixture.now_);
    const auto refuse = [&restarted, &fixture] {
        for (const TargetCall &call : restarted.takeCalls()) {
            RenewalReply reply;
            reply.outcome_ = CallOutcome::Refused;
            restarted.onRenewalReply(call, reply, fixture.now_);
        }
    };
    refuse();
    fixture.advance(1100);
    restarted.tick(fixture.now_);
    refuse();
    BOOST_TEST(restarted.takeReport().isEmpty());
    fixture.advance(100);
    restarted.tick(fixture.now_);
    const AgentReport report = restarted.takeReport();
    BOOST_TEST(report.full_);
    BOOST_TEST(report.running_.empty());
}

// The lease of a run whose start had no reply expired, its task was placed elsewhere, and the silent target started it seconds later.
BOOST_AUTO_TEST_CASE(run_that_a_silent_target_may_still_start_is_not_lost_before_its_stop_is_confirmed)
{
    TargetSupervisorFixture fixture;
    fixture.start("j1", 1);
    fixture.answerStart(CallOutcome::Unknown);
    fixture.advance(800);
    fixture.answerStart(CallOutcome::Unknown);
    for (int i = 0; i < 20; ++i) {
        fixture.advance(100);
        for (const TargetCall &stop : fixture.calls(TargetCall::Kind::Stop)) {
            fixture.supervisor_.onStopReply(stop, CallOutcome::Unknown, fixture.now_);
        }
        fixture.failRenewals(CallOutcome::Unknown);
    }
    BOOST_TEST(fixture.supervisor_.takeReport().results_.empty());
    fixture.supervisor_.onStopReply(fixture.calls(TargetCall::Kind::Stop).at(0), CallOutcome::Ok, fixture.now_);
    fixture.advance(5);
    fixture.answerRenewals({}, {});
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(report.results_.size() == 1U);
    BOOST_TEST((report.results_[0].kind_ == RunOutcome::Lost));
}

BOOST_AUTO_TEST_CASE(run_without_a_reply_is_lost_with_its_lease_if_its_target_has_ended_or_no_call_can_be_late_any_more)
{
    for (const bool ended : {true, false}) {
        TargetSupervisorFixture fixture;
        fixture.start("j1", 1);
        fixture.answerStart(CallOutcome::Unknown);
        fixture.advance(800);
        fixture.answerStart(CallOutcome::Unknown);
        const std::int64_t steps = ended ? 20 : 152;
        for (std::int64_t i = 0; i < steps; ++i) {
            fixture.advance(100);
            for (const TargetCall &stop : fixture.calls(TargetCall::Kind::Stop)) {
                fixture.supervisor_.onStopReply(stop, ended ? CallOutcome::Refused : CallOutcome::Unknown, fixture.now_);
            }
            fixture.failRenewals(ended ? CallOutcome::Refused : CallOutcome::Unknown);
        }
        BOOST_TEST(fixture.supervisor_.takeReport().results_.size() == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
