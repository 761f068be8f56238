// Tests a cell whose workers leave orders unanswered and carry them out later.

#include "cell.hpp"
#include "cluster.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace ibiswall::system {

namespace {

constexpr int tasks = 8;
constexpr int runMillis = 60;
constexpr Millis acceptTimeout{20000};

// Number of tasks of a job of which the workers recorded something.
std::ptrdiff_t countTasks(const Cell &cell, const std::string &job, const std::string &what)
{
    const auto runs = cell.endedRuns(what);
    return std::count_if(runs.begin(), runs.end(), [&job](const auto &each) { return each.first.rfind(job, 0) == 0; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(late_starts)

// The start of a killed agent was carried out after its successor had not listed the run, and the task was done elsewhere.
BOOST_AUTO_TEST_CASE(late_start_of_a_killed_agent_does_not_repeat_a_task)
{
    CellConfig config;
    config.workers_ = 2;
    Cell cell(config);
    cell.awaitReady();
    const std::string job = jobId(1);
    cell.holdOrders(0, true);
    BOOST_REQUIRE(cell.submit(job, tasks, runMillis, false, acceptTimeout).status_ == 200);
    await("a start has no answer", [&] { return countTasks(cell, job, "unanswered") > 0; });
    cell.workerNodes()[0].agent_->kill();
    cell.holdOrders(0, false);
    cell.startAgent(0);
    await("the job is completed", [&] { return cell.state(job) == "completed"; });
    await("all its results are discarded", [&] { return countTasks(cell, job, "noted") == tasks; });
    const std::size_t starts = cell.starts(job);
    cell.releaseOrders(0);
    BOOST_TEST(cell.starts(job) == starts);
    BOOST_TEST(cell.repeatedTasks().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
