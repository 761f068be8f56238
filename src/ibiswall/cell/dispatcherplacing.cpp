// Placement of waiting tasks and refusal of jobs that can no longer be served.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Run numbers per epoch. Epochs are store revisions, and the product stays below 2^53.
constexpr std::uint64_t runsPerEpoch = 1U << 20U;

// Why a task with a need finds no target, if that is known: one that needs no more has found none.
std::optional<Shortage> findShortage(const ExhaustedNeeds &exhausted, const Resources &need)
{
    std::optional<Shortage> shortage;
    for (const auto &[exhaustedNeed, why] : exhausted) {
        if (fits(exhaustedNeed, need) && shortage != Shortage::NoMatch) {
            shortage = why;
        }
    }
    return shortage;
}

} // namespace

bool Dispatcher::isStepReady(const Job &job, std::size_t step) const
{
    const auto &after = job.record_.spec_.steps_[step].after_;
    return std::all_of(after.begin(), after.end(), [&job](std::uint32_t before) { return job.openInStep_[before] == 0; });
}

bool Dispatcher::isLate(const Job &job, Millis now) const
{
    return job.state_ == JobState::Pending && now > job.latestStart_;
}

// Whether a job is to be placed last among those of its priority from now on.
bool Dispatcher::becomesLate(const Job &job, Millis now) const
{
    return !job.late_ && (isLate(job, now) || (job.suspect_ && isContained(job, now)));
}

// Whether targets keep capacity for tasks of the job that do not fit. With minimum shares, an ephemeral job whose slack is used up keeps
// no other waiting: it ends late anyway.
bool Dispatcher::keepsCapacity(const Job &job, Millis now) const
{
    return scheduling_.queueFloor_ <= 0 || !job.isEphemeral() || now <= job.latestStart_;
}

void Dispatcher::schedule(Millis now)
{
    addReturnedJobs(now);
    updateContainment(now);
    updateStalls(now);
    expireInterference(interference_, now);
    placeReady(now);
    checkArrivals(now);
}

void Dispatcher::placeReady(Millis now)
{
    openTargets(targets_);
    const std::set<std::string> services = std::exchange(shortServices_, {});
    if (scheduling_.queueFloor_ > 0 && !services.empty()) {
        placeInTurn(services, now);
        return;
    }
    SchedulingPass pass;
    std::uint32_t priority = 0;
    for (auto next = ready_.begin(); next != ready_.end();) {
        Job &job = *(next++)->second;
        if (job.priority_ != priority) {
            priority = job.priority_;
            forgetFewMisses(targets_);
        }
        if (becomesLate(job, now)) {
            // Visited again later in this loop, after the jobs of its priority that can still meet their objective.
            ready_.erase(keyOf(job));
            job.late_ = true;
            countWaiting(job);
            arrivals_.push_back(job.id_);
            const auto moved = ready_.emplace(keyOf(job), &job).first;
            if (next == ready_.end() || moved->first < next->first) {
                next = moved;
            }
            continue;
        }
        if (job.unmatchedIn_ == targetsVersion_ || isUnservable(job, now)) {
            continue;
        }
        placeTasks(job, pass, now);
        if (std::exchange(pass.closed_, false) && !isAnyOpen(targets_, now)) {
            return;
        }
    }
}

bool Dispatcher::isIdle(const std::string &agent) const
{
    const auto found = targets_.find(agent);
    if (found == targets_.end()) {
        return true;
    }
    const TargetInfo &info = found->second.info_;
    return found->second.runs_.empty() && !found->second.unlistedResults_ && (info.id_.empty() || info.draining_ || !info.responsive_);
}

// Places as many tasks as possible.
void Dispatcher::placeTasks(Job &job, SchedulingPass &pass, Millis now)
{
    const Queue *queue = queueOf(job);
    if (queue == nullptr) {
        return;
    }
    bool unmatched = true;
    for (std::uint32_t step = 0; step < job.offsets_.size() && job.waiting_ > 0; ++step) {
        if (job.openInStep_[step] > 0) {
            const bool isMismatch = isStepReady(job, step) && placeStep(job, step, *queue, pass, now) == Shortage::NoMatch;
            unmatched = unmatched && isMismatch;
        }
    }
    if (unmatched) {
        job.unmatchedIn_ = targetsVersion_;
    }
    countWaiting(job);
}

