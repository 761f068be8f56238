// Tests how a supervisor applies lists of the target that may be cut off.

#include "targetsupervisorfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

/// A supervisor whose target runs j2 and lists only the result of j1; j3 has ended, and its result is not listed.
struct UnlistedResultFixture : TargetSupervisorFixture
{
    UnlistedResultFixture()
    {
        for (std::uint64_t run = 1; run <= 3; ++run) {
            startStored("j" + std::to_string(run), run);
        }
        advance(5);
        answerRenewal({{{"j2", 0, 0}, 2}}, {listed_}, true);
    }

    void startStored(const std::string &job, std::uint64_t number)
    {
        supervisor_.start({{job, 0, 0}, number}, "payload", {}, false, report_, now_);
        answerStart(CallOutcome::Ok);
    }

    void answerRenewal(const std::vector<Run> &running, const std::vector<RunResult> &results, bool hasMore)
    {
        supervisor_.tick(now_);
        for (const TargetCall &call : calls(TargetCall::Kind::Renew)) {
            RenewalReply reply{CallOutcome::Ok, now_.count_, 1, running, results};
            reply.hasMoreResults_ = hasMore;
            supervisor_.onRenewalReply(call, reply, now_);
        }
    }

    RunResult listed_{1, {{"j1", 0, 0}, 1}, RunOutcome::Done, {}};
    RunResult unlisted_{2, {{"j3", 0, 0}, 3}, RunOutcome::Done, {}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_supervisor_lists)

// A run whose result did not fit in the reply was reported as lost, and its task was started again.
BOOST_AUTO_TEST_CASE(run_with_unlisted_result_is_not_lost)
{
    UnlistedResultFixture fixture;
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_TEST(report.results_.size() == 1U);
    BOOST_TEST(report.unlistedResults_.value_or(false));
    fixture.supervisor_.acknowledge(1, 1);
    fixture.advance(200);
    fixture.answerRenewal({{{"j2", 0, 0}, 2}}, {fixture.unlisted_}, false);
    const AgentReport later = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(later.results_.size() == 1U);
    BOOST_TEST((later.results_[0].kind_ == RunOutcome::Done));
    BOOST_TEST(!later.unlistedResults_.value_or(true));
}

BOOST_AUTO_TEST_CASE(run_missing_in_whole_lists_is_lost)
{
    UnlistedResultFixture fixture;
    fixture.supervisor_.takeReport();
    fixture.supervisor_.acknowledge(1, 1);
    fixture.advance(200);
    fixture.answerRenewal({{{"j2", 0, 0}, 2}}, {}, false);
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_REQUIRE(report.results_.size() == 1U);
    BOOST_TEST((report.results_[0].kind_ == RunOutcome::Lost));
    BOOST_TEST(report.results_[0].run_.task_.job_ == "j3");
}

BOOST_AUTO_TEST_CASE(full_report_says_that_results_are_unlisted)
{
    UnlistedResultFixture fixture;
    fixture.supervisor_.takeReport();
    fixture.supervisor_.scheduleFullReport();
    fixture.advance(200);
    fixture.answerRenewal({{{"j2", 0, 0}, 2}}, {fixture.listed_}, true);
    const AgentReport report = fixture.supervisor_.takeReport();
    BOOST_TEST(report.full_);
    BOOST_TEST(report.unlistedResults_.value_or(false));
    BOOST_TEST(report.running_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(target_is_not_polled_without_pause_for_results_that_it_cannot_list)
{
    UnlistedResultFixture fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.answerRenewal({{{"j2", 0, 0}, 2}}, {fixture.listed_}, true);
    }
    fixture.supervisor_.tick(fixture.now_);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Renew).empty());
    fixture.supervisor_.acknowledge(1, 1);
    fixture.supervisor_.tick(fixture.now_);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Renew).size() == 1U);
}

BOOST_AUTO_TEST_CASE(unresponsive_target_is_not_waited_for_after_its_lease)
{
    UnlistedResultFixture fixture;
    fixture.supervisor_.takeReport();
    for (int i = 0; i < 40; ++i) {
        fixture.advance(100);
        fixture.failRenewals(CallOutcome::Unknown);
    }
    BOOST_TEST(!fixture.supervisor_.takeReport().unlistedResults_.value_or(true));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
