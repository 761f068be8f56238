// Learns from the ends of runs, and takes stalled targets out of use.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>
#include <cmath>

namespace ibiswall::cell {

namespace {

// How often overdue runs are looked at, a fraction of the shortest objective (142 ms).
constexpr Millis stallCheckPeriod{10};
// How often the factors of all targets are brought up to date; those with ends of runs are at each end.
constexpr Millis factorPeriod{1000};
// A dispatcher that was not called for this long, several ticks of its owner, has reports to read before it can judge.
constexpr Millis maxCheckGap{200};
// Runs of a task that are stopped on stalled targets at most. A third start would be too late for an ephemeral job.
constexpr std::uint8_t maxStallRestarts = 2;

// Estimated run time of the longest chain of steps behind a step.
std::int64_t chainBehind(const JobSpec &spec, std::uint32_t step)
{
    std::vector<std::int64_t> chains(spec.steps_.size(), -1);
    chains[step] = 0;
    std::int64_t longest = 0;
    for (std::size_t i = step + 1; i < spec.steps_.size(); ++i) {
        for (const std::uint32_t before : spec.steps_[i].after_) {
            if (before < i && chains[before] >= 0) {
                chains[i] = std::max(chains[i], chains[before] + spec.steps_[i].estimate_.count_);
            }
        }
        longest = std::max(longest, chains[i]);
    }
    return longest;
}

} // namespace

// Time until a step has to end for its job to end in time.
Millis Dispatcher::slackOf(const Job &job, std::uint32_t step, Millis now)
{
    const bool last = step + 1 == job.offsets_.size();
    return job.due_ - now - Millis{last ? 0 : chainBehind(job.record_.spec_, step)};
}

// Remembers when a run that was placed or adopted will be overdue.
void Dispatcher::watchRun(const Job &job, Task &task, const Run &run, Target &target, const ExpectedRatio &kind, Millis now)
{
    task.overdueAfter_ = {};
    if (!scheduling_.placeByEnd_) {
        return;
    }
    if (target.stall_.stalled_) {
        target.stall_.probe_ = run;
        stallSuspects_.insert(target.agent_);
        actions_.stalls_.push_back({target.agent_, StallChange::Kind::Probed, target.stall_.overdue_.size()});
    }
    ExpectedRatio expected = kind;
    expected.ratio_ *= std::exp(target.logFactor_);
    task.overdueAfter_ = overdueLimit(job.record_.spec_.steps_[run.task_.step_].estimate_, expected);
    overdueAt_.emplace(std::max((now + task.overdueAfter_).count_, job.due_.count_), OverdueRun{run, {}, task.overdueAfter_});
}

// The latest run of a task has ended.
void Dispatcher::recordEndOfRun(const Job &job, const Task &task, Target &target, const RunResult &result, Millis now)
{
    const Step &step = job.record_.spec_.steps_[result.run_.task_.step_];
    const bool done = result.kind_ == RunOutcome::Done;
    const Millis taken = now - task.placedAt_;
    const bool timely = taken < task.overdueAfter_;
    if (scheduling_.placeByEnd_ && recordEnd(target.stall_, result.run_.number_, done, timely, now)) {
        actions_.stalls_.push_back({target.agent_, StallChange::Kind::Recovered, 0});
    }
    if (done && !task.adopted_) {
        const std::string kind = kindOf(job.record_.spec_.queue_, result.run_.task_.step_, step);
        const auto estimate = static_cast<double>(std::max<std::int64_t>(step.estimate_.count_, 1));
        recordRunTime(runTimes_, kind, target.agent_, static_cast<double>(taken.count_) / estimate, now);
        target.logFactor_ = logTargetFactor(runTimes_, target.agent_);
    }
}

void Dispatcher::updateStalls(Millis now)
{
    if (!scheduling_.placeByEnd_ || now < stallsCheckedAt_ + stallCheckPeriod) {
        return;
    }
    refreshFactors(now);
    if (now > std::exchange(stallsCheckedAt_, now) + maxCheckGap) {
        stallsSuspendedUntil_ = now + maxCheckGap;
    }
    if (now < stallsSuspendedUntil_) {
        return;
    }
    while (!overdueAt_.empty() && overdueAt_.begin()->first <= now.count_) {
        OverdueRun overdue = std::move(overdueAt_.begin()->second);
        overdueAt_.erase(overdueAt_.begin());
        overdue.since_ = now;
        noteOverdue(overdue);
    }
    for (auto each = stallSuspects_.begin(); each != stallSuspects_.end();) {
        const auto found = targets_.find(*each);
        const bool suspected = found != targets_.end() && checkStall(found->second, now);
        each = suspected ? std::next(each) : stallSuspects_.erase(each);
    }
}

void Dispatcher::refreshFactors(Millis now)
{
    if (now < factorsRefreshedAt_ + factorPeriod) {
        return;
    }
    factorsRefreshedAt_ = now;
    ageRunTimes(runTimes_, now);
    for (auto &[agent, target] : targets_) {
        target.logFactor_ = logTargetFactor(runTimes_, agent);
    }
}

// Whether a run is the latest of its task, and its end is not known.
bool Dispatcher::isOpenRun(const Run &run)
{
    Job *job = nullptr;
    const Task *task = findTask(run.task_, job);
    return task != nullptr && task->phase_ == Phase::Placed && task->run_ == run.number_;
}

// Counts a run against its target unless it has ended.
void Dispatcher::noteOverdue(const OverdueRun &overdue)
{
    if (isOpenRun(overdue.run_)) {
        Job *job = nullptr;
        const std::string &agent = findTask(overdue.run_.task_, job)->agent_;
        targets_[agent].stall_.overdue_.push_back(overdue);
        stallSuspects_.insert(agent);
    }
}

// Returns whether the target is stalled or has overdue runs.
bool Dispatcher::checkStall(Target &target, Millis now)
{
    StallState &state = target.stall_;
    const auto ended = [this](const OverdueRun &overdue) {
        return !isOpenRun(overdue.run_);
    };
    state.overdue_.erase(std::remove_if(state.overdue_.begin(), state.overdue_.end(), ended), state.overdue_.end());
    if (!state.stalled_ && hasStalled(state, target.runs_.size(), now)) {
        const auto count = [this, &target](bool stalledOnly) {
            return static_cast<std::size_t>(std::count_if(targets_.begin(), targets_.end(), [&target, stalledOnly](const auto &each) {
                const Target &other = each.second;
                return other.present_ && other.info_.service_ == target.info_.service_ && (!stalledOnly || other.stall_.stalled_);
            }));
        };
        if (maySuspectAnother(count(true), count(false))) {
            beginStall(state, now);
            actions_.stalls_.push_back({target.agent_, StallChange::Kind::Stalled, state.overdue_.size()});
        }
    }
    if (state.stalled_) {
        const std::uint64_t probe = state.probe_.number_;
        const auto isProbe = [probe](const OverdueRun &overdue) {
            return overdue.run_.number_ == probe;
        };
        // The job of a probe may also have ended without it.
        if (probe != 0 && (!isOpenRun(state.probe_) || std::any_of(state.overdue_.begin(), state.overdue_.end(), isProbe))) {
            failProbe(state, now);
        }
        stopOverdueRuns(target, now);
    }
    return state.stalled_ || !state.overdue_.empty();
}

// Their tasks are placed again once the ends of the runs are certain.
void Dispatcher::stopOverdueRuns(Target &target, Millis now)
{
    for (const OverdueRun &overdue : target.stall_.overdue_) {
        Job *job = nullptr;
        Task *task = findTask(overdue.run_.task_, job);
        if (task == nullptr || task->stallStopped_ || task->stallRestarts_ >= maxStallRestarts || isFinal(job->state_)
            || (job->isEphemeral() && now > job->lastUsefulStart_)) {
            continue;
        }
        task->stallStopped_ = true;
        ++task->stallRestarts_;
        actions_.stops_.push_back({target.agent_, overdue.run_});
    }
}

} // namespace ibiswall::cell
