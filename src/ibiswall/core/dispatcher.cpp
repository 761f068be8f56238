// The life cycle of jobs in an entry: admission, placement, outcomes and answers.

#include <ibiswall/core/dispatcher.hpp>

#include "admission.hpp"
#include "answers.hpp"
#include <algorithm>

namespace ibiswall {

namespace {

std::shared_ptr<const JobAnswer> makeRefusal(std::string id, Code code, std::string text, Millis retryAfter)
{
    auto answer = std::make_shared<JobAnswer>();
    answer->id_ = std::move(id);
    answer->code_ = code;
    answer->text_ = std::move(text);
    answer->retryAfter_ = retryAfter;
    return answer;
}

void refuse(Dispatcher &dispatcher, const Submission &submission, CallerRef caller, Code code, std::string text, DispatchActions &actions)
{
    ++dispatcher.counts_.jobsRefused_;
    const Millis retryAfter = meansNotRun(code) ? dispatcher.limits_.retryAfter_ : Millis{0};
    actions.answers_.push_back({caller, makeRefusal(format(submission.id_), code, std::move(text), retryAfter)});
}

Job *findJob(Dispatcher &dispatcher, std::string_view id)
{
    const auto found = dispatcher.numbers_.find(std::string(id));
    return found == dispatcher.numbers_.end() ? nullptr : &dispatcher.jobs_.at(found->second);
}

void attach(Dispatcher &dispatcher, Job &job, CallerRef caller, DispatchActions &actions)
{
    if (job.answer_) {
        actions.answers_.push_back({caller, job.answer_});
        return;
    }
    job.callers_.push_back(caller);
    dispatcher.callers_.emplace(caller, job.number_);
}

// Removes one attachment of a caller to a job.
void detach(Dispatcher &dispatcher, CallerRef caller, std::uint64_t number)
{
    const auto [begin, end] = dispatcher.callers_.equal_range(caller);
    const auto found = std::find_if(begin, end, [number](const auto &each) { return each.second == number; });
    if (found != end) {
        dispatcher.callers_.erase(found);
    }
}

void answerCallers(Dispatcher &dispatcher, Job &job, const std::shared_ptr<const JobAnswer> &jobAnswer, DispatchActions &actions)
{
    for (const CallerRef caller : job.callers_) {
        detach(dispatcher, caller, job.number_);
        actions.answers_.push_back({caller, jobAnswer});
    }
    job.callers_.clear();
}

ShedCandidate candidateOf(const Job &job)
{
    return {job.kind_.value_, job.number_};
}

void closeTasks(Dispatcher &dispatcher, const std::string &member, std::size_t count)
{
    const auto open = dispatcher.openTasks_.find(member);
    open->second -= count;
    if (open->second == 0) {
        dispatcher.openTasks_.erase(open);
    }
}

void enqueue(Dispatcher &dispatcher, Now now, Job &job, std::uint32_t index)
{
    const Member member = memberOf(dispatcher.configuration_, job.submission_.member_);
    const QueueEntry entry{member.weight_, job.startBy_, job.kind_.deadline_, job.kind_.value_, {job.number_, index}};
    Task &task = job.tasks_[index];
    task.outcome_.state_ = TaskState::Queued;
    task.queued_ = push(dispatcher.queue_, now.boot_, job.submission_.member_, entry);
}

void answer(Dispatcher &dispatcher, Job &job, DispatchActions &actions)
{
    auto jobAnswer = std::make_shared<JobAnswer>();
    jobAnswer->id_ = job.idText_;
    jobAnswer->tasks_.reserve(job.tasks_.size());
    bool complete = true;
    for (Task &task : job.tasks_) {
        complete = complete && task.outcome_.state_ == TaskState::Done;
        jobAnswer->tasks_.push_back(std::move(task.outcome_));
    }
    jobAnswer->code_ = complete ? Code::Ok : Code::TaskFailed;
    ++(complete ? dispatcher.counts_.jobsComplete_ : dispatcher.counts_.jobsFailed_);
    --dispatcher.openJobs_;
    job.answer_ = std::move(jobAnswer);
    job.tasks_.clear();
    job.submission_.payloads_.clear();
    recordAnswer(dispatcher, job);
    removeCandidate(dispatcher.overload_, job.submission_.member_, job.kind_.deadline_, candidateOf(job));
    answerCallers(dispatcher, job, job.answer_, actions);
}

void countOutcome(DispatchCounts &counts, TaskState state)
{
    switch (state) {
    case TaskState::Done:
        ++counts.tasksDone_;
        break;
    case TaskState::Failed:
        ++counts.tasksFailed_;
        break;
    case TaskState::NotRun:
        ++counts.tasksNotRun_;
        break;
    case TaskState::MayHaveRun:
        ++counts.tasksMayHaveRun_;
        break;
    case TaskState::Queued:
    case TaskState::Placed:
        break;
    }
}

// Records the final outcome of a task, and answers the job if no task is open.
void finishTask(Dispatcher &dispatcher, Job &job, std::uint32_t index, TaskOutcome outcome, DispatchActions &actions)
{
    Task &task = job.tasks_[index];
    if (outcome.state_ == TaskState::NotRun && task.lossCode_ != Code::Ok) {
        outcome = {TaskState::MayHaveRun, task.lossCode_, {}};
    }
    countOutcome(dispatcher.counts_, outcome.state_);
    if (task.outcome_.state_ == TaskState::Queued) {
        remove(dispatcher.queue_, job.submission_.member_, task.queued_);
    }
    task.outcome_ = std::move(outcome);
    closeTasks(dispatcher, job.submission_.member_, 1);
    if (--job.open_ == 0) {
        answer(dispatcher, job, actions);
    }
}

// Queues another attempt of a task, or ends the task once its attempts are used up.
void retryTask(Dispatcher &dispatcher, Now now, Job &job, std::uint32_t index, Code code, DispatchActions &actions)
{
    const Task &task = job.tasks_[index];
    if (task.attempts_ >= dispatcher.limits_.maxAttempts_) {
        finishTask(dispatcher, job, index, {TaskState::NotRun, code, {}}, actions);
        return;
    }
    enqueue(dispatcher, now, job, index);
}

// Handles an attempt that may have run: retries the task if its kind is repeatable, else ends it as MayHaveRun.
void handleLostTask(Dispatcher &dispatcher, Now now, Job &job, std::uint32_t index, Code code, DispatchActions &actions)
{
    Task &task = job.tasks_[index];
    task.lossCode_ = task.lossCode_ == Code::Ok ? code : task.lossCode_;
    if (job.kind_.repeatable_) {
        retryTask(dispatcher, now, job, index, code, actions);
        return;
    }
    finishTask(dispatcher, job, index, {TaskState::MayHaveRun, code, {}}, actions);
}

Job *findOpenJob(Dispatcher &dispatcher, TaskRef ref)
{
    const auto found = dispatcher.jobs_.find(ref.job_);
    if (found == dispatcher.jobs_.end() || found->second.answer_) {
        return nullptr;
    }
    return &found->second;
}

void addOrder(DispatchActions &actions, AgentRef agent, Order &&order)
{
    if (actions.orders_.empty() || actions.orders_.back().agent_ != agent) {
        actions.orders_.push_back({agent, {}});
    }
    actions.orders_.back().orders_.push_back(std::move(order));
}

void place(Dispatcher &dispatcher, Now now, Job &job, TaskRef ref, AgentRef chosen, DispatchActions &actions)
{
    Task &task = job.tasks_[ref.task_];
    task.outcome_.state_ = TaskState::Placed;
    ++task.attempts_;
    task.sentAt_ = now.boot_;
    ++dispatcher.overload_.outstanding_;
    removeCandidate(dispatcher.overload_, job.submission_.member_, job.kind_.deadline_, candidateOf(job));
    Agent &agent = *findAgent(dispatcher.agentPool_, chosen);
    agent.placed_.push_back(ref);
    refreshReady(dispatcher.agentPool_, dispatcher.configuration_, now.boot_, agent);
    ++dispatcher.counts_.ordersSent_;
    Order order{{job.idText_, ref.task_},
                job.submission_.kind_,
                job.submission_.payloads_[ref.task_],
                job.startBy_ - now.boot_,
                static_cast<std::uint32_t>(task.attempts_)};
    addOrder(actions, chosen, std::move(order));
}

// Places queued tasks while an agent is ready.
void dispatch(Dispatcher &dispatcher, Now now, DispatchActions &actions)
{
    while (dispatcher.queue_.size_ > 0 && !dispatcher.agentPool_.ready_.empty()) {
        const TaskRef ref = *pop(dispatcher.queue_);
        Job *job = findOpenJob(dispatcher, ref);
        if (job == nullptr || job->tasks_[ref.task_].outcome_.state_ != TaskState::Queued) {
            continue;
        }
        if (job->startBy_ <= now.boot_) {
            finishTask(dispatcher, *job, ref.task_, {TaskState::NotRun, Code::DeadlinePassed, {}}, actions);
            continue;
        }
        place(dispatcher, now, *job, ref, *chooseAgent(dispatcher.agentPool_, dispatcher.random_), actions);
    }
}

// Refuses a job none of whose tasks has been sent, and gives its callers a retry delay. The id may be submitted again.
void shed(Dispatcher &dispatcher, std::uint64_t number, Millis wait, DispatchActions &actions)
{
    Job &job = dispatcher.jobs_.at(number);
    const std::string &member = job.submission_.member_;
    for (const Task &task : job.tasks_) {
        remove(dispatcher.queue_, member, task.queued_);
    }
    closeTasks(dispatcher, member, job.open_);
    removeCandidate(dispatcher.overload_, member, job.kind_.deadline_, candidateOf(job));
    recordAdmission(dispatcher.overload_, true);
    ++dispatcher.counts_.jobsRefused_;
    --dispatcher.openJobs_;
    const Millis after = retryDelay(dispatcher.overload_, wait, dispatcher.random_);
    const auto refusal = makeRefusal(job.idText_, Code::Overloaded, "kind \"" + job.submission_.kind_ + "\" would wait too long", after);
    answerCallers(dispatcher, job, refusal, actions);
    dispatcher.numbers_.erase(job.idText_);
    dispatcher.jobs_.erase(number);
}

// Refuses jobs of a member, least valuable first, while its tasks would wait too long.
void shedOverload(Dispatcher &dispatcher, Now now, const std::string &member, Millis relativeDeadline, DispatchActions &actions)
{
    const Millis wait = expectedWait(dispatcher.overload_, dispatcher.queue_, member, relativeDeadline);
    while (const auto victim = chooseShed(dispatcher.overload_, dispatcher.queue_, now.boot_, member, relativeDeadline)) {
        shed(dispatcher, *victim, wait, actions);
    }
}

void finishQueuedTasks(Dispatcher &dispatcher, Job &job, Code code, DispatchActions &actions)
{
    const std::size_t count = job.tasks_.size();
    for (std::size_t i = 0; i < count && !job.answer_; ++i) {
        if (job.tasks_[i].outcome_.state_ == TaskState::Queued) {
            finishTask(dispatcher, job, static_cast<std::uint32_t>(i), {TaskState::NotRun, code, {}}, actions);
        }
    }
}

// Removes a task from the list of tasks placed on an agent.
// @return false if the task was not placed on this agent
bool unplace(Agent &agent, TaskRef ref)
{
    const auto found = std::find(agent.placed_.begin(), agent.placed_.end(), ref);
    if (found == agent.placed_.end()) {
        return false;
    }
    agent.placed_.erase(found);
    return true;
}

void applyReport(Dispatcher &dispatcher, Now now, Agent &agent, const TaskReport &report, DispatchActions &actions)
{
    Job *job = findJob(dispatcher, report.key_.job_);
    if (job == nullptr || report.key_.task_ >= job->tasks_.size()) {
        return;
    }
    // A report on an earlier attempt does not apply to the current one.
    const auto attempt = static_cast<std::uint32_t>(job->tasks_[report.key_.task_].attempts_);
    if (report.attempt_ != attempt || !unplace(agent, {job->number_, report.key_.task_})) {
        return;
    }
    --dispatcher.overload_.outstanding_;
    if (report.outcome_.code_ != Code::DeadlinePassed) {
        recordOutcome(agent.health_, dispatcher.agentPool_.kindFailures_, now.boot_, job->submission_.kind_, report.outcome_);
    }
    if (report.outcome_.state_ == TaskState::Done) {
        recordSojourn(dispatcher.overload_, now.boot_ - job->tasks_[report.key_.task_].sentAt_);
    }
    if (report.outcome_.state_ == TaskState::NotRun) {
        ++dispatcher.counts_.ordersRejected_;
        retryTask(dispatcher, now, *job, report.key_.task_, report.outcome_.code_, actions);
        return;
    }
    if (report.outcome_.state_ == TaskState::MayHaveRun) {
        Task &task = job->tasks_[report.key_.task_];
        if (report.outcome_.code_ == Code::ConnectionLost && ++task.brokenCalls_ >= dispatcher.limits_.maxBrokenCalls_) {
            finishTask(dispatcher, *job, report.key_.task_, report.outcome_, actions);
            return;
        }
        handleLostTask(dispatcher, now, *job, report.key_.task_, report.outcome_.code_, actions);
        return;
    }
    finishTask(dispatcher, *job, report.key_.task_, report.outcome_, actions);
}

void loseUnresponsiveAgents(Dispatcher &dispatcher, Now now, DispatchActions &actions)
{
    const std::size_t before = actions.lostAgents_.size();
    for (const auto &[ref, agent] : dispatcher.agentPool_.agents_) {
        if (agent.lastContactAt_ + agentLostAfter < now.boot_) {
            actions.lostAgents_.push_back(ref);
        }
    }
    for (std::size_t i = before; i < actions.lostAgents_.size(); ++i) {
        loseAgent(dispatcher, now, actions.lostAgents_[i], actions);
    }
}

// Ends the queued tasks of every job whose deadline has passed.
void finishExpiredTasks(Dispatcher &dispatcher, Now now, DispatchActions &actions)
{
    while (const auto expired = findExpired(dispatcher.queue_, now.boot_)) {
        finishQueuedTasks(dispatcher, dispatcher.jobs_.at(expired->job_), Code::DeadlinePassed, actions);
    }
}

} // namespace

JobId issueId(Dispatcher &dispatcher, Now now)
{
    return {dispatcher.self_, now.wall_, dispatcher.nextSerial_++, dispatcher.random_()};
}

void submit(Dispatcher &dispatcher, Now now, Submission submission, CallerRef caller, DispatchActions &actions)
{
    Job *existing = findJob(dispatcher, format(submission.id_));
    if (existing != nullptr) {
        if (existing->submission_.member_ != submission.member_) {
            refuse(dispatcher, submission, caller, Code::UnknownJob, "no such job of this caller", actions);
        } else if (existing->submission_.bodyHash_ != submission.bodyHash_) {
            refuse(dispatcher, submission, caller, Code::BodyDiffers, "id was used with another body", actions);
        } else {
            attach(dispatcher, *existing, caller, actions);
        }
        return;
    }
    const auto dropped = droppedError(dispatcher, submission.id_, submission.member_);
    Error error = dropped ? *dropped : admissionError(dispatcher, now, submission);
    if (error.code_ == Code::AnswerDropped && bodyDiffers(dispatcher.tombstones_, submission)) {
        error = {Code::BodyDiffers, "id was used with another body"};
    }
    if (error.code_ != Code::Ok) {
        refuse(dispatcher, submission, caller, error.code_, std::move(error.text_), actions);
        return;
    }
    Job job;
    job.number_ = dispatcher.nextNumber_++;
    job.idText_ = format(submission.id_);
    job.kind_ = dispatcher.configuration_.kinds_.find(submission.kind_)->second;
    job.startBy_ = now.boot_ + job.kind_.deadline_;
    job.tasks_.resize(submission.payloads_.size());
    job.open_ = job.tasks_.size();
    dispatcher.openTasks_[submission.member_] += job.open_;
    job.submission_ = std::move(submission);
    ++dispatcher.counts_.jobsAccepted_;
    ++dispatcher.openJobs_;
    dispatcher.numbers_[job.idText_] = job.number_;
    const std::uint64_t number = job.number_;
    Job &stored = dispatcher.jobs_.emplace(number, std::move(job)).first->second;
    attach(dispatcher, stored, caller, actions);
    const std::string member = stored.submission_.member_;
    const Millis relativeDeadline = stored.kind_.deadline_;
    addCandidate(dispatcher.overload_, member, relativeDeadline, candidateOf(stored));
    recordAdmission(dispatcher.overload_, false);
    for (std::uint32_t i = 0; i < stored.tasks_.size(); ++i) {
        enqueue(dispatcher, now, stored, i);
    }
    dispatch(dispatcher, now, actions);
    shedOverload(dispatcher, now, member, relativeDeadline, actions);
}

void fetch(Dispatcher &dispatcher, std::string_view id, std::string_view member, CallerRef caller, DispatchActions &actions)
{
    Job *job = findJob(dispatcher, id);
    if (job != nullptr && job->submission_.member_ == member) {
        attach(dispatcher, *job, caller, actions);
        return;
    }
    const auto parsed = parseJobId(id);
    const auto dropped = job == nullptr && parsed.has_value() ? droppedError(dispatcher, parsed.value(), member) : std::nullopt;
    Error error = dropped ? *dropped : Error{Code::UnknownJob, "no such job of this caller"};
    actions.answers_.push_back({caller, makeRefusal(std::string(id), error.code_, std::move(error.text_), {0})});
}

bool cancel(Dispatcher &dispatcher, std::string_view id, std::string_view member, DispatchActions &actions)
{
    Job *job = findJob(dispatcher, id);
    if (job == nullptr || job->submission_.member_ != member) {
        return false;
    }
    finishQueuedTasks(dispatcher, *job, Code::Cancelled, actions);
    return true;
}

void dropCaller(Dispatcher &dispatcher, CallerRef caller)
{
    const auto [begin, end] = dispatcher.callers_.equal_range(caller);
    for (auto it = begin; it != end; ++it) {
        auto &callers = dispatcher.jobs_.at(it->second).callers_;
        callers.erase(std::remove(callers.begin(), callers.end(), caller), callers.end());
    }
    dispatcher.callers_.erase(begin, end);
}

void joinAgent(Dispatcher &dispatcher, Now now, AgentRef ref, const AgentInfo &info, DispatchActions &actions)
{
    addAgent(dispatcher.agentPool_, dispatcher.configuration_, now.boot_, ref, info);
    dispatch(dispatcher, now, actions);
}

void recordAgentContact(Dispatcher &dispatcher, Now now, AgentRef ref, std::uint64_t version, DispatchActions &actions)
{
    Agent *agent = findAgent(dispatcher.agentPool_, ref);
    if (agent == nullptr) {
        return;
    }
    agent->lastContactAt_ = now.boot_;
    agent->version_ = version;
    refreshReady(dispatcher.agentPool_, dispatcher.configuration_, now.boot_, *agent);
    dispatch(dispatcher, now, actions);
}

void markAgentLeaving(Dispatcher &dispatcher, Now now, AgentRef ref)
{
    Agent *agent = findAgent(dispatcher.agentPool_, ref);
    if (agent == nullptr) {
        return;
    }
    agent->leaving_ = true;
    refreshReady(dispatcher.agentPool_, dispatcher.configuration_, now.boot_, *agent);
}

void loseAgent(Dispatcher &dispatcher, Now now, AgentRef ref, DispatchActions &actions)
{
    Agent *agent = findAgent(dispatcher.agentPool_, ref);
    if (agent == nullptr) {
        return;
    }
    const std::vector<TaskRef> placed = std::move(agent->placed_);
    removeAgent(dispatcher.agentPool_, ref);
    dispatcher.overload_.outstanding_ -= placed.size();
    for (const TaskRef lost : placed) {
        Job *job = findOpenJob(dispatcher, lost);
        if (job == nullptr) {
            continue;
        }
        handleLostTask(dispatcher, now, *job, lost.task_, Code::ConnectionLost, actions);
    }
    dispatch(dispatcher, now, actions);
}

void applyReports(Dispatcher &dispatcher, Now now, AgentRef ref, Span<const TaskReport> reports, DispatchActions &actions)
{
    Agent *agent = findAgent(dispatcher.agentPool_, ref);
    if (agent == nullptr) {
        return;
    }
    for (const TaskReport &report : reports) {
        applyReport(dispatcher, now, *agent, report, actions);
    }
    dropAnswers(dispatcher);
    refreshReady(dispatcher.agentPool_, dispatcher.configuration_, now.boot_, *agent);
    dispatch(dispatcher, now, actions);
}

bool applyConfigurationChange(Dispatcher &dispatcher, Now now, const Change &change, DispatchActions &actions)
{
    if (!apply(dispatcher.configuration_, change)) {
        return false;
    }
    refreshAll(dispatcher.agentPool_, dispatcher.configuration_, now.boot_);
    dispatch(dispatcher, now, actions);
    return true;
}

void tick(Dispatcher &dispatcher, Now now, DispatchActions &actions)
{
    loseUnresponsiveAgents(dispatcher, now, actions);
    refreshAll(dispatcher.agentPool_, dispatcher.configuration_, now.boot_);
    finishExpiredTasks(dispatcher, now, actions);
    removeExpiredJobs(dispatcher, now);
    dropAnswers(dispatcher);
    dispatch(dispatcher, now, actions);
}

} // namespace ibiswall
