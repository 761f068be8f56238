// Workers leave orders unanswered and carry them out late, and agents are killed meanwhile. No task may be started after it is done.

#include "../parts-3/cell.hpp"
#include "../parts-3/record.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace {

using namespace review;

constexpr double lateShare = 0.5;
constexpr std::int64_t lateMs = 5000;
// Agents that are killed, one after the other, and the time between them.
constexpr std::size_t kills = 3;
constexpr std::int64_t killGapMs = 1000;
constexpr std::int64_t restartMs = 300;
constexpr std::int64_t maxLateMs = 12000;
constexpr std::int64_t pauseMs = 20;
constexpr int clients = 8;

void handIn(Cell &cell, int client, const std::atomic<bool> &stop)
{
    for (std::uint64_t i = 0; !stop; ++i) {
        const std::string id = jobId((static_cast<std::uint64_t>(client + 1) << 16U) + i);
        cell.submit(static_cast<std::size_t>(client) % 2, "jobs", id, stepOf(2, 500, 60), 2000);
        sleepMs(pauseMs);
    }
}

// Starts of tasks of which a run had ended as done before, if that end was noted then or later.
int countRepeats(const std::vector<Run> &runs)
{
    int repeats = 0;
    std::map<std::string, std::vector<const Run *>> byTask;
    for (const Run &run : runs) {
        byTask[run.task_].push_back(&run);
    }
    for (const auto &[task, all] : byTask) {
        for (const Run *later : all) {
            const auto done = std::find_if(all.begin(), all.end(), [later](const Run *each) {
                return each->how_ == "done" && each->notedAt_ != 0 && each->endedAt_ < later->startedAt_;
            });
            if (done != all.end()) {
                ++repeats;
                headline("task " + task + ": run " + std::to_string((*done)->number_) + " done on " + (*done)->worker_ + " at "
                         + std::to_string((*done)->endedAt_) + " ms, taken note of at " + std::to_string((*done)->notedAt_) + " ms; run "
                         + std::to_string(later->number_) + " started on " + later->worker_ + " at " + std::to_string(later->startedAt_)
                         + " ms" + (later->late_ ? ", a late order" : ""));
            }
        }
    }
    return repeats;
}

int killAgents()
{
    constexpr int cannotRun = 2;
    CellOptions options;
    options.workers_ = 9;
    Cell cell(options);
    cell.configure(1, {"jobs"});
    if (!cell.start()) {
        headline("the cell did not start");
        return cannotRun;
    }
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads(clients);
    for (int i = 0; i < clients; ++i) {
        threads[static_cast<std::size_t>(i)] = std::thread([&cell, i, &stop] { handIn(cell, i, stop); });
    }
    sleepMs(1000);
    if (isTroubled()) {
        for (Worker *worker : cell.workers_) {
            worker->applyLate(lateShare);
        }
        headline("half of the orders are carried out late");
        const std::int64_t lateUntil = nowMs() + lateMs;
        for (std::size_t i = 0; i < kills; ++i) {
            sleepMs(killGapMs);
            cell.killAndRestart(cell.agents_[i], restartMs);
            headline("agent " + cell.agents_[i].name_ + " was killed and has started again");
        }
        sleepMs(lateUntil - nowMs());
        for (Worker *worker : cell.workers_) {
            worker->applyLate(0);
        }
    } else {
        sleepMs(lateMs);
    }
    sleepMs(1000);
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    sleepMs(maxLateMs + 2000);
    std::size_t late = 0;
    for (Worker *worker : cell.workers_) {
        late += worker->lateStarts();
    }
    const int repeats = countRepeats(cell.allRuns());
    headline(std::to_string(cell.allRuns().size()) + " runs, " + std::to_string(late) + " by late orders; " + std::to_string(repeats)
             + " starts after the task was done");
    return repeats > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, killAgents);
}
