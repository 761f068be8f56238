// Health checks of the entries of a cell while entries stop and start.

#include "cell.hpp"
#include "cluster.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>

namespace ibiswall::system {

namespace {

constexpr int healthy = 200;

// Status of the health check; 0 without an answer.
int healthStatus(const CellEntry &entry)
{
    const auto answer = callHttp({"127.0.0.1", entry.readyPort_}, {"GET", "/ready", {}, {}, {2000}, {}});
    return answer ? answer.value().status_ : 0;
}

void awaitAllHealthy(Cell &cell)
{
    for (const CellEntry &entry : cell.entries()) {
        await("the entry is ready", [&] { return healthStatus(entry) == healthy; });
    }
}

// Results of the health checks of entries that have got the stop signal.
class StoppedEntries
{
public:
    void add(const CellEntry &entry)
    {
        entry.process_->signal(SIGTERM);
        stopped_.push_back({&entry, false});
    }

    void check()
    {
        for (Stopped &each : stopped_) {
            const bool failed = healthStatus(*each.entry_) != healthy;
            reversals_ += each.failedBefore_ && !failed ? 1 : 0;
            each.failedBefore_ = each.failedBefore_ || failed;
        }
    }

    bool lastHasFailed() const
    {
        return stopped_.back().failedBefore_;
    }

    bool allHaveExited() const
    {
        return std::all_of(stopped_.begin(), stopped_.end(), [](const Stopped &each) { return healthStatus(*each.entry_) == 0; });
    }

    /// How often a health check succeeded after one of the same entry had failed.
    int reversals() const
    {
        return reversals_;
    }

private:
    struct Stopped
    {
        const CellEntry *entry_ = nullptr;
        bool failedBefore_ = false;
    };

    std::vector<Stopped> stopped_;
    int reversals_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(readiness)

BOOST_AUTO_TEST_CASE(no_stopping_entry_becomes_ready_again_when_all_stop_in_series)
{
    Cell cell({3, 2, 0});
    cell.awaitReady();
    awaitAllHealthy(cell);
    StoppedEntries stopped;
    for (const CellEntry &entry : cell.entries()) {
        stopped.add(entry);
        await("the health check of the entry fails", [&] {
            stopped.check();
            return stopped.lastHasFailed();
        });
    }
    await("every entry has exited", [&] {
        stopped.check();
        return stopped.allHaveExited();
    });
    BOOST_TEST(stopped.reversals() == 0);
}

BOOST_AUTO_TEST_CASE(no_stopping_entry_stays_ready_until_it_refuses_jobs)
{
    Cell cell({1, 2, 0});
    cell.awaitReady();
    awaitAllHealthy(cell);
    StoppedEntries stopped;
    stopped.add(cell.entries()[0]);
    await("the health check of the entry fails", [&] {
        stopped.check();
        return stopped.lastHasFailed();
    });
    BOOST_TEST(cell.submit(jobId(1), 1, 1, true, {1}).state_ == "completed");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
