// Remembers which tasks were running on targets that crashed, and decides when a task is to blame.

#pragma once

#include <functional>
#include <ibiswall/cell/model.hpp>

namespace ibiswall::cell {

/// A run during which its target crashed.
struct KnownCrash
{
    std::uint64_t run_ = 0;
    /// Whether the run may have been the cause.
    bool suspected_ = false;
    /// Whether the target had confirmed the start of the run.
    bool started_ = false;
    Millis at_;
};

/// Crashes of targets by the tasks that were running on them. Not limited to the jobs of one dispatcher: an ephemeral job that
/// is submitted again does not start from zero.
class CrashHistory
{
public:
    /// Records a crash. Each run counts once, however often its crash is reported.
    /// @return false if it was known
    bool record(const TaskId &task, const KnownCrash &crash);

    /// Whether the task may have crashed a target. It must not share a target with another such task, so that a second crash
    /// shows which one is the cause.
    bool isSuspect(const TaskId &task) const;

    /// Whether the task has probably crashed two targets.
    bool isRepeated(const TaskId &task) const;

    /// Whether the task is not to be started again.
    /// @param waiting whether a caller waits for the job, which is better served by an early answer. Other jobs are given up
    ///        one crash later, since a run that had ended unnoticed just before a crash counts as well.
    bool isGivenUp(const TaskId &task, bool waiting) const;

    /// Crashes during the runs of a task, in the order in which they were recorded.
    Span<const KnownCrash> crashesOf(const TaskId &task) const;

    /// Forgets tasks whose latest crash was before the given time, except those of jobs for which keep returns true.
    void expire(Millis before, const std::function<bool(const std::string &)> &keep);

    bool isEmpty() const;

private:
    std::map<TaskId, std::vector<KnownCrash>> crashes_;
};

} // namespace ibiswall::cell
