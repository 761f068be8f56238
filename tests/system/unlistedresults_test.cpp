// Tests a cell whose targets have more results than they list at a time.

#include "cell.hpp"
#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr int jobs = 40;
constexpr int tasksPerJob = 64;
constexpr int runMillis = 30;
constexpr Millis acceptTimeout{20000};
constexpr std::chrono::milliseconds outage(2500);

// Submits the jobs, then takes the store down for long enough that the target ends more tasks than it lists.
void playOutage(Cell &cell)
{
    cell.awaitReady();
    for (int i = 0; i < jobs; ++i) {
        BOOST_REQUIRE(cell.submit(jobId(i + 1), tasksPerJob, runMillis, false, acceptTimeout).status_ == 200);
    }
    cell.setStoreMode({{"down", true}});
    std::this_thread::sleep_for(outage);
    cell.setStoreMode({{"down", false}});
}

void checkEachTaskRanOnce(Cell &cell)
{
    for (int i = 0; i < jobs; ++i) {
        await("a job completes", [&] { return cell.state(jobId(i + 1)) == "completed"; });
    }
    for (const auto &[task, runs] : cell.endedRuns("done")) {
        BOOST_TEST(runs == 1, task << " was done " << runs << " times");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(unlisted_results)

// Tasks that had ended as done were started again while the store was down, since their results were not in the target's reply.
BOOST_AUTO_TEST_CASE(tasks_are_done_once_when_results_exceed_the_list_during_an_outage)
{
    CellConfig config;
    config.workers_ = 1;
    Cell cell(config);
    playOutage(cell);
    checkEachTaskRanOnce(cell);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
