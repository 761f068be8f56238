// Takes in jobs, reports and ends, and places tasks.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Time after which progress of an unfinished job is stored, so that targets can forget the ends.
constexpr Millis progressDelay{1000};
// Time for which a target that rejected a start for want of room gets no further one.
constexpr Millis roomPause{40};
// Pause of a target after a start that it rejected for another reason; doubles with each in a row.
constexpr Millis firstPause{10};
constexpr Millis maxPause{500};
// Objective of a job whose queue is no longer configured.
constexpr Millis unknownObjective{1000};
// Run time of the longest chain of steps, by the caller's guess.
Millis longestChain(const JobSpec &spec)
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (const Step &step : spec.steps_) {
        std::int64_t begin = 0;
        for (const std::uint32_t before : step.after_) {
            begin = std::max(begin, ends.at(before));
        }
        ends.push_back(begin + step.estimate_.count_);
        longest = std::max(longest, ends.back());
    }
    return {longest};
}

Millis objective(Millis chain, const Queue *queue)
{
    if (queue == nullptr) {
        return unknownObjective;
    }
    return {static_cast<std::int64_t>(static_cast<double>(chain.count_) * queue->stretch_) + queue->allowance_.count_};
}

} // namespace

Dispatcher::Dispatcher(std::uint64_t epoch)
    : epoch_(epoch)
{
}

void Dispatcher::setConfig(const CellConfig &config, const std::set<std::string> &domainsOut)
{
    config_ = config;
    domainsOut_ = domainsOut;
}

const Queue *Dispatcher::queueOf(const Job &job) const
{
    const auto found = config_.queues_.find(job.record_.spec_.queue_);
    return found == config_.queues_.end() ? nullptr : &found->second;
}

Dispatcher::ReadyKey Dispatcher::keyOf(const Job &job)
{
    return {job.priority_, job.late_, job.due_.count_, job.sequence_};
}

std::optional<JobState> Dispatcher::addJob(JobOffer offer, Millis now)
{
    if (const auto ended = ended_.find(offer.id_); ended != ended_.end()) {
        // A job that was turned away may be handed in anew; an old offer that is repeated stays turned away.
        if (ended->second.state_ != JobState::Refused || !offer.fresh_) {
            return ended->second.state_;
        }
        ended_.erase(ended);
    }
    const JobState state = offer.record_.progress_.state_;
    if (isFinal(state)) {
        // A job cannot come back from a final state, so the stored state wins over what is known here.
        if (const auto known = jobs_.find(offer.id_); known == jobs_.end()) {
            ended_[offer.id_] = {state, now, false, offer.revision_};
        }
        return state;
    }
    const auto [entry, added] = jobs_.try_emplace(offer.id_);
    Job &job = entry->second;
    if (!offer.origin_.empty()) {
        job.origins_.insert(offer.origin_);
    }
    if (offer.patience_ > Millis{0}) {
        job.giveUpAt_ = now + offer.patience_;
    }
    job.mayHaveStarted_ = job.mayHaveStarted_ || !offer.fresh_;
    if (!added) {
        return std::nullopt;
    }
    job.id_ = std::move(offer.id_);
    job.record_ = std::move(offer.record_);
    job.revision_ = offer.revision_;
    job.sequence_ = nextSequence_++;
    const Queue *queue = queueOf(job);
    job.priority_ = queue == nullptr ? 0 : queue->priority_;
    const Millis chain = longestChain(job.record_.spec_);
    const Millis aim = objective(chain, queue);
    const Millis handedIn = now - offer.age_;
    job.due_ = handedIn + aim;
    job.latestStart_ = job.due_ - chain;
    job.lastUsefulStart_ = handedIn + Millis{usefulObjectives * aim.count_} - chain;
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
            } else if (offer.fresh_ || gathered_) {
                setWaiting(job, task);
            } else {
                task.phase_ = Phase::Unsure;
            }
        }
    }
    if (const auto foreign = foreign_.find(job.id_); foreign != foreign_.end()) {
        const Foreign known = std::move(foreign->second);
        foreign_.erase(foreign);
        job.mayHaveStarted_ = true;
        std::set<TaskId> ignored;
        for (const auto &[ref, end] : known.ends_) {
            End told = end;
            if (targets_[ref.agent_].info_.born_ == ref.born_) {
                targets_[ref.agent_].unsavedEnds_.erase(ref.number_);
            } else {
                // The target has forgotten it, and numbers others so.
                told.number_ = 0;
            }
            ended(ref.agent_, told, now);
        }
        for (const Foreign::Running &each : known.running_) {
            keepRun(each.agent_, each.run_, ignored, now);
            if (each.lostAt_ != Millis{0}) {
                loseRun(each.agent_, each.run_.task_, each.lostAt_);
            }
        }
    }
    return std::nullopt;
}

