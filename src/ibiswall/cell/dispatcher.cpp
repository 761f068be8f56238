// Adds and ends jobs, and keeps the state of tasks.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>
#include <ibiswall/cell/usefultime.hpp>

namespace ibiswall::cell {

bool isUsefulAfter(Millis wait, const JobSpec &spec, const Queue &queue)
{
    const auto least = static_cast<std::int64_t>(static_cast<double>(wait.count_) * (1 - predictionMargin));
    return Millis{least} <= usefulTime(spec, &queue).lastStart_;
}

Dispatcher::Dispatcher(std::uint64_t epoch)
    : epoch_(epoch)
{
}

void Dispatcher::setConfig(const CellConfig &config, const std::set<std::string> &domainsOut)
{
    config_ = config;
    domainsOut_ = domainsOut;
    ++targetsVersion_;
}

void Dispatcher::setScheduling(const SchedulingSettings &settings)
{
    scheduling_ = settings;
    if (!settings.placeByEnd_) {
        overdueAt_.clear();
        stallSuspects_.clear();
        for (auto &[agent, target] : targets_) {
            target.stall_ = {};
        }
    }
    for (auto &[id, job] : jobs_) {
        countWaiting(job);
    }
}

void Dispatcher::setJobBudget(std::shared_ptr<Budget> budget)
{
    jobBudget_ = std::move(budget);
}

const Queue *Dispatcher::queueOf(const Job &job) const
{
    const auto found = config_.queues_.find(job.record_.spec_.queue_);
    if (found != config_.queues_.end()) {
        return &found->second;
    }
    const std::optional<Queue> &accepted = job.record_.spec_.acceptedBy_;
    return accepted && !job.submittedAfterRemoval_ ? &*accepted : nullptr;
}

// Whether the queue of an offered job had been removed before the job was accepted. Of a job that was in no leader's hands and is not
// stored that is not known; it counts as accepted later and is refused.
bool Dispatcher::isSubmittedAfterRemoval(const JobOffer &offer) const
{
    const JobSpec &spec = offer.record_.spec_;
    if (config_.queues_.count(spec.queue_) != 0) {
        return false;
    }
    if (spec.ephemeral_) {
        return offer.fresh_;
    }
    // The record of a pending job has the revision of its creation.
    return offer.record_.progress_.state_ == JobState::Pending && offer.revision_ > config_.revision_;
}

Dispatcher::ReadyKey Dispatcher::keyOf(const Job &job)
{
    return {job.priority_, job.late_, job.due_.count_, job.sequence_};
}

std::optional<JobState> Dispatcher::addJob(JobOffer offer, Millis now)
{
    bool mayHaveStarted = !offer.fresh_;
    if (const auto finalJob = finalJobs_.find(offer.id_); finalJob != finalJobs_.end()) {
        const bool abandoned = finalJob->second.abandoned_;
        if (abandoned && mayRunSomewhere(offer.id_)) {
            returned_.push_back(std::move(offer));
            return std::nullopt;
        }
        if (finalJob->second.state_ == JobState::Withdrawn) {
            return offer.fresh_ && !finalJob->second.mayRun_ ? JobState::Refused : JobState::Cancelled;
        }
        // A refused job may be submitted again, but a repeated offer of the refused submission stays refused.
        if (!abandoned && (finalJob->second.state_ != JobState::Refused || !offer.fresh_)) {
            return finalJob->second.state_;
        }
        mayHaveStarted = mayHaveStarted || abandoned;
        finalJobs_.erase(finalJob);
    }
    const JobState state = offer.record_.progress_.state_;
    if (isFinal(state)) {
        // Final states never change, so the stored state takes precedence over the one known here.
        if (const auto known = jobs_.find(offer.id_); known == jobs_.end()) {
            finalJobs_[offer.id_] = {state, now, false, offer.revision_, false, false};
            withdrawnJobs_ += state == JobState::Withdrawn ? 1 : 0;
            // Reported before the job was read. Nothing else would let the targets discard these results.
            releaseOrphan(orphans_.take(offer.id_));
        }
        return state;
    }
    const std::size_t bytes = jobBytes(offer.record_.spec_);
    if (jobBudget_ && !mayHaveStarted && offer.record_.spec_.ephemeral_ && jobs_.count(offer.id_) == 0 && !jobBudget_->hasRoomFor(bytes)
        && !mayRunSomewhere(offer.id_) && !orphans_.contains(offer.id_)) {
        finalJobs_[offer.id_] = {JobState::Refused, now, true, offer.revision_, false, false};
        return JobState::Refused;
    }
    const auto [entry, added] = jobs_.try_emplace(offer.id_);
    Job &job = entry->second;
    if (!offer.origin_.empty()) {
        job.origins_.insert(offer.origin_);
    }
    if (offer.callerTimeout_ > Millis{0}) {
        job.callerTimeoutAt_ = now + offer.callerTimeout_;
    }
    job.mayHaveStarted_ = job.mayHaveStarted_ || mayHaveStarted;
    if (!added) {
        return std::nullopt;
    }
    job.domain_ = offer.domain_;
    const bool fresh = offer.fresh_;
    const std::string id = offer.id_;
    job.submittedAfterRemoval_ = isSubmittedAfterRemoval(offer);
    job.id_ = std::move(offer.id_);
    job.record_ = std::move(offer.record_);
    static_assert(sizeof(Task) <= taskBytes);
    job.share_ = BudgetShare(jobBudget_);
    job.share_.resize(bytes);
    job.revision_ = offer.revision_;
    job.activeAt_ = now;
    job.sequence_ = nextSequence_++;
    const Queue *queue = queueOf(job);
    job.priority_ = queue == nullptr ? 0 : queue->priority_;
    const UsefulTime useful = usefulTime(job.record_.spec_, queue);
    const Millis submittedAt = now - offer.age_;
    job.due_ = submittedAt + useful.objective_;
    job.latestStart_ = job.due_ - useful.chain_;
    job.lastUsefulStart_ = submittedAt + useful.lastStart_;
    initAdmission(job, useful.objective_, fresh, now);
    const JobProgress &progress = job.record_.progress_;
    for (const Step &step : job.record_.spec_.steps_) {
        job.offsets_.push_back(static_cast<std::uint32_t>(job.tasks_.size()));
        job.openInStep_.push_back(step.count_);
        job.tasks_.resize(job.tasks_.size() + step.count_);
    }
    job.open_ = static_cast<std::uint32_t>(job.tasks_.size());
    for (const auto &[at, run] : progress.failedRuns_) {
        job.tasks_[at].failedRuns_.push_back(run);
    }
    for (std::size_t step = 0; step < job.offsets_.size(); ++step) {
        for (std::uint32_t i = 0; i < job.record_.spec_.steps_[step].count_; ++i) {
            const std::size_t at = job.offsets_[step] + i;
            Task &task = job.tasks_[at];
            if (!progress.done_.empty() && progress.done_[at]) {
                task.phase_ = Phase::Done;
                --job.openInStep_[step];
                --job.open_;
            } else if (offer.fresh_ || reconciled_) {
                setWaiting(job, task);
            } else {
                task.phase_ = Phase::Unreconciled;
            }
        }
    }
    applyOrphan(job, now);
    if (const auto open = jobs_.find(id); open != jobs_.end() && !isFinal(open->second.state_)) {
        applyKnownCrashes(open->second, now);
    }
    return std::nullopt;
}

void Dispatcher::setWaiting(Job &job, Task &task)
{
    if (isFinal(job.state_)) {
        return;
    }
    task.phase_ = Phase::Waiting;
    task.agent_.clear();
    if (job.waiting_++ == 0) {
        ready_[keyOf(job)] = &job;
    }
    countWaiting(job);
}

void Dispatcher::finish(Job &job, JobState state, Millis now)
{
    job.state_ = state;
    if (state == JobState::Completed) {
        containment_.recordCompletion(job.record_.spec_.queue_);
    }
    if (job.waiting_ > 0) {
        job.waiting_ = 0;
        ready_.erase(keyOf(job));
    }
    countWaiting(job);
    stopRuns(job);
    if (job.isEphemeral()) {
        finalizeJob(job, now);
        return;
    }
    job.writeDue_ = now;
    dirty_.insert(job.id_);
}

// Ends a job whose final state is stored or need not be. Invalidates the reference to the job.
void Dispatcher::finalizeJob(Job &job, Millis now)
{
    const std::string id = job.id_;
    if (!job.isEphemeral()) {
        actions_.notices_.push_back({id, job.state_, {}});
    } else if (!job.origins_.empty()) {
        actions_.notices_.push_back({id, job.state_, job.origins_, job.retryAfter_});
    }
    finalJobs_[id] = {job.state_, now, job.isEphemeral(), job.revision_, false, false};
    std::vector<ResultRef> results = std::move(job.unsaved_);
    dirty_.erase(id);
    jobs_.erase(id);
    for (const ResultRef &result : results) {
        onResultSaved(result);
    }
}

void Dispatcher::expireFinalJobs(Millis ephemeralBefore, Millis storedBefore, Millis withdrawnBefore)
{
    for (auto each = finalJobs_.begin(); each != finalJobs_.end();) {
        const auto &[id, finalJob] = *each;
        const bool withdrawn = finalJob.state_ == JobState::Withdrawn;
        if (finalJob.at_ >= (withdrawn ? withdrawnBefore : finalJob.ephemeral_ ? ephemeralBefore : storedBefore)) {
            ++each;
            continue;
        }
        if (!finalJob.ephemeral_) {
            removals_.push_back({id, finalJob.revision_});
        }
        withdrawnJobs_ -= withdrawn ? 1 : 0;
        each = finalJobs_.erase(each);
    }
}

void Dispatcher::stopRuns(Job &job)
{
    for (std::uint32_t step = 0; step < job.offsets_.size(); ++step) {
        for (std::uint32_t i = 0; i < job.record_.spec_.steps_[step].count_; ++i) {
            const Task &task = job.tasks_[job.offsets_[step] + i];
            if (task.phase_ == Phase::Placed) {
                actions_.stops_.push_back({task.agent_, {{job.id_, step, i}, task.run_}});
            }
        }
    }
}

void Dispatcher::markReconciled(Millis /*now*/)
{
    reconciled_ = true;
    for (auto &[id, job] : jobs_) {
        for (Task &task : job.tasks_) {
            if (task.phase_ == Phase::Unreconciled) {
                setWaiting(job, task);
            }
        }
    }
}

CancelOutcome Dispatcher::cancel(const std::string &id, Millis now)
{
    if (finalJobs_.count(id) != 0) {
        return CancelOutcome::AlreadyFinal;
    }
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return CancelOutcome::Unknown;
    }
    if (!isFinal(found->second.state_)) {
        finish(found->second, JobState::Cancelled, now);
    }
    return CancelOutcome::Accepted;
}

DispatcherActions Dispatcher::takeActions()
{
    return std::exchange(actions_, {});
}

bool Dispatcher::hasJob(const std::string &job) const
{
    return jobs_.count(job) != 0 || finalJobs_.count(job) != 0;
}

std::optional<JobState> Dispatcher::finalState(const std::string &job) const
{
    const auto found = finalJobs_.find(job);
    return found == finalJobs_.end() ? std::nullopt : std::optional(found->second.state_);
}

std::map<std::string, std::size_t> Dispatcher::waitingJobs() const
{
    std::map<std::string, std::size_t> waiting;
    for (const auto &[id, job] : jobs_) {
        if (job.state_ == JobState::Pending) {
            ++waiting[job.record_.spec_.queue_];
        }
    }
    return waiting;
}

std::size_t Dispatcher::openJobs() const
{
    return jobs_.size();
}

} // namespace ibiswall::cell
