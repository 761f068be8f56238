// Naive dispatch policies: no priorities by value, no fairness between members and no bound on the queue.

#include "naive.hpp"

#include <iterator>

namespace ibiswall::bench {

namespace {

/// Attempts per task; NaivePolicy::UnlimitedRetry ignores this limit.
constexpr int maxAttempts = 4;

bool inService(const NaiveEntry &entry, const NaiveAgent &agent)
{
    return !isOut(entry.configuration_, agent.info_.place_.domain_, agent.info_.place_.target_);
}

std::optional<AgentRef> chooseRoundRobin(NaiveEntry &entry)
{
    for (std::size_t i = 0; i < entry.agents_.size(); ++i) {
        auto next = entry.agents_.upper_bound(entry.lastChosen_);
        next = next == entry.agents_.end() ? entry.agents_.begin() : next;
        entry.lastChosen_ = next->first;
        if (inService(entry, next->second)) {
            return next->first;
        }
    }
    return std::nullopt;
}

std::optional<AgentRef> chooseRandom(NaiveEntry &entry)
{
    std::vector<AgentRef> candidates;
    for (const auto &[ref, agent] : entry.agents_) {
        if (inService(entry, agent)) {
            candidates.push_back(ref);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[drawIndex(entry.random_, candidates.size())];
}

std::optional<AgentRef> chooseFirstWithCredit(NaiveEntry &entry)
{
    for (const auto &[ref, agent] : entry.agents_) {
        if (inService(entry, agent) && agent.outstanding_ < agent.info_.credits_) {
            return ref;
        }
    }
    return std::nullopt;
}

std::optional<AgentRef> chooseAgent(NaiveEntry &entry)
{
    switch (entry.policy_) {
    case NaivePolicy::RoundRobin:
        return chooseRoundRobin(entry);
    case NaivePolicy::FirstInFirstOut:
        return chooseFirstWithCredit(entry);
    case NaivePolicy::Random:
    case NaivePolicy::UnlimitedRetry:
        break;
    }
    return chooseRandom(entry);
}

/// Records the outcome of a task and answers the caller when it was the last open task of the job.
void completeTask(NaiveEntry &entry, const TaskKey &key, const TaskOutcome &outcome, DispatchActions &actions)
{
    const auto found = entry.jobs_.find(key.job_);
    NaiveJob &job = found->second;
    job.tasks_[key.task_].outcome_ = outcome;
    if (--job.openTasks_ > 0) {
        return;
    }
    auto answer = std::make_shared<JobAnswer>();
    answer->id_ = key.job_;
    for (Task &task : job.tasks_) {
        answer->code_ = task.outcome_.state_ == TaskState::Done ? answer->code_ : Code::TaskFailed;
        answer->tasks_.push_back(std::move(task.outcome_));
    }
    actions.answers_.push_back({job.caller_, std::move(answer)});
    entry.jobs_.erase(found);
}

void sendOrder(NaiveEntry &entry, Now now, NaiveJob &job, const TaskKey &key, AgentRef ref, DispatchActions &actions)
{
    Task &task = job.tasks_[key.task_];
    task.outcome_.state_ = TaskState::Placed;
    ++task.attempts_;
    ++entry.agents_.at(ref).outstanding_;
    ++entry.counts_.ordersSent_;
    const Order order{key, job.submission_.kind_, job.submission_.payloads_[key.task_], job.startBy_ - now.boot_,
                      static_cast<std::uint32_t>(task.attempts_)};
    actions.orders_.push_back({ref, {order}});
}

void dispatchQueue(NaiveEntry &entry, Now now, DispatchActions &actions)
{
    while (!entry.queue_.empty()) {
        const TaskKey key = entry.queue_.front();
        const auto job = entry.jobs_.find(key.job_);
        if (job == entry.jobs_.end() || job->second.tasks_[key.task_].outcome_.state_ != TaskState::Queued) {
            entry.queue_.pop_front();
            continue;
        }
        if (job->second.startBy_ <= now.boot_) {
            entry.queue_.pop_front();
            completeTask(entry, key, {TaskState::NotRun, Code::DeadlinePassed, {}}, actions);
            continue;
        }
        const std::optional<AgentRef> agentRef = chooseAgent(entry);
        if (!agentRef) {
            return;
        }
        entry.queue_.pop_front();
        sendOrder(entry, now, job->second, key, *agentRef, actions);
    }
}

} // namespace

JobId issueId(NaiveEntry &entry, Now now)
{
    return {entry.self_, now.wall_, entry.nextSerial_++, 0};
}

void submit(NaiveEntry &entry, Now now, Submission submission, CallerRef caller, DispatchActions &actions)
{
    const std::string id = format(submission.id_);
    NaiveJob job;
    job.caller_ = caller;
    job.startBy_ = now.boot_ + entry.configuration_.kinds_.at(submission.kind_).deadline_;
    job.tasks_.resize(submission.payloads_.size());
    job.openTasks_ = job.tasks_.size();
    job.submission_ = std::move(submission);
    for (std::uint32_t i = 0; i < job.tasks_.size(); ++i) {
        entry.queue_.push_back({id, i});
    }
    entry.jobs_.emplace(id, std::move(job));
    dispatchQueue(entry, now, actions);
}

bool cancel(NaiveEntry &entry, std::string_view id, std::string_view /*member*/, DispatchActions &actions)
{
    const auto found = entry.jobs_.find(std::string(id));
    if (found == entry.jobs_.end()) {
        return false;
    }
    const std::size_t count = found->second.tasks_.size();
    for (std::uint32_t i = 0; i < count && entry.jobs_.count(std::string(id)) != 0; ++i) {
        if (found->second.tasks_[i].outcome_.state_ == TaskState::Queued) {
            completeTask(entry, {std::string(id), i}, {TaskState::NotRun, Code::Cancelled, {}}, actions);
        }
    }
    return true;
}

void joinAgent(NaiveEntry &entry, Now now, AgentRef ref, const AgentInfo &info, DispatchActions &actions)
{
    entry.agents_[ref] = {info, 0};
    dispatchQueue(entry, now, actions);
}

void recordAgentContact(NaiveEntry &entry, Now now, AgentRef /*ref*/, std::uint64_t /*version*/, DispatchActions &actions)
{
    dispatchQueue(entry, now, actions);
}

void applyReports(NaiveEntry &entry, Now now, AgentRef ref, Span<const TaskReport> reports, DispatchActions &actions)
{
    for (const TaskReport &report : reports) {
        --entry.agents_.at(ref).outstanding_;
        const auto job = entry.jobs_.find(report.key_.job_);
        if (job == entry.jobs_.end()) {
            continue;
        }
        Task &task = job->second.tasks_[report.key_.task_];
        const bool retry = report.outcome_.state_ == TaskState::NotRun && job->second.startBy_ > now.boot_
            && (entry.policy_ == NaivePolicy::UnlimitedRetry || task.attempts_ < maxAttempts);
        if (!retry) {
            completeTask(entry, report.key_, report.outcome_, actions);
            continue;
        }
        task.outcome_.state_ = TaskState::Queued;
        entry.queue_.push_back(report.key_);
    }
    dispatchQueue(entry, now, actions);
}

bool applyConfigurationChange(NaiveEntry &entry, Now now, const Change &change, DispatchActions &actions)
{
    const bool applied = apply(entry.configuration_, change);
    dispatchQueue(entry, now, actions);
    return applied;
}

void tick(NaiveEntry &entry, Now now, DispatchActions &actions)
{
    dispatchQueue(entry, now, actions);
}

} // namespace ibiswall::bench
