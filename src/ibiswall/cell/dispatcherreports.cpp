// Applies what agents report of their targets: runs, results, and losses of targets.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Delay before progress of an unfinished job is stored, after which targets can discard the results.
constexpr Millis progressDelay{1000};
// Pause of a target after it rejected a start for lack of capacity.
constexpr Millis noRoomPause{40};
// Pause of a target after it rejected a start for another reason; doubles with each consecutive rejection.
constexpr Millis firstPause{10};
constexpr Millis maxPause{500};

} // namespace

Dispatcher::Task *Dispatcher::findTask(const TaskId &id, Job *&job)
{
    const auto found = jobs_.find(id.job_);
    if (found == jobs_.end()) {
        return nullptr;
    }
    job = &found->second;
    if (id.step_ >= job->offsets_.size() || id.index_ >= job->record_.spec_.steps_[id.step_].count_) {
        return nullptr;
    }
    return &job->tasks_[job->offsets_[id.step_] + id.index_];
}

void Dispatcher::applyFullReport(const std::string &agent,
                                 const std::optional<TargetInfo> &info,
                                 std::int64_t incarnation,
                                 Span<const Run> running,
                                 Span<const RunResult> results,
                                 Millis now)
{
    Target &target = targets_[agent];
    target.agent_ = agent;
    if (info) {
        updateTarget(agent, *info);
    }
    followIncarnation(agent, incarnation);
    target.present_ = true;
    firstReportAt_ = firstReportAt_ == Millis{0} ? now : firstReportAt_;
    ++targetsVersion_;
    target.unknownRuns_.clear();
    target.missingRuns_.clear();
    orphans_.removeRunsOf(agent);
    for (const RunResult &result : results) {
        applyResult(agent, result, now);
    }
    std::set<TaskId> reported;
    for (const Run &run : running) {
        applyReportedRun(agent, run, reported, now);
    }
    markMissingRunsLost(agent, reported, now);
    if (target.acknowledged_ > 0) {
        // The latest acknowledgement may have been lost, and the target lists no later results without it.
        actions_.acks_.push_back({agent, target.info_.targetIncarnation_, target.acknowledged_, target.info_.draining_});
    }
}

// Applies a run that a target reports.
void Dispatcher::applyReportedRun(const std::string &agent, const Run &run, std::set<TaskId> &reported, Millis now)
{
    Job *job = nullptr;
    Task *task = findTask(run.task_, job);
    if (job == nullptr && finalJobs_.count(run.task_.job_) == 0) {
        orphans_.addRun(agent, run);
        targets_[agent].unknownRuns_[run.task_] = run.number_;
        actions_.lookups_.push_back(run.task_.job_);
        return;
    }
    const bool isPlacedHere = task != nullptr && task->phase_ == Phase::Placed && task->agent_ == agent && task->run_ == run.number_;
    const bool canAdopt = task != nullptr
        && (task->phase_ == Phase::Unreconciled || task->phase_ == Phase::Lost || task->phase_ == Phase::Waiting) && !isFinal(job->state_);
    if (!isPlacedHere && !canAdopt) {
        targets_[agent].unknownRuns_[run.task_] = run.number_;
        actions_.stops_.push_back({agent, run});
        return;
    }
    reported.insert(run.task_);
    // An order to stop it may have been lost with the connection.
    task->stallStopped_ = false;
    if (canAdopt) {
        adopt(*job, *task, agent, run, now);
    }
}

void Dispatcher::adopt(Job &job, Task &task, const std::string &agent, const Run &run, Millis now)
{
    if (task.phase_ == Phase::Waiting && --job.waiting_ == 0) {
        ready_.erase(keyOf(job));
    }
    task.phase_ = Phase::Placed;
    task.agent_ = agent;
    task.run_ = run.number_;
    task.placedAt_ = now;
    task.adopted_ = true;
    task.stallStopped_ = false;
    countWaiting(job);
    const Step &step = job.record_.spec_.steps_[run.task_.step_];
    Target &target = targets_[agent];
    addRun(target, job, run.task_, false, now);
    target.unknownRuns_.erase(run.task_);
    job.state_ = JobState::Running;
    watchRun(job, task, run, target, expectedRatio(runTimes_, kindOf(job.record_.spec_.queue_, run.task_.step_, step), {}), now);
}

