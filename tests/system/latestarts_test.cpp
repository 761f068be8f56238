// Tests a cell whose workers leave orders unanswered and carry them out later.

#include "cell.hpp"
#include "cluster.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr int tasks = 8;
constexpr int runMillis = 60;
constexpr Millis acceptTimeout{20000};

bool hasUnansweredStart(const Cell &cell, const std::string &job)
{
    const auto runs = cell.endedRuns("unanswered");
    return std::any_of(runs.begin(), runs.end(), [&job](const auto &each) { return each.first.rfind(job, 0) == 0; });
}

// Makes a worker carry out the orders that it has kept, and checks that they start no task that is done.
void checkLateOrders(const Cell &cell, std::size_t worker)
{
    const auto done = cell.endedRuns("done");
    auto before = cell.endedRuns("start");
    cell.releaseOrders(worker);
    auto after = cell.endedRuns("start");
    for (const auto &[task, runs] : done) {
        BOOST_TEST(after[task] == before[task], task << " was started again after it was done");
    }
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
    await("a start has no answer", [&] { return hasUnansweredStart(cell, job); });
    cell.workerNodes()[0].agent_->kill();
    cell.holdOrders(0, false);
    cell.startAgent(0);
    await("the job is completed", [&] { return cell.state(job) == "completed"; });
    checkLateOrders(cell, 0);
    BOOST_TEST(cell.overlappingTasks().empty());
}

// The lease of runs at a silent target expired before it had carried out their starts, and their tasks were done elsewhere meanwhile.
BOOST_AUTO_TEST_CASE(late_start_of_a_silent_target_does_not_repeat_a_task)
{
    // Longer than the leases of agents and targets together.
    constexpr std::chrono::milliseconds silence(4000);
    CellConfig config;
    config.workers_ = 2;
    Cell cell(config);
    cell.awaitReady();
    const std::string job = jobId(1);
    cell.holdOrders(0, true);
    cell.silenceWorker(0, true);
    BOOST_REQUIRE(cell.submit(job, tasks, runMillis, false, acceptTimeout).status_ == 200);
    await("a start has no answer", [&] { return hasUnansweredStart(cell, job); });
    std::this_thread::sleep_for(silence);
    checkLateOrders(cell, 0);
    cell.holdOrders(0, false);
    cell.silenceWorker(0, false);
    await("the job is completed", [&] { return cell.state(job) == "completed"; });
    BOOST_TEST(cell.overlappingTasks().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
