// Tests a cell whose workers change their capacity and accept whatever they are told to start.

#include "cell.hpp"
#include "cluster.hpp"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr int cpuOfTask = 500;
// Time in which a leader may still count on a capacity that has shrunk.
constexpr Millis capacityDelay{4500};

CellConfig makeConfig()
{
    CellConfig config{2, 2, 0};
    config.admissionControl_ = false;
    return config;
}

// Callers that keep both workers busy until they are stopped.
class Load
{
public:
    explicit Load(const Cell &cell)
    {
        constexpr int callers = 6;
        for (int caller = 0; caller < callers; ++caller) {
            threads_.emplace_back([this, &cell, caller] {
                constexpr int jobsOfCaller = 10000;
                for (int i = 1; !stopped_ && i < jobsOfCaller; ++i) {
                    cell.submit(jobId(caller * jobsOfCaller + i), 8, 40, true, {20000});
                }
            });
        }
    }

    void stop()
    {
        stopped_ = true;
        for (std::thread &each : threads_) {
            each.join();
        }
    }

private:
    std::atomic<bool> stopped_ = false;
    std::vector<std::thread> threads_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(capacity)

BOOST_AUTO_TEST_CASE(worker_whose_capacity_shrinks_and_grows_is_not_overloaded)
{
    Cell cell(makeConfig());
    cell.awaitReady();
    Load load(cell);
    constexpr int changes = 2;
    constexpr int smallCapacity = 2;
    constexpr int fullCapacity = 16;
    for (int i = 0; i < changes; ++i) {
        await("the worker runs more than its small capacity",
              [&] { return cell.mostRunsAtOnce(0, wallClock() - Millis{300}, wallClock()) > smallCapacity; });
        cell.setWorkerCpu(0, smallCapacity * cpuOfTask);
        const Millis counts = wallClock() + capacityDelay;
        const Millis until = counts + Millis{1500};
        std::this_thread::sleep_for(std::chrono::milliseconds((until - wallClock()).count_));
        BOOST_TEST(cell.mostRunsAtOnce(0, counts, until) <= static_cast<std::size_t>(smallCapacity));
        cell.setWorkerCpu(0, fullCapacity * cpuOfTask);
    }
    load.stop();
    BOOST_TEST(cell.mostRunsAtOnce(0, {0}, wallClock()) <= static_cast<std::size_t>(fullCapacity));
    BOOST_TEST(cell.mostRunsAtOnce(1, {0}, wallClock()) <= static_cast<std::size_t>(fullCapacity));
    BOOST_TEST(cell.overlappingTasks().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
