// Counts the runs on targets, in one place for all ways in which they start and end.

#include <ibiswall/cell/dispatcher.hpp>

namespace ibiswall::cell {

void Dispatcher::addRun(Target &target, const Job &job, const TaskId &id, Millis now)
{
    const Step &step = job.record_.spec_.steps_[id.step_];
    const Queue *queue = queueOf(job);
    PlacedRun run{step.need_, queue == nullptr ? std::string() : queue->service_, job.record_.spec_.queue_, job.domain_,
                  now + step.estimate_};
    if (const auto former = target.runs_.find(id); former != target.runs_.end()) {
        removeUsage(usage_, former->second);
    }
    addUsage(usage_, run);
    target.allocated_ = target.allocated_ + step.need_;
    target.runs_[id] = std::move(run);
}

void Dispatcher::removeRun(Target &target, const TaskId &id)
{
    const auto run = target.runs_.find(id);
    if (run != target.runs_.end()) {
        removeUsage(usage_, run->second);
        target.allocated_ = target.allocated_ - run->second;
        target.runs_.erase(run);
    }
}

} // namespace ibiswall::cell
