// Tests the limit on the tasks of a leader: a job of 100 bytes can declare 100,000 tasks.

#include "dispatcherfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

constexpr std::uint32_t width = 1000;

struct BudgetFixture : DispatcherFixture
{
    BudgetFixture()
    {
        dispatcher_.setTaskBudget(budget_);
    }

    std::optional<JobState> offer(const std::string &id, bool ephemeral, bool fresh)
    {
        JobOffer job = testJob(id, {testStep(width)}, ephemeral);
        job.fresh_ = fresh;
        return dispatcher_.addJob(std::move(job), now_);
    }

    /// Holds the tasks of one job and a half.
    std::shared_ptr<Budget> budget_ = std::make_shared<Budget>(width * taskBytes * 3 / 2);
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_budget)

BOOST_AUTO_TEST_CASE(ephemeral_jobs_beyond_the_budget_are_refused_until_there_is_room)
{
    BudgetFixture fixture;
    BOOST_TEST(!fixture.offer("j1", true, true));
    BOOST_TEST((fixture.offer("j2", true, true) == JobState::Refused));
    BOOST_TEST(fixture.dispatcher_.openJobs() == 1U);
    // A later offer of the refused submission stays refused, since its caller has been told that it is not run.
    BOOST_TEST((fixture.offer("j2", true, false) == JobState::Refused));
    BOOST_TEST(!fixture.offer("j1", true, true));
    fixture.dispatcher_.abandon("j1", "entry-1", fixture.now_);
    BOOST_TEST(fixture.budget_->used() == 0U);
    BOOST_TEST(!fixture.offer("j2", true, true));
}

BOOST_AUTO_TEST_CASE(jobs_that_are_stored_or_may_have_been_started_are_taken_over)
{
    BudgetFixture fixture;
    BOOST_TEST(!fixture.offer("j1", false, true));
    BOOST_TEST(!fixture.offer("j2", false, false));
    BOOST_TEST(!fixture.offer("j3", true, false));
    BOOST_TEST(fixture.dispatcher_.openJobs() == 3U);
    BOOST_TEST(fixture.budget_->used() == std::size_t{3} * width * taskBytes);
    BOOST_TEST((fixture.offer("j4", true, true) == JobState::Refused));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