void Dispatcher::markMissingRunsLost(const std::string &agent, const std::set<TaskId> &reported, Millis now)
{
    Target &target = targets_[agent];
    std::vector<TaskId> lost;
    for (const auto &[id, need] : target.runs_) {
        if (reported.count(id) == 0) {
            lost.push_back(id);
        }
    }
    for (const TaskId &id : lost) {
        Job *job = nullptr;
        const Task *task = findTask(id, job);
        if (task != nullptr && task->phase_ == Phase::Placed && task->agent_ == agent && target.unlistedResults_) {
            target.missingRuns_[id] = task->run_;
        } else if (task != nullptr && task->phase_ == Phase::Placed && task->agent_ == agent) {
            actions_.missingRuns_.push_back({agent, {id, task->run_}});
            applyResult(agent, {0, {id, task->run_}, RunOutcome::Lost, {}}, now);
        } else {
            removeRun(target, id);
        }
    }
}

void Dispatcher::setUnlistedResults(const std::string &agent, bool unlisted, Millis now)
{
    Target &target = targets_[agent];
    target.unlistedResults_ = unlisted;
    if (unlisted) {
        releaseEphemeralResults(agent);
        return;
    }
    for (const auto &[id, run] : std::exchange(target.missingRuns_, {})) {
        applyResult(agent, {0, {id, run}, RunOutcome::Lost, {}}, now);
    }
}

bool Dispatcher::hasUnlistedResults() const
{
    return std::any_of(targets_.begin(), targets_.end(), [](const auto &each) { return each.second.unlistedResults_; });
}

void Dispatcher::updateTarget(const std::string &agent, const TargetInfo &info)
{
    Target &target = targets_[agent];
    target.agent_ = agent;
    if (info.targetIncarnation_ < target.info_.targetIncarnation_) {
        return;
    }
    // An incarnation that reported before its announcement has no id yet.
    const bool otherId = !target.info_.id_.empty() && target.info_.id_ != info.id_;
    const bool restarted = otherId || target.info_.targetIncarnation_ != info.targetIncarnation_;
    if (restarted) {
        // The agent reports which runs were lost: a start in flight may have reached the new incarnation.
        target.unknownRuns_.clear();
        target.unsavedResults_.clear();
        target.highestResult_ = 0;
        target.acknowledged_ = 0;
        target.slowness_ = 1;
        target.logFactor_ = 0;
        forgetTarget(runTimes_, agent);
        target.stall_ = {};
        target.pace_ = {};
        target.failureRate_ = 0;
    }
    ++targetsVersion_;
    const bool leaving = info.leaving_ || (target.info_.leaving_ && !restarted);
    target.info_ = info;
    target.info_.leaving_ = leaving;
    target.info_.draining_ = info.draining_ || leaving;
}

void Dispatcher::followIncarnation(const std::string &agent, std::int64_t incarnation)
{
    if (incarnation > targets_[agent].info_.targetIncarnation_) {
        TargetInfo unknown;
        unknown.targetIncarnation_ = incarnation;
        updateTarget(agent, unknown);
    }
}

void Dispatcher::pausePlacement(const std::string &agent)
{
    if (const auto found = targets_.find(agent); found != targets_.end()) {
        found->second.present_ = false;
    }
}

void Dispatcher::markTargetLost(const std::string &agent, Millis now)
{
    const auto found = targets_.find(agent);
    if (found == targets_.end()) {
        return;
    }
    Target &target = found->second;
    target.present_ = false;
    target.unlistedResults_ = false;
    target.missingRuns_.clear();
    target.stall_ = {};
    const std::map<TaskId, PlacedRun> runs = target.runs_;
    for (const auto &[id, need] : runs) {
        markRunLost(agent, id, now);
        if (const auto finalJob = finalJobs_.find(id.job_); finalJob != finalJobs_.end()) {
            finalJob->second.mayRun_ = true;
        }
    }
    orphans_.markLost(agent, now);
    for (const auto &[id, run] : runs) {
        removeRun(target, id);
    }
    target.allocated_ = {};
}

void Dispatcher::markRunLost(const std::string &agent, const TaskId &id, Millis now)
{
    Job *job = nullptr;
    Task *task = findTask(id, job);
    if (task != nullptr && task->phase_ == Phase::Placed && task->agent_ == agent) {
        task->phase_ = Phase::Lost;
        lostTasks_.emplace_back(now, id);
    }
}

void Dispatcher::requeueLostTasks(Millis confirmedAt)
{
    const auto confirmed = std::stable_partition(lostTasks_.begin(), lostTasks_.end(),
                                                 [confirmedAt](const auto &each) { return each.first >= confirmedAt; });
    for (auto each = confirmed; each != lostTasks_.end(); ++each) {
        Job *job = nullptr;
        Task *task = findTask(each->second, job);
        if (task != nullptr && task->phase_ == Phase::Lost) {
            setWaiting(*job, *task);
        }
    }
    lostTasks_.erase(confirmed, lostTasks_.end());
    orphans_.removeLost(confirmedAt);
}