void Dispatcher::forgetJob(const std::string &id)
{
    const auto foreign = foreign_.find(id);
    if (foreign == foreign_.end()) {
        return;
    }
    for (const auto &[ref, end] : foreign->second.ends_) {
        endSaved(ref);
    }
    foreign->second.ends_.clear();
    for (const Foreign::Running &each : foreign->second.running_) {
        effects_.stops_.push_back({each.agent_, each.run_});
    }
    if (foreign->second.running_.empty()) {
        foreign_.erase(foreign);
    }
}

// Forgets the foreign runs for which the predicate holds.
template<typename Predicate>
void Dispatcher::dropForeign(Predicate drop)
{
    for (auto each = foreign_.begin(); each != foreign_.end();) {
        auto &running = each->second.running_;
        running.erase(std::remove_if(running.begin(), running.end(), drop), running.end());
        each = running.empty() && each->second.ends_.empty() ? foreign_.erase(each) : std::next(each);
    }
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
}

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

void Dispatcher::report(const std::string &agent,
                        const std::optional<TargetInfo> &info,
                        std::int64_t born,
                        Span<const Run> running,
                        Span<const End> ends,
                        Millis now)
{
    Target &target = targets_[agent];
    target.agent_ = agent;
    if (info) {
        targetChanged(agent, *info);
    } else if (born != target.info_.born_) {
        // Another life, which has not told its capacity yet.
        TargetInfo unknown;
        unknown.born_ = born;
        targetChanged(agent, unknown);
    }
    target.present_ = true;
    dropForeign([&agent](const Foreign::Running &each) { return each.agent_ == agent; });
    for (const End &end : ends) {
        ended(agent, end, now);
    }
    std::set<TaskId> kept;
    for (const Run &run : running) {
        keepRun(agent, run, kept, now);
    }
    loseRunsOf(agent, kept, now);
}

