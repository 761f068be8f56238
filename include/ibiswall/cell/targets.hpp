// Targets of a cell as the dispatcher sees them, and the placement of tasks on them.

#pragma once

#include <ibiswall/cell/crashhistory.hpp>
#include <ibiswall/cell/endestimate.hpp>
#include <ibiswall/cell/interference.hpp>
#include <ibiswall/cell/model.hpp>
#include <ibiswall/cell/stalls.hpp>
#include <optional>
#include <set>

namespace ibiswall::cell {

/// A run that is placed on a target.
struct PlacedRun
{
    Resources need_;
    KindId kind_ = untrackedKind;
    /// Distinct kinds of the other runs when it was placed.
    std::vector<KindId> beside_;
    /// Whether its start and everything that ran beside it are known, so that its run time says something.
    bool measured_ = false;
    std::string service_ = {};
    std::string queue_ = {};
    /// Failure domain of the callers of its job; empty if not known.
    std::string domain_ = {};
    /// When it is expected to end.
    Millis end_ = {};
};

/// A target and its agent.
struct Target
{
    std::string agent_;
    TargetInfo info_;
    /// Whether the agent has reported in this epoch and has not been lost since.
    bool present_ = false;
    Resources allocated_;
    /// Runs placed on the target. Changed by addRun, removeRun and clearRuns only, which keep allocated_ and kinds_ up to date.
    std::map<TaskId, PlacedRun> runs_;
    /// Number of runs in runs_ by kind; none is 0.
    std::vector<KindCount> kinds_;
    /// Runs that the target has reported and whose needs are not known: of jobs that nobody has offered yet, or being stopped.
    /// None of them is in runs_ with the same number.
    std::map<TaskId, std::uint64_t> unknownRuns_;
    /// Whether it has results that it has not listed yet.
    bool unlistedResults_ = false;
    /// Runs placed here that were missing in a full report while there were unlisted results: how they ended is not known. All are in
    /// runs_ unless they have ended since.
    std::map<TaskId, std::uint64_t> missingRuns_;
    /// Numbers of results whose effect has not been stored yet.
    std::set<std::uint64_t> unsavedResults_;
    std::uint64_t highestResult_ = 0;
    std::uint64_t acknowledged_ = 0;
    /// No starts before this time, after the target rejected one.
    Millis pausedUntil_;
    /// Consecutive rejected starts.
    std::uint32_t rejections_ = 0;
    /// Whether it runs only tasks of contained queues.
    bool contained_ = false;
    /// Moving average of run time over expected run time; 1 is as expected.
    double slowness_ = 1;
    /// Logarithm of its factor in the run times of the dispatcher; unused if targets are not chosen by expected end.
    double logFactor_ = 0;
    /// How long runs take here, for the detection of interference.
    Pace pace_;
    /// Moving average of failed runs, from 0 to 1.
    double failureRate_ = 0;
    /// Jobs that could run here but found too little free capacity, in the current scheduling pass, and the latest of them. With
    /// maxMisses of them the target is closed: its capacity is left to accumulate for them.
    std::uint32_t misses_ = 0;
    std::uint64_t missedJob_ = 0;
    StallState stall_;
};

/// Targets by agent name.
using Targets = std::map<std::string, Target>;

/// Whether a map with runs by task has any of a job.
template<typename Runs>
bool hasRunsOf(const Runs &runs, std::string_view job)
{
    const auto first = runs.lower_bound({std::string(job), 0, 0});
    return first != runs.end() && first->first.job_ == job;
}

/// Adds a run to a target, and fills in what runs beside it.
/// @param model counts the runs in progress by kind
void addRun(Target &target, Interference &model, const TaskId &id, PlacedRun run);

/// Removes a run from a target.
/// @return the run; nothing if it was not there
std::optional<PlacedRun> removeRun(Target &target, Interference &model, const TaskId &id);

/// Removes all runs from a target.
void clearRuns(Target &target, Interference &model);

/// Constraints on the placement of a task.
struct Placement
{
    const Step &step_;
    std::string_view service_;
    const std::set<std::string> &domainsOut_;
    /// Runs of the same step by agent; null when the step has no limit.
    const std::map<std::string, std::uint32_t> *runsOfStep_ = nullptr;
    /// Set if the task may have crashed a target: only targets without such a task of another job are considered.
    const CrashHistory *suspects_ = nullptr;
    std::string_view job_;
    /// Whether the queue of the task is contained, and how many jobs may share a target then.
    bool contained_ = false;
    std::size_t jobsAtOnce_ = 1;
    /// Whether the targets reject tasks that do not fit.
    bool admissionControl_ = false;
    /// Expected end of the task; null if targets are chosen without it.
    const EndEstimate *end_ = nullptr;
    /// Whether a run of the task was stopped on a stalled target, so that it must not probe one.
    bool avoidStalled_ = false;
    /// Set if targets with runs that the task would slow down, or that would slow it down, are to be avoided.
    const Interference *interference_ = nullptr;
    KindId kind_ = untrackedKind;
    /// From separationWeight.
    double separation_ = 0;
};

/// Why a task found no target.
enum class Shortage : std::uint8_t {
    /// Targets that could take it are busy and still open.
    Busy,
    /// All targets that could take it are closed or cannot take anything now. The same holds for tasks that need as much, until
    /// the end of the pass.
    Closed,
    /// No target can take it until what is known of the targets, or the configuration, has changed.
    NoMatch,
};

/// Chooses the target with the largest share of free CPU, less penalties for slow or failing targets and for targets
/// away from the data. With placement.end_, those on which the task would end in time come first. Among targets that are as close to the
/// data and do not fail, one with less interference is preferred. Meant for a cell that is loaded to about half of its capacity or more.
/// @return null when no target can take the task now
Target *chooseTarget(Targets &targets, const Placement &placement, Millis now);

/// Needs for which no target is left in a scheduling pass, and why. A task that needs as much or more finds none either, since targets
/// only fill up and close during a pass.
using ExhaustedNeeds = std::vector<std::pair<Resources, Shortage>>;

/// Begins a scheduling pass: opens all targets.
void openTargets(Targets &targets);

/// Begins the jobs of the next priority within a pass. Closed targets stay closed, since jobs of lower urgency must not overtake.
void forgetFewMisses(Targets &targets);

/// Counts a job that found no target at those that it could run on, at most once each.
/// @param job number of the job
Shortage recordMiss(Targets &targets, const Placement &placement, std::uint64_t job, Millis now);

/// Whether any target could take a start in this pass, given enough capacity.
bool isAnyOpen(const Targets &targets, Millis now);

/// Share of the CPU of a service's usable targets that is in use; 1 if there are none.
double utilizationOf(const Targets &targets, std::string_view service);

/// Updates the statistics of a target after a run that ended as done or failed.
/// @param ratio run time over expected run time; ignored for failed runs
void recordRun(Target &target, bool failed, double ratio);

} // namespace ibiswall::cell
