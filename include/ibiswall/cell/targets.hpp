// What a dispatcher knows of the targets of its cell, and the choice among them.

#pragma once

#include <ibiswall/cell/model.hpp>
#include <set>

namespace ibiswall::cell {

/// A target behind its agent.
struct Target
{
    std::string agent_;
    TargetInfo info_;
    /// Whether the agent has reported in this epoch and has not been lost since.
    bool present_ = false;
    Resources allocated_;
    /// Runs placed on it, with what each needs.
    std::map<TaskId, Resources> runs_;
    /// Ends whose effect is not stored yet, by number.
    std::set<std::uint64_t> unsavedResults_;
    std::uint64_t highestResult_ = 0;
    std::uint64_t acknowledged_ = 0;
    /// No start before this moment, after the target rejected one.
    Millis pausedUntil_;
    /// Starts rejected in a row.
    std::uint32_t rejections_ = 0;
    /// Mean of (run time / usual run time of the queue) over recent runs; 1 is usual.
    double slowness_ = 1;
    /// Share of recent runs that failed, 0 to 1.
    double failureRate_ = 0;
};

/// Targets by agent name.
using Targets = std::map<std::string, Target>;

/// What limits the choice of a target for a task.
struct Placement
{
    const Step &step_;
    std::string_view service_;
    const std::set<std::string> &domainsOut_;
    /// Runs of the same step on each agent; null when the step has no limit.
    const std::map<std::string, std::uint32_t> *runsOfStep_ = nullptr;
};

/// Chooses the target for a task under load that fills about half of the fleet and more: the one with the largest
/// share of its room free, less a penalty for targets that are slow, failing or away from the data.
/// @return null when no target can take the task now
Target *chooseTarget(Targets &targets, const Placement &placement, Millis now);

/// Takes in a run that ended as done or failed.
/// @param ratio run time over the usual run time; ignored for failed runs
void recordRun(Target &target, bool failed, double ratio);

} // namespace ibiswall::cell
