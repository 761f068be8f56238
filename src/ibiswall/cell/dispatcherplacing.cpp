// Placement of waiting tasks and refusal of jobs that can no longer be served.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Consecutive jobs that could not be placed, after which the rest is assumed not to fit either.
constexpr int maxMisses = 4;
// Run numbers per epoch. Epochs are store revisions, and the product stays below 2^53.
constexpr std::uint64_t runsPerEpoch = 1U << 20U;

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

void Dispatcher::schedule(Millis now)
{
    addReturnedJobs(now);
    updateContainment(now);
    std::uint32_t priority = 0;
    int misses = 0;
    int containedMisses = 0;
    for (auto next = ready_.begin(); next != ready_.end();) {
        Job &job = *(next++)->second;
        if (job.priority_ != priority) {
            priority = job.priority_;
            // Jobs of lower urgency must not overtake waiting ones.
            misses = misses < maxMisses ? 0 : misses;
        }
        const bool contained = isContained(job, now);
        if (!job.late_ && (isLate(job, now) || (contained && job.suspect_))) {
            // Visited again later in this loop, after the jobs of its priority that can still meet their objective.
            ready_.erase(keyOf(job));
            job.late_ = true;
            const auto moved = ready_.emplace(keyOf(job), &job).first;
            if (next == ready_.end() || moved->first < next->first) {
                next = moved;
            }
            continue;
        }
        int &missed = contained ? containedMisses : misses;
        if (missed < maxMisses && !isUnservable(job, now) && !placeTasks(job, now)) {
            ++missed;
        }
        if (misses == maxMisses && (containedPools_.empty() || containedMisses == maxMisses)) {
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

// Places as many tasks as possible. Returns false when a task that is ready found no target.
bool Dispatcher::placeTasks(Job &job, Millis now)
{
    const Queue *queue = queueOf(job);
    if (queue == nullptr) {
        return true;
    }
    const auto control = config_.admissionControl_.find(queue->service_);
    const bool admissionControl = control != config_.admissionControl_.end() && control->second;
    for (std::uint32_t step = 0; step < job.offsets_.size(); ++step) {
        if (job.openInStep_[step] == 0 || !isStepReady(job, step)) {
            continue;
        }
        const Step &stepSpec = job.record_.spec_.steps_[step];
        std::map<std::string, std::uint32_t> onAgent;
        for (std::uint32_t i = 0; i < stepSpec.count_ && stepSpec.maxPerTarget_ > 0; ++i) {
            const Task &task = job.tasks_[job.offsets_[step] + i];
            if (task.phase_ == Phase::Placed) {
                ++onAgent[task.agent_];
            }
        }
        for (std::uint32_t i = 0; i < stepSpec.count_; ++i) {
            const Task &task = job.tasks_[job.offsets_[step] + i];
            if (task.phase_ != Phase::Waiting) {
                continue;
            }
            const TaskId id{job.id_, step, i};
            if (awaitsStoredCrash(job, id)) {
                continue;
            }
            Placement placement{stepSpec, queue->service_, domainsOut_, stepSpec.maxPerTarget_ > 0 ? &onAgent : nullptr, nullptr, job.id_};
            placement.contained_ = isContained(job, now);
            placement.admissionControl_ = admissionControl;
            const bool suspect = crashes_.isSuspect(id);
            placement.jobsAtOnce_ = suspect || !placement.contained_ ? 1 : containment_.jobsAtOnce(queue->name_);
            if (suspect || placement.jobsAtOnce_ > 1) {
                placement.suspects_ = &crashes_;
            }
            Target *target = chooseTarget(targets_, placement, now);
            if (target == nullptr && suspect) {
                // Other tasks may still find a target.
                continue;
            }
            if (target == nullptr) {
                return false;
            }
            ++onAgent[target->agent_];
            place(job, id, *target, now);
            if (job.waiting_ == 0) {
                return true;
            }
        }
    }
    return true;
}

void Dispatcher::place(Job &job, const TaskId &id, Target &target, Millis now)
{
    Task &task = job.tasks_[job.offsets_[id.step_] + id.index_];
    task.phase_ = Phase::Placed;
    task.run_ = epoch_ * runsPerEpoch + ++runsAssigned_;
    task.agent_ = target.agent_;
    task.placedAt_ = now;
    job.activeAt_ = now;
    const Resources &need = job.record_.spec_.steps_[id.step_].need_;
    target.allocated_ = target.allocated_ + need;
    target.runs_[id] = need;
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
    std::map<std::string_view, std::size_t> containedJobs;
    for (const auto &[key, job] : ready_) {
        const bool backlogged = isContained(*job, now) && isBacklogged(*job, containedJobs[queueOf(*job)->service_]++, now);
        if (isUnservable(*job, now) || (backlogged && isRefusable(*job))) {
            unservable.push_back(job);
        }
    }
    for (Job *job : unservable) {
        finish(*job, JobState::Refused, now);
    }
}

} // namespace ibiswall::cell
