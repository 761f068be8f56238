// Counts the runs on targets, in one place for all ways in which they start and end.

#include <ibiswall/cell/dispatcher.hpp>

namespace ibiswall::cell {

// @param measured whether the start of the run and everything beside it are known
void Dispatcher::addRun(Target &target, const Job &job, const TaskId &id, bool measured, Millis now)
{
    const Step &step = job.record_.spec_.steps_[id.step_];
    const Queue *queue = queueOf(job);
    PlacedRun run = describeRun(job, id.step_, now);
    run.service_ = queue == nullptr ? std::string() : queue->service_;
    run.queue_ = job.record_.spec_.queue_;
    run.domain_ = job.domain_;
    run.end_ = now + step.estimate_;
    run.measured_ = measured;
    removeRun(target, id);
    addUsage(usage_, run);
    cell::addRun(target, interference_, id, std::move(run));
}

// Returns the run; nothing if it was not there.
std::optional<PlacedRun> Dispatcher::removeRun(Target &target, const TaskId &id)
{
    std::optional<PlacedRun> run = cell::removeRun(target, interference_, id);
    if (run) {
        removeUsage(usage_, *run);
    }
    return run;
}

} // namespace ibiswall::cell
