// Tests jobs that are withdrawn: cancelled when neither the store nor any entry had them.

#include "dispatcherfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

BOOST_AUTO_TEST_SUITE(dispatcher_withdrawn)

// An entry offered a job after its cancel had been answered as one of an unknown job, and it was run.
BOOST_AUTO_TEST_CASE(offer_of_a_withdrawn_job_is_refused_and_not_placed)
{
    DispatcherFixture fixture;
    BOOST_TEST(fixture.dispatcher_.withdraw("j1", 40, fixture.now_));
    BOOST_TEST((fixture.dispatcher_.cancel("j1", fixture.now_) == CancelOutcome::AlreadyFinal));
    BOOST_TEST((fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_) == JobState::Refused));
    BOOST_TEST(fixture.schedule().starts_.empty());
    JobOffer offeredBefore = testJob("j1", {testStep(1)});
    offeredBefore.fresh_ = false;
    // An earlier leader may have started it, so it must not be refused as not run.
    BOOST_TEST((fixture.dispatcher_.addJob(offeredBefore, fixture.now_) == JobState::Cancelled));
    BOOST_TEST(fixture.schedule().starts_.empty());
}

BOOST_AUTO_TEST_CASE(runs_of_a_withdrawn_job_are_stopped)
{
    DispatcherFixture fixture;
    const std::vector<Run> running{{{"j1", 0, 0}, 5}};
    fixture.dispatcher_.applyFullReport("a", testTarget("t-a"), 1, running, {}, fixture.now_);
    fixture.dispatcher_.takeActions();
    BOOST_TEST(fixture.dispatcher_.withdraw("j1", 40, fixture.now_));
    BOOST_TEST(fixture.dispatcher_.takeActions().stops_.size() == 1U);
    BOOST_TEST((fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_) == JobState::Cancelled));
}

BOOST_AUTO_TEST_CASE(job_that_was_offered_meanwhile_is_not_withdrawn)
{
    DispatcherFixture fixture;
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    BOOST_TEST(!fixture.dispatcher_.withdraw("j1", 40, fixture.now_));
    BOOST_TEST((fixture.dispatcher_.cancel("j1", fixture.now_) == CancelOutcome::Accepted));
    const auto removals = fixture.dispatcher_.takeRemovals(10);
    BOOST_REQUIRE(removals.size() == 1U);
    BOOST_TEST(removals[0].revision_ == 40);
}

BOOST_AUTO_TEST_CASE(record_of_a_withdrawn_job_expires_and_the_id_can_be_used_again)
{
    DispatcherFixture fixture;
    JobOffer stored = testJob("j1", {}, false);
    stored.record_.progress_.state_ = JobState::Withdrawn;
    fixture.dispatcher_.addJob(stored, fixture.now_);
    fixture.dispatcher_.withdraw("j2", 40, fixture.now_);
    BOOST_TEST(fixture.dispatcher_.withdrawnJobs() == 2U);
    const Millis later = fixture.now_ + Millis{1};
    fixture.dispatcher_.expireFinalJobs(later, later, fixture.now_);
    BOOST_TEST(fixture.dispatcher_.withdrawnJobs() == 2U);
    fixture.dispatcher_.expireFinalJobs(fixture.now_, fixture.now_, later);
    BOOST_TEST(fixture.dispatcher_.withdrawnJobs() == 0U);
    BOOST_TEST(fixture.dispatcher_.takeRemovals(10).size() == 2U);
    BOOST_TEST(!fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