// Places tasks of a step until one finds no target. Returns why it found none, or nothing if all were placed or have to wait for another
// reason than a target.
std::optional<Shortage> Dispatcher::placeStep(Job &job, std::uint32_t step, const Queue &queue, SchedulingPass &pass, Millis now)
{
    const auto control = config_.admissionControl_.find(queue.service_);
    const Step &stepSpec = job.record_.spec_.steps_[step];
    const bool contained = isContained(job, now);
    // Whether other tasks with these needs can use the same targets only.
    const bool isOrdinary = stepSpec.maxPerTarget_ == 0 && !job.suspect_;
    ExhaustedNeeds &exhausted = pass.exhausted_[{queue.service_, stepSpec.requiredLabel_, contained}];
    if (const auto shortage = isOrdinary ? findShortage(exhausted, stepSpec.need_) : std::nullopt) {
        return shortage;
    }
    const bool keeps = keepsCapacity(job, now);
    ExhaustedNeeds &full = pass.full_[{queue.service_, stepSpec.requiredLabel_, contained}];
    if (!keeps && isOrdinary && findShortage(full, stepSpec.need_)) {
        return Shortage::Busy;
    }
    std::map<std::string, std::uint32_t> onAgent;
    for (std::uint32_t i = 0; i < stepSpec.count_ && stepSpec.maxPerTarget_ > 0; ++i) {
        const Task &task = job.tasks_[job.offsets_[step] + i];
        if (task.phase_ == Phase::Placed) {
            ++onAgent[task.agent_];
        }
    }
    Placement placement{stepSpec, queue.service_, domainsOut_, stepSpec.maxPerTarget_ > 0 ? &onAgent : nullptr, nullptr, job.id_};
    placement.contained_ = contained;
    avoidInterference(placement, kindOf(queue.name_, step, stepSpec), pass, now);
    placement.admissionControl_ = control != config_.admissionControl_.end() && control->second;
    const ExpectedRatio kind
        = scheduling_.placeByEnd_ ? expectedRatio(runTimes_, kindOf(queue.name_, step, stepSpec), {}) : ExpectedRatio{};
    const EndEstimate end = scheduling_.placeByEnd_ ? estimateEnd(stepSpec.estimate_, kind, slackOf(job, step, now)) : EndEstimate{};
    placement.end_ = scheduling_.placeByEnd_ ? &end : nullptr;
    for (std::uint32_t i = 0; i < stepSpec.count_; ++i) {
        const TaskId task{job.id_, step, i};
        if (job.tasks_[job.offsets_[step] + i].phase_ != Phase::Waiting || awaitsStoredCrash(job, task)) {
            continue;
        }
        const bool suspect = crashes_.isSuspect(task);
        placement.jobsAtOnce_ = suspect || !placement.contained_ ? 1 : containment_.jobsAtOnce(queue.name_);
        placement.suspects_ = suspect || placement.jobsAtOnce_ > 1 ? &crashes_ : nullptr;
        placement.avoidStalled_ = job.tasks_[job.offsets_[step] + i].stallRestarts_ > 0;
        Target *target = chooseTarget(targets_, placement, now);
        if (target == nullptr && suspect) {
            // Other tasks may still find a target.
            continue;
        }
        if (target == nullptr) {
            const Shortage shortage = keeps ? recordMiss(targets_, placement, job.sequence_, now) : Shortage::Busy;
            if (shortage != Shortage::NoMatch) {
                shortServices_.insert(queue.service_);
            }
            if (isOrdinary && !keeps) {
                full.emplace_back(stepSpec.need_, shortage);
            }
            pass.closed_ = pass.closed_ || shortage != Shortage::Busy;
            if (isOrdinary && shortage != Shortage::Busy) {
                exhausted.emplace_back(stepSpec.need_, shortage);
            }
            return shortage;
        }
        ++onAgent[target->agent_];
        place(job, task, *target, now);
        watchRun(job, job.tasks_[job.offsets_[step] + i], {task, job.tasks_[job.offsets_[step] + i].run_}, *target, kind, now);
        if (job.waiting_ == 0) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

void Dispatcher::place(Job &job, const TaskId &id, Target &target, Millis now)
{
    Task &task = job.tasks_[job.offsets_[id.step_] + id.index_];
    task.phase_ = Phase::Placed;
    task.run_ = epoch_ * runsPerEpoch + ++runsAssigned_;
    task.agent_ = target.agent_;
    task.placedAt_ = now;
    task.adopted_ = false;
    task.stallStopped_ = false;
    job.activeAt_ = now;
    addRun(target, job, id, target.unknownRuns_.empty(), now);
    if (--job.waiting_ == 0) {
        ready_.erase(keyOf(job));
    }
    if (job.state_ == JobState::Pending) {
        job.state_ = JobState::Running;
        if (!job.isEphemeral()) {
            actions_.notices_.push_back({job.id_, JobState::Running, {}});
        }
    }
    actions_.starts_.push_back({target.agent_, {id, task.run_}, job.record_.spec_.payload_, task.checkpoint_, job.isEphemeral()});
}

// Whether a caller waits for the job and no task of it has run.
bool Dispatcher::isRefusable(const Job &job)
{
    const bool neverStarted = !job.mayHaveStarted_ && job.state_ == JobState::Pending && job.waiting_ == job.tasks_.size();
    return neverStarted && job.isEphemeral() && job.callerTimeoutAt_ != Millis{0};
}

// Whether a job is to be refused, since running it now would be useless to its caller.
bool Dispatcher::isUnservable(const Job &job, Millis now) const
{
    return isRefusable(job) && (now > job.lastUsefulStart_ || now >= job.callerTimeoutAt_);
}

void Dispatcher::refuseUnservable(Millis now)
{
    std::vector<Job *> unservable;
    Forecast forecast{now, {}};
    for (Job *job : jobsToRecheck(now)) {
        Millis wait;
        if (!isAdmissible(forecast, *job, wait)) {
            refuse(*job, "growth", wait, now);
        }
    }
    std::map<std::string_view, std::size_t> containedJobs;
    for (const auto &[key, job] : ready_) {
        const bool backlogged = isContained(*job, now) && isBacklogged(*job, containedJobs[queueOf(*job)->service_]++, now);
        if (isUnservable(*job, now) || (backlogged && isRefusable(*job))) {
            unservable.push_back(job);
        }
    }
    for (Job *job : unservable) {
        refuse(*job, "expired", {}, now);
    }
}

} // namespace ibiswall::cell
