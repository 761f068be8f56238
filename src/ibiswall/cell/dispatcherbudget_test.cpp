// Tests the limit on the jobs of a leader: a job of 100 bytes can declare 100,000 tasks, and a record comes from each entry.

#include "dispatcherfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

constexpr std::uint32_t width = 1000;

struct BudgetFixture : DispatcherFixture
{
    BudgetFixture()
    {
        dispatcher_.setJobBudget(budget_);
    }

    std::optional<JobState> offer(const std::string &id, bool ephemeral, bool fresh)
    {
        JobOffer job = testJob(id, {testStep(width)}, ephemeral);
        job.fresh_ = fresh;
        return dispatcher_.addJob(std::move(job), now_);
    }

    /// Bytes of one of the jobs.
    std::size_t bytes_ = jobBytes(testJob("j", {testStep(width)}, true).record_.spec_);
    /// Holds one job and a half.
    std::shared_ptr<Budget> budget_ = std::make_shared<Budget>(bytes_ * 3 / 2);
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

BOOST_AUTO_TEST_CASE(records_of_narrow_jobs_count)
{
    BudgetFixture fixture;
    std::size_t taken = 0;
    for (int i = 0; i < 1000; ++i) {
        JobOffer job = testJob("j" + std::to_string(i), {testStep(1)}, true);
        job.record_.spec_.payload_.resize(4000);
        taken += fixture.dispatcher_.addJob(std::move(job), fixture.now_) ? 0 : 1;
    }
    BOOST_TEST(taken * (4000 + taskBytes) < fixture.budget_->limit());
    BOOST_TEST(taken > 0U);
}

BOOST_AUTO_TEST_CASE(jobs_that_are_stored_or_may_have_been_started_are_taken_over)
{
    BudgetFixture fixture;
    BOOST_TEST(!fixture.offer("j1", false, true));
    BOOST_TEST(!fixture.offer("j2", false, false));
    BOOST_TEST(!fixture.offer("j3", true, false));
    BOOST_TEST(fixture.dispatcher_.openJobs() == 3U);
    BOOST_TEST(fixture.budget_->used() == 3 * fixture.bytes_);
    BOOST_TEST((fixture.offer("j4", true, true) == JobState::Refused));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