// Takes in a run that a target reports.
void Dispatcher::keepRun(const std::string &agent, const Run &run, std::set<TaskId> &kept, Millis now)
{
    Job *job = nullptr;
    Task *task = findTask(run.task_, job);
    if (job == nullptr && ended_.count(run.task_.job_) == 0) {
        Foreign &foreign = foreign_[run.task_.job_];
        foreign.running_.push_back({agent, run, {}});
        effects_.lookups_.push_back(run.task_.job_);
        return;
    }
    const bool placedHere = task != nullptr && task->phase_ == Phase::Placed && task->agent_ == agent && task->run_ == run.number_;
    const bool free = task != nullptr && (task->phase_ == Phase::Unsure || task->phase_ == Phase::Lost || task->phase_ == Phase::Waiting)
        && !isFinal(job->state_);
    if (!placedHere && !free) {
        effects_.stops_.push_back({agent, run});
        return;
    }
    kept.insert(run.task_);
    if (free) {
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
    const Resources &need = job.record_.spec_.steps_[run.task_.step_].need_;
    Target &target = targets_[agent];
    target.used_ = target.used_ + need;
    target.runs_[run.task_] = need;
    job.state_ = JobState::Running;
}

void Dispatcher::loseRunsOf(const std::string &agent, const std::set<TaskId> &kept, Millis now)
{
    Target &target = targets_[agent];
    std::vector<TaskId> lost;
    for (const auto &[id, need] : target.runs_) {
        if (kept.count(id) == 0) {
            lost.push_back(id);
        }
    }
    for (const TaskId &id : lost) {
        Job *job = nullptr;
        const Task *task = findTask(id, job);
        if (task != nullptr && task->phase_ == Phase::Placed && task->agent_ == agent) {
            ended(agent, {0, {id, task->run_}, EndKind::Lost, {}}, now);
        } else {
            target.used_ = target.used_ - target.runs_[id];
            target.runs_.erase(id);
        }
    }
}

void Dispatcher::targetChanged(const std::string &agent, const TargetInfo &info)
{
    Target &target = targets_[agent];
    target.agent_ = agent;
    if (info.born_ < target.info_.born_) {
        return;
    }
    // A life that reported before it announced itself has no id yet.
    const bool otherId = !target.info_.id_.empty() && target.info_.id_ != info.id_;
    const bool reborn = otherId || target.info_.born_ != info.born_;
    if (reborn) {
        // The agent itself tells which runs are lost: a start under way may have reached the new life.
        target.unsavedEnds_.clear();
        target.highestEnd_ = 0;
        target.acknowledged_ = 0;
        target.slowness_ = 1;
        target.failing_ = 0;
    }
    target.info_ = info;
}

void Dispatcher::pause(const std::string &agent)
{
    if (const auto found = targets_.find(agent); found != targets_.end()) {
        found->second.present_ = false;
    }
}

void Dispatcher::targetLost(const std::string &agent, Millis now)
{
    const auto found = targets_.find(agent);
    if (found == targets_.end()) {
        return;
    }
    Target &target = found->second;
    target.present_ = false;
    const std::map<TaskId, Resources> runs = target.runs_;
    for (const auto &[id, need] : runs) {
        loseRun(agent, id, now);
    }
    for (auto &[id, foreign] : foreign_) {
        for (Foreign::Running &each : foreign.running_) {
            each.lostAt_ = each.agent_ == agent ? now : each.lostAt_;
        }
    }
    target.runs_.clear();
    target.used_ = {};
}

void Dispatcher::loseRun(const std::string &agent, const TaskId &id, Millis now)
{
    Job *job = nullptr;
    Task *task = findTask(id, job);
    if (task != nullptr && task->phase_ == Phase::Placed && task->agent_ == agent) {
        task->phase_ = Phase::Lost;
        lost_.emplace_back(now, id);
    }
}

void Dispatcher::confirmLost(Millis provedAt)
{
    const auto confirmed
        = std::stable_partition(lost_.begin(), lost_.end(), [provedAt](const auto &each) { return each.first >= provedAt; });
    for (auto each = confirmed; each != lost_.end(); ++each) {
        Job *job = nullptr;
        Task *task = findTask(each->second, job);
        if (task != nullptr && task->phase_ == Phase::Lost) {
            setWaiting(*job, *task);
        }
    }
    lost_.erase(confirmed, lost_.end());
    dropForeign([provedAt](const Foreign::Running &each) { return each.lostAt_ != Millis{0} && each.lostAt_ < provedAt; });
}

void Dispatcher::ended(const std::string &agent, const End &end, Millis now)
{
    Target &target = targets_[agent];
    if (end.number_ != 0 && (end.number_ <= target.acknowledged_ || target.unsavedEnds_.count(end.number_) != 0)) {
        return;
    }
    target.highestEnd_ = std::max(target.highestEnd_, end.number_);
    Job *job = nullptr;
    Task *task = findTask(end.run_.task_, job);
    if (job == nullptr && ended_.count(end.run_.task_.job_) == 0) {
        noteForeignEnd(target, end);
        return;
    }
    const bool current = task != nullptr && task->phase_ == Phase::Placed && task->agent_ == agent && task->run_ == end.run_.number_;
    if (task == nullptr || current) {
        if (const auto run = target.runs_.find(end.run_.task_); run != target.runs_.end()) {
            target.used_ = target.used_ - run->second;
            target.runs_.erase(run);
        }
    }
    const bool counts = end.kind_ == EndKind::Done || end.kind_ == EndKind::Failed;
    if (task != nullptr && counts && task->phase_ != Phase::Done && !isFinal(job->state_)) {
        noteEnd(*job, *task, agent, end, now);
    } else if (task != nullptr && end.kind_ == EndKind::Done && !job->isEphemeral()) {
        // What makes the end needless here is not stored yet, so the target must not forget it before it is.
        saveLater(*job, agent, end, now + progressDelay);
    } else if (current && !isFinal(job->state_)) {
        if (!end.checkpoint_.empty()) {
            task->checkpoint_ = end.checkpoint_;
        }
        setWaiting(*job, *task);
    }
    acknowledge(target);
}

// Keeps the end of a run of a job that nobody has offered yet.
void Dispatcher::noteForeignEnd(Target &target, const End &end)
{
    dropForeign([&](const Foreign::Running &each) {
        return each.agent_ == target.agent_ && each.run_.task_ == end.run_.task_ && each.run_.number_ == end.run_.number_;
    });
    if (end.number_ != 0) {
        foreign_[end.run_.task_.job_].ends_.push_back({{target.agent_, target.info_.born_, end.number_}, end});
        target.unsavedEnds_.insert(end.number_);
        effects_.lookups_.push_back(end.run_.task_.job_);
    }
    acknowledge(target);
}

// Takes in a run that ended as done or failed, also one that had been given up.
void Dispatcher::noteEnd(Job &job, Task &task, const std::string &agent, const End &end, Millis now)
{
    Target &target = targets_[agent];
    const bool current = task.phase_ == Phase::Placed && task.agent_ == agent && task.run_ == end.run_.number_;
    const bool failed = end.kind_ == EndKind::Failed;
    target.refusals_ = 0;
    if (current) {
        const Step &step = job.record_.spec_.steps_[end.run_.task_.step_];
        const auto expected = static_cast<double>(std::max<std::int64_t>(step.estimate_.count_, 1));
        noteRun(target, failed, static_cast<double>((now - task.placedAt_).count_) / expected);
    }
    if (failed) {
        if (std::find(task.failedRuns_.begin(), task.failedRuns_.end(), end.run_.number_) == task.failedRuns_.end()) {
            task.failedRuns_.push_back(end.run_.number_);
        }
        saveLater(job, agent, end, now);
        const Queue *queue = queueOf(job);
        if (queue != nullptr && task.failedRuns_.size() >= queue->maxAttempts_) {
            finish(job, JobState::Failed, now);
        } else if (current) {
            setWaiting(job, task);
        }
        return;
    }
    if (task.phase_ == Phase::Placed && !current) {
        effects_.stops_.push_back({task.agent_, {end.run_.task_, task.run_}});
    } else if (task.phase_ == Phase::Waiting && --job.waiting_ == 0) {
        ready_.erase(keyOf(job));
    }
    task.phase_ = Phase::Done;
    --job.openInStep_[end.run_.task_.step_];
    saveLater(job, agent, end, now + progressDelay);
    if (--job.open_ == 0) {
        finish(job, JobState::Completed, now);
    } else if (job.openInStep_[end.run_.task_.step_] == 0 && job.waiting_ > 0) {
        ready_[keyOf(job)] = &job;
    }
}

void Dispatcher::finish(Job &job, JobState state, Millis now)
{
    job.state_ = state;
    if (job.waiting_ > 0) {
        job.waiting_ = 0;
        ready_.erase(keyOf(job));
    }
    stopRuns(job);
    if (job.isEphemeral()) {
        conclude(job, now);
        return;
    }
    job.writeDue_ = now;
    dirty_.insert(job.id_);
}

// Ends a job whose final state is stored or need not be. The job is gone afterwards.
void Dispatcher::conclude(Job &job, Millis now)
{
    const std::string id = job.id_;
    if (!job.isEphemeral()) {
        effects_.notices_.push_back({id, job.state_, {}});
    } else if (!job.origins_.empty()) {
        effects_.notices_.push_back({id, job.state_, job.origins_});
    }
    ended_[id] = {job.state_, now, job.isEphemeral(), job.revision_};
    std::vector<EndRef> ends = std::move(job.unsaved_);
    dirty_.erase(id);
    jobs_.erase(id);
    for (const EndRef &end : ends) {
        endSaved(end);
    }
}

void Dispatcher::abandon(const std::string &id, const std::string &origin, Millis now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.isEphemeral()) {
        return;
    }
    found->second.origins_.erase(origin);
    if (found->second.origins_.empty()) {
        finish(found->second, JobState::Cancelled, now);
    }
}

