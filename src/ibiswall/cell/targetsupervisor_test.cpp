// Decisions beside a target, one at a time.

#include "targetsupervisorfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

bool isLost(const AgentReport &report, std::uint64_t run)
{
    for (const End &end : report.ends_) {
        if (end.kind_ == EndKind::Lost && end.run_.number_ == run) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(attendant)

BOOST_AUTO_TEST_CASE(starts_with_a_lease_that_ends_with_the_right)
{
    TargetSupervisorFixture bench;
    bench.attendant_.grant({1200});
    bench.start("j1", 1);
    const auto calls = bench.calls(TargetCall::Kind::Start);
    BOOST_REQUIRE(calls.size() == 1U);
    BOOST_TEST(calls[0].leaseUntil_.count_ <= 2000);
    BOOST_TEST(calls[0].leaseEnd_.has_value());
}

BOOST_AUTO_TEST_CASE(without_a_right_nothing_starts)
{
    TargetSupervisorFixture bench;
    bench.now_ = {99990};
    bench.start("j1", 1);
    BOOST_TEST(bench.calls(TargetCall::Kind::Start).empty());
    BOOST_TEST(bench.attendant_.takeReport().refused_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_start_decided_without_the_latest_report_is_refused)
{
    TargetSupervisorFixture bench;
    bench.attendant_.reportAll();
    bench.answerHolds({}, {});
    BOOST_TEST(bench.attendant_.takeReport().whole_);
    bench.start("j1", 1);
    BOOST_TEST(bench.calls(TargetCall::Kind::Start).empty());
    BOOST_TEST(bench.attendant_.takeReport().refused_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_older_epoch_is_not_followed)
{
    TargetSupervisorFixture bench;
    BOOST_TEST(bench.attendant_.follow(2, 0, bench.now_));
    BOOST_TEST(!bench.attendant_.follow(1, 0, bench.now_));
}

BOOST_AUTO_TEST_CASE(a_start_without_an_answer_is_repeated_then_stopped_then_told_as_lost)
{
    TargetSupervisorFixture bench;
    bench.start("j1", 1);
    for (int i = 0; i < 5; ++i) {
        const auto calls = bench.calls(TargetCall::Kind::Start);
        BOOST_REQUIRE(calls.size() == 1U);
        BOOST_TEST(calls[0].run_.number_ == 1U);
        bench.pass(80);
        bench.attendant_.started(calls[0], CallOutcome::Unknown, bench.now_);
    }
    auto stops = bench.calls(TargetCall::Kind::Stop);
    BOOST_REQUIRE(stops.size() == 1U);
    bench.attendant_.stopped(stops[0], CallOutcome::Unknown, bench.now_);
    BOOST_TEST(!isLost(bench.attendant_.takeReport(), 1));
    bench.pass(50);
    bench.answerHolds({}, {});
    bench.attendant_.tick(bench.now_);
    stops = bench.calls(TargetCall::Kind::Stop);
    BOOST_REQUIRE(stops.size() == 1U);
    bench.attendant_.stopped(stops[0], CallOutcome::Ok, bench.now_);
    BOOST_TEST(!isLost(bench.attendant_.takeReport(), 1));
    bench.pass(5);
    bench.answerHolds({}, {});
    bench.pass(5);
    bench.answerHolds({}, {});
    BOOST_TEST(isLost(bench.attendant_.takeReport(), 1));
}

BOOST_AUTO_TEST_CASE(a_start_under_way_survives_the_rebirth_of_the_target)
{
    TargetSupervisorFixture bench;
    bench.start("j1", 1);
    const auto calls = bench.calls(TargetCall::Kind::Start);
    TargetInfo reborn = testTarget("t");
    reborn.born_ = 2;
    bench.attendant_.announced(reborn, 0, bench.now_);
    BOOST_TEST(!isLost(bench.attendant_.takeReport(), 1));
    bench.attendant_.started(calls[0], CallOutcome::Ok, bench.now_);
    bench.pass(5);
    bench.answerHolds({{{"j1", 0, 0}, 1}}, {}, 2);
    BOOST_TEST(!isLost(bench.attendant_.takeReport(), 1));
    BOOST_TEST(bench.attendant_.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(runs_of_an_earlier_life_are_lost)
{
    TargetSupervisorFixture bench;
    bench.start("j1", 1);
    bench.attendant_.started(bench.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, bench.now_);
    TargetInfo reborn = testTarget("t");
    reborn.born_ = 2;
    bench.attendant_.announced(reborn, 0, bench.now_);
    BOOST_TEST(isLost(bench.attendant_.takeReport(), 1));
}

BOOST_AUTO_TEST_CASE(ends_of_an_earlier_life_lose_their_numbers_when_they_are_told_with_a_new_one)
{
    TargetSupervisorFixture bench;
    bench.start("j1", 1);
    bench.attendant_.started(bench.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, bench.now_);
    bench.pass(10);
    bench.answerHolds({}, {{7, {{"j1", 0, 0}, 1}, EndKind::Done, {}}});
    TargetInfo reborn = testTarget("t");
    reborn.born_ = 2;
    bench.attendant_.announced(reborn, 0, bench.now_);
    const AgentReport report = bench.attendant_.takeReport();
    BOOST_REQUIRE(report.ends_.size() == 1U);
    BOOST_TEST((report.ends_[0].kind_ == EndKind::Done));
    BOOST_TEST(report.ends_[0].number_ == 0U);
}

BOOST_AUTO_TEST_CASE(a_word_of_an_earlier_life_changes_nothing)
{
    TargetSupervisorFixture bench;
    TargetInfo reborn = testTarget("t");
    reborn.born_ = 2;
    bench.attendant_.announced(reborn, 0, bench.now_);
    bench.attendant_.takeReport();
    TargetInfo late = testTarget("t");
    late.draining_ = true;
    bench.attendant_.announced(late, 0, bench.now_);
    BOOST_TEST(!bench.attendant_.takeReport().info_);
}

BOOST_AUTO_TEST_CASE(single_lost_answers_do_not_give_a_target_up)
{
    TargetSupervisorFixture bench;
    bench.start("j1", 1);
    bench.attendant_.started(bench.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, bench.now_);
    const std::vector<Run> running{{{"j1", 0, 0}, 1}};
    for (int i = 0; i < 20; ++i) {
        bench.pass(100);
        bench.attendant_.tick(bench.now_);
        for (const TargetCall &call : bench.calls(TargetCall::Kind::Hold)) {
            BOOST_TEST(call.leaseEnd_.has_value());
            HoldAnswer answer{CallOutcome::Ok, bench.now_.count_, 1, running, {}};
            if (i % 3 != 0) {
                answer = {};
            }
            bench.attendant_.held(call, answer, bench.now_);
        }
    }
    BOOST_TEST(!isLost(bench.attendant_.takeReport(), 1));
    BOOST_TEST(bench.attendant_.isReady(bench.now_));
}

BOOST_AUTO_TEST_CASE(a_target_that_stays_silent_is_told_and_its_runs_are_lost_after_the_lease)
{
    TargetSupervisorFixture bench;
    bench.start("j1", 1);
    bench.attendant_.started(bench.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, bench.now_);
    const Millis began = bench.now_;
    Millis lostAt;
    bool told = false;
    while (bench.now_ < began + Millis{5000} && lostAt == Millis{0}) {
        bench.pass(50);
        bench.attendant_.tick(bench.now_);
        for (const TargetCall &call : bench.calls(TargetCall::Kind::Hold)) {
            bench.attendant_.held(call, {}, bench.now_);
        }
        const AgentReport report = bench.attendant_.takeReport();
        told = told || (report.info_ && !report.info_->answering_);
        if (isLost(report, 1)) {
            lostAt = bench.now_;
        }
    }
    BOOST_TEST(told);
    // Never before the longest lease that the target may have granted is over.
    BOOST_TEST((lostAt - began).count_ >= 1000);
    BOOST_TEST((lostAt - began).count_ <= 2500);
}

BOOST_AUTO_TEST_CASE(ends_of_ephemeral_jobs_are_kept_here_and_told_again_to_a_new_dispatcher)
{
    TargetSupervisorFixture bench;
    bench.start("j1", 1);
    bench.attendant_.started(bench.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, bench.now_);
    bench.pass(10);
    const std::vector<End> ends{{1, {{"j1", 0, 0}, 1}, EndKind::Done, {}}};
    bench.answerHolds({}, ends);
    BOOST_TEST(bench.attendant_.takeReport().ends_.size() == 1U);
    bench.attendant_.tick(bench.now_);
    const auto holds = bench.calls(TargetCall::Kind::Hold);
    BOOST_REQUIRE(holds.size() == 1U);
    BOOST_TEST(holds[0].acknowledged_ == 1U);
    bench.attendant_.held(holds[0], {CallOutcome::Ok, bench.now_.count_, 1, {}, {}}, bench.now_);
    bench.attendant_.follow(2, 0, bench.now_);
    bench.answerHolds({}, {});
    BOOST_TEST(bench.attendant_.takeReport().ends_.size() == 1U);
    bench.attendant_.acknowledge(1, 1);
    bench.attendant_.reportAll();
    bench.answerHolds({}, {});
    BOOST_TEST(bench.attendant_.takeReport().ends_.empty());
}

BOOST_AUTO_TEST_CASE(an_acknowledgement_for_an_earlier_life_of_the_target_says_nothing_about_the_present_one)
{
    TargetSupervisorFixture bench;
    TargetInfo reborn = testTarget("t");
    reborn.born_ = 2;
    bench.attendant_.announced(reborn, 0, bench.now_);
    bench.start("j1", 1);
    bench.attendant_.started(bench.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, bench.now_);
    bench.pass(10);
    bench.answerHolds({}, {{1, {{"j1", 0, 0}, 1}, EndKind::Done, {}}}, 2);
    bench.attendant_.takeReport();
    bench.attendant_.acknowledge(1, 7);
    bench.attendant_.reportAll();
    bench.answerHolds({}, {}, 2);
    BOOST_TEST(bench.attendant_.takeReport().ends_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ends_of_durable_jobs_stay_listed_until_they_are_stored)
{
    TargetSupervisorFixture bench;
    bench.attendant_.start({{"j1", 0, 0}, 1}, "payload", {}, false, bench.report_, bench.now_);
    bench.attendant_.started(bench.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, bench.now_);
    bench.pass(10);
    const std::vector<End> ends{{1, {{"j1", 0, 0}, 1}, EndKind::Done, {}}};
    bench.answerHolds({}, ends);
    bench.attendant_.tick(bench.now_);
    BOOST_TEST(bench.calls(TargetCall::Kind::Hold).empty());
    bench.attendant_.acknowledge(1, 1);
    bench.attendant_.tick(bench.now_);
    const auto holds = bench.calls(TargetCall::Kind::Hold);
    BOOST_REQUIRE(holds.size() == 1U);
    BOOST_TEST(holds[0].acknowledged_ == 1U);
}

BOOST_AUTO_TEST_CASE(a_run_that_nobody_ordered_is_stopped)
{
    TargetSupervisorFixture bench;
    bench.start("j1", 1);
    bench.attendant_.started(bench.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, bench.now_);
    bench.pass(10);
    bench.answerHolds({{{"j1", 0, 0}, 1}, {{"j9", 0, 0}, 5}}, {});
    const auto stops = bench.calls(TargetCall::Kind::Stop);
    BOOST_REQUIRE(stops.size() == 1U);
    BOOST_TEST(stops[0].run_.task_.job_ == "j9");
}

BOOST_AUTO_TEST_CASE(runs_of_an_earlier_process_are_kept_for_as_long_as_their_lease_may_last)
{
    TargetSupervisor attendant({}, 1);
    attendant.announced(testTarget("t"), 0, {1000});
    attendant.follow(1, 0, {1000});
    for (const TargetCall &call : attendant.takeCalls()) {
        attendant.held(call, {CallOutcome::Ok, 1000, 1, {{{"j1", 0, 0}, 1}}, {}}, {1001});
    }
    BOOST_TEST(attendant.takeReport().running_.size() == 1U);
    // The right of the new process comes a little later.
    attendant.tick({1050});
    BOOST_TEST(attendant.takeReport().ends_.empty());
    BOOST_TEST(attendant.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(a_leaving_agent_starts_nothing_and_says_so)
{
    TargetSupervisorFixture bench;
    bench.attendant_.leave();
    const AgentReport report = bench.attendant_.takeReport();
    BOOST_REQUIRE(report.info_.has_value());
    BOOST_TEST(report.info_->draining_);
    bench.start("j1", 1);
    BOOST_TEST(bench.calls(TargetCall::Kind::Start).empty());
}

BOOST_AUTO_TEST_CASE(a_process_that_began_with_a_clock_behind_numbers_its_reports_on)
{
    TargetSupervisor attendant({}, 1);
    attendant.announced(testTarget("t"), 0, {1000});
    attendant.follow(1, 5000, {1000});
    for (const TargetCall &call : attendant.takeCalls()) {
        attendant.held(call, {CallOutcome::Ok, 1000, 1, {}, {}}, {1001});
    }
    const AgentReport report = attendant.takeReport();
    BOOST_TEST(report.whole_);
    BOOST_TEST(report.number_ > 5000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
