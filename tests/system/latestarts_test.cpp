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

// A cell in which the first worker has left the starts of a job unanswered and kept them.
struct HeldStarts
{
    HeldStarts()
        : cell_(makeConfig())
    {
        cell_.awaitReady();
    }

    static CellConfig makeConfig()
    {
        CellConfig config;
        config.workers_ = 2;
        return config;
    }

    void submit()
    {
        cell_.holdOrders(0, true);
        BOOST_REQUIRE(cell_.submit(job_, tasks, runMillis, false, acceptTimeout).status_ == 200);
        await("a start has no answer", [this] {
            const auto runs = cell_.endedRuns("unanswered");
            return std::any_of(runs.begin(), runs.end(), [this](const auto &each) { return each.first.rfind(job_, 0) == 0; });
        });
    }

    void awaitCompleted() const
    {
        await("the job is completed", [this] { return cell_.state(job_) == "completed"; });
    }

    // Makes the worker carry out the orders that it has kept, and checks that they start no task that is done.
    void checkLateOrders() const
    {
        const auto done = cell_.endedRuns("done");
        auto before = cell_.endedRuns("start");
        cell_.releaseOrders(0);
        auto after = cell_.endedRuns("start");
        for (const auto &[task, runs] : done) {
            BOOST_TEST(after[task] == before[task], task << " was started again after it was done");
        }
    }

    std::string job_ = jobId(1);
    Cell cell_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(late_starts)

// The start of a killed agent was carried out after its successor had not listed the run, and the task was done elsewhere.
BOOST_AUTO_TEST_CASE(late_start_of_a_killed_agent_does_not_repeat_a_task)
{
    HeldStarts held;
    held.submit();
    held.cell_.workerNodes()[0].agent_->kill();
    held.cell_.holdOrders(0, false);
    held.cell_.startAgent(0);
    held.awaitCompleted();
    held.checkLateOrders();
    BOOST_TEST(held.cell_.overlappingTasks().empty());
}

// The lease of runs at a silent target expired before it had carried out their starts, and their tasks were done elsewhere meanwhile.
BOOST_AUTO_TEST_CASE(late_start_of_a_silent_target_does_not_repeat_a_task)
{
    // Longer than the leases of agents and targets together.
    constexpr std::chrono::milliseconds silence(4000);
    HeldStarts held;
    held.cell_.silenceWorker(0, true);
    held.submit();
    std::this_thread::sleep_for(silence);
    held.checkLateOrders();
    held.cell_.holdOrders(0, false);
    held.cell_.silenceWorker(0, false);
    held.awaitCompleted();
    BOOST_TEST(held.cell_.overlappingTasks().empty());
}

// Nothing makes the target of a lost agent reject late starts before an agent runs again, and tasks are not kept back that long.
BOOST_AUTO_TEST_CASE(late_start_while_no_agent_runs_does_not_repeat_a_task)
{
    HeldStarts held;
    held.submit();
    held.cell_.workerNodes()[0].agent_->kill();
    held.awaitCompleted();
    held.checkLateOrders();
    BOOST_TEST(held.cell_.overlappingTasks().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