void Dispatcher::forgetEnded(Millis ephemeralBefore, Millis storedBefore)
{
    for (auto each = ended_.begin(); each != ended_.end();) {
        const auto &[id, ended] = *each;
        if (ended.at_ >= (ended.ephemeral_ ? ephemeralBefore : storedBefore)) {
            ++each;
            continue;
        }
        if (!ended.ephemeral_) {
            removals_.push_back({id, ended.revision_});
        }
        each = ended_.erase(each);
    }
}

void Dispatcher::stopRuns(Job &job)
{
    for (std::uint32_t step = 0; step < job.offsets_.size(); ++step) {
        for (std::uint32_t i = 0; i < job.record_.spec_.steps_[step].count_; ++i) {
            const Task &task = job.tasks_[job.offsets_[step] + i];
            if (task.phase_ == Phase::Placed) {
                effects_.stops_.push_back({task.agent_, {{job.id_, step, i}, task.run_}});
            }
        }
    }
}

void Dispatcher::refused(const std::string &agent, const Run &run, bool forRoom, Millis now)
{
    Target &target = targets_[agent];
    const Millis pause{forRoom ? roomPause.count_ : std::min(maxPause.count_, firstPause.count_ << std::min(target.refusals_, 6U))};
    target.refusals_ += forRoom ? 0 : 1;
    target.pausedUntil_ = {std::max(target.pausedUntil_.count_, (now + pause).count_)};
    ended(agent, {0, run, EndKind::Lost, {}}, now);
}

void Dispatcher::gathered(Millis /*now*/)
{
    gathered_ = true;
    for (auto &[id, job] : jobs_) {
        for (Task &task : job.tasks_) {
            if (task.phase_ == Phase::Unsure) {
                setWaiting(job, task);
            }
        }
    }
}

CancelOutcome Dispatcher::cancel(const std::string &id, Millis now)
{
    if (ended_.count(id) != 0) {
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

Effects Dispatcher::takeEffects()
{
    return std::exchange(effects_, {});
}

bool Dispatcher::knows(const std::string &job) const
{
    return jobs_.count(job) != 0 || ended_.count(job) != 0;
}

std::optional<JobState> Dispatcher::finalState(const std::string &job) const
{
    const auto found = ended_.find(job);
    return found == ended_.end() ? std::nullopt : std::optional(found->second.state_);
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