void Dispatcher::applyResult(const std::string &agent, const RunResult &result, Millis now)
{
    Target &target = targets_[agent];
    if (result.number_ != 0 && (result.number_ <= target.acknowledged_ || target.unsavedResults_.count(result.number_) != 0)) {
        return;
    }
    target.highestResult_ = std::max(target.highestResult_, result.number_);
    if (const auto unknown = target.unknownRuns_.find(result.run_.task_);
        unknown != target.unknownRuns_.end() && unknown->second <= result.run_.number_) {
        target.unknownRuns_.erase(unknown);
    }
    Job *job = nullptr;
    Task *task = findTask(result.run_.task_, job);
    if (job == nullptr && finalJobs_.count(result.run_.task_.job_) == 0) {
        recordOrphanResult(target, result);
        return;
    }
    const bool current = task != nullptr && task->phase_ == Phase::Placed && task->agent_ == agent && task->run_ == result.run_.number_;
    if (current) {
        recordEndOfRun(*job, *task, target, result, now);
    }
    if (task == nullptr || current) {
        const std::optional<PlacedRun> run = removeRun(target, result.run_.task_);
        if (run && current && result.kind_ == RunOutcome::Done) {
            learnFromRun(target, *run, *job, result.run_.task_, now - task->placedAt_, now);
        }
    }
    const bool counts = result.kind_ == RunOutcome::Done || result.kind_ == RunOutcome::Failed;
    if (task != nullptr && counts && task->phase_ != Phase::Done && !isFinal(job->state_)) {
        applyDoneOrFailed(*job, *task, agent, result, now);
    } else if (task != nullptr && result.kind_ == RunOutcome::Done && !job->isEphemeral()) {
        // The state that makes this result redundant is not stored yet, and the target must keep the result until it
        // is.
        scheduleWrite(*job, agent, result, now + progressDelay);
    } else if (current && !isFinal(job->state_)) {
        if (!result.checkpoint_.empty()) {
            task->checkpoint_ = result.checkpoint_;
        }
        setWaiting(*job, *task);
    }
    acknowledge(target);
}

// Applies a run that ended as done or failed, including one that was considered lost.
void Dispatcher::applyDoneOrFailed(Job &job, Task &task, const std::string &agent, const RunResult &result, Millis now)
{
    Target &target = targets_[agent];
    const bool current = task.phase_ == Phase::Placed && task.agent_ == agent && task.run_ == result.run_.number_;
    const bool failed = result.kind_ == RunOutcome::Failed;
    target.rejections_ = 0;
    if (current) {
        const Step &step = job.record_.spec_.steps_[result.run_.task_.step_];
        const auto expected = static_cast<double>(std::max<std::int64_t>(step.estimate_.count_, 1));
        recordRun(target, failed, static_cast<double>((now - task.placedAt_).count_) / expected);
    }
    if (failed) {
        if (std::find(task.failedRuns_.begin(), task.failedRuns_.end(), result.run_.number_) == task.failedRuns_.end()) {
            task.failedRuns_.push_back(result.run_.number_);
        }
        scheduleWrite(job, agent, result, now);
        const Queue *queue = queueOf(job);
        if (queue != nullptr && task.failedRuns_.size() >= queue->maxAttempts_) {
            finish(job, JobState::Failed, now);
        } else if (current) {
            setWaiting(job, task);
        }
        return;
    }
    if (task.phase_ == Phase::Placed && !current) {
        actions_.stops_.push_back({task.agent_, {result.run_.task_, task.run_}});
    } else if (task.phase_ == Phase::Waiting && --job.waiting_ == 0) {
        ready_.erase(keyOf(job));
    }
    countWaiting(job);
    task.phase_ = Phase::Done;
    --job.openInStep_[result.run_.task_.step_];
    scheduleWrite(job, agent, result, now + progressDelay);
    if (--job.open_ == 0) {
        finish(job, JobState::Completed, now);
    } else if (job.openInStep_[result.run_.task_.step_] == 0 && job.waiting_ > 0) {
        ready_[keyOf(job)] = &job;
    }
}

void Dispatcher::onStartRejected(const std::string &agent, const Run &run, bool noRoom, Millis now)
{
    Target &target = targets_[agent];
    const Millis pause{noRoom ? noRoomPause.count_ : std::min(maxPause.count_, firstPause.count_ << std::min(target.rejections_, 6U))};
    target.rejections_ += noRoom ? 0 : 1;
    target.pausedUntil_ = {std::max(target.pausedUntil_.count_, (now + pause).count_)};
    applyResult(agent, {0, run, RunOutcome::Lost, {}}, now);
}

} // namespace ibiswall::cell
