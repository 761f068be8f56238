// Tests a cell with tasks that crash every worker that starts them.

#include "cell.hpp"
#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <future>

namespace ibiswall::system {

namespace {

// After so many starts, each of which crashed its worker, a task must not be started again.
constexpr std::size_t maxCrashingStarts = 3;

void checkGivenUp(const Cell &cell, const std::string &job)
{
    await("the job is shown as failed", [&] { return cell.state(job) == "failed"; });
    BOOST_TEST(cell.starts(job) <= maxCrashingStarts);
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashes)

BOOST_AUTO_TEST_CASE(stored_job_that_crashes_its_workers_is_given_up)
{
    Cell cell({2, 6, 0});
    cell.awaitReady();
    const std::string job = jobId(1);
    BOOST_TEST(cell.submitPayload(job, 1, "crash", false, {10000}).state_ == "accepted");
    checkGivenUp(cell, job);
}

BOOST_AUTO_TEST_CASE(caller_that_waits_for_a_job_that_crashes_its_workers_is_answered)
{
    Cell cell({2, 6, 0});
    cell.awaitReady();
    const std::string job = jobId(1);
    BOOST_TEST(cell.submitPayload(job, 1, "crash", true, {20000}).state_ == "failed");
    BOOST_TEST(cell.starts(job) <= maxCrashingStarts);
}

BOOST_AUTO_TEST_CASE(crashes_are_remembered_when_leaders_are_killed)
{
    Cell cell({3, 6, 0});
    cell.awaitReady();
    const std::string job = jobId(1);
    BOOST_TEST(cell.submitPayload(job, 1, "crash", false, {10000}).state_ == "accepted");
    for (std::size_t seen = 1; seen <= 2; ++seen) {
        await("the task is started", [&] { return cell.starts(job) >= seen || cell.state(job) == "failed"; });
        const std::size_t leader = cell.leader();
        cell.entries()[leader].process_->kill();
        cell.startEntry(leader);
    }
    checkGivenUp(cell, job);
}

BOOST_AUTO_TEST_CASE(other_jobs_complete_while_workers_crash)
{
    Cell cell({2, 6, 0});
    cell.awaitReady();
    std::vector<std::future<SubmitResult>> crashing;
    constexpr int crashingJobs = 3;
    constexpr int otherJobs = 40;
    for (int i = 1; i <= crashingJobs; ++i) {
        crashing.push_back(std::async(std::launch::async, [&cell, i] { return cell.submitPayload(jobId(i), 1, "crash", true, {60000}); }));
    }
    for (int i = 1; i <= otherJobs; ++i) {
        BOOST_TEST(cell.submit(jobId(crashingJobs + i), 3, 20, true, {30000}).state_ == "completed");
    }
    for (auto &each : crashing) {
        BOOST_TEST(each.get().state_ == "failed");
    }
    for (int i = 1; i <= crashingJobs; ++i) {
        BOOST_TEST(cell.starts(jobId(i)) <= maxCrashingStarts);
    }
    BOOST_TEST(cell.overlappingTasks().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
