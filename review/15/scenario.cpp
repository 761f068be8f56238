// The store does not answer one entry for some seconds. A job that was handed in there gets no outcome, its client cancels it, and the
// cancelling is acknowledged. The job must not run afterwards.

#include "../parts-3/cell.hpp"
#include "../parts-3/record.hpp"

namespace {

using namespace review;

constexpr std::int64_t silentMs = 6000;
constexpr std::int64_t contactMs = 3000;
constexpr std::int64_t cancelMs = 3000;
constexpr std::int64_t stopMs = 50;
constexpr std::int64_t ackMs = 4000;
constexpr std::int64_t watchMs = 25000;

int cancelUnsettled()
{
    constexpr int cannotRun = 2;
    CellOptions options;
    options.workers_ = 3;
    Cell cell(options);
    cell.configure(1, {"jobs"});
    if (!cell.start()) {
        headline("the cell did not start");
        return cannotRun;
    }
    const std::size_t other = cell.leads(0) ? 1 : 0;
    const std::string id = jobId(1);
    // Tasks of 500 ms, of which six run at a time: more than 15 s of work.
    const auto step = stepOf(200, 4000, 500);
    if (isTroubled()) {
        cell.store_.setMode(cell.entries_[other].storePort_, Store::Mode::Silent);
        headline("the store does not answer " + cell.entries_[other].name_);
    }
    const std::int64_t silentFrom = nowMs();
    const int submitted = cell.submit(other, "jobs", id, step, 1500).status_;
    headline("the job is handed in there, answer " + std::to_string(submitted));
    Answer cancelled;
    const std::int64_t until = nowMs() + ackMs;
    while (cancelled.status_ != 200 && cancelled.status_ != 410 && nowMs() < until) {
        cancelled = cell.cancel(other, "jobs", id);
    }
    const std::int64_t acknowledgedAt = sinceStart();
    headline("the job is cancelled there, answer " + std::to_string(cancelled.status_));
    if (cancelled.status_ != 200 && cancelled.status_ != 410) {
        return cannotRun;
    }
    sleepMs(silentFrom + silentMs - nowMs());
    cell.store_.setMode(cell.entries_[other].storePort_, Store::Mode::Serve);
    const std::int64_t calmFrom = sinceStart() + contactMs;
    headline("the store answers again");
    sleepMs(watchMs);
    int late = 0;
    int early = 0;
    for (const Run &run : cell.allRuns()) {
        if (jobOf(run.task_) != id) {
            continue;
        }
        const bool broken = run.startedAt_ > acknowledgedAt + cancelMs && run.startedAt_ > calmFrom;
        late += broken ? 1 : 0;
        early += broken ? 0 : 1;
    }
    headline("state of the job: '" + cell.state(other, "jobs", id).state_ + "'; starts of its tasks later than " + std::to_string(cancelMs)
             + " ms after the acknowledgement by machines in touch: " + std::to_string(late) + ", other starts: " + std::to_string(early));
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, cancelUnsettled);
}
