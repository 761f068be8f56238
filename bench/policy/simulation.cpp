// Discrete-event simulation of entries and agents. Runs their state machines on a simulated clock, with simulated
// links, targets and callers.

#include "simulation.hpp"

#include <algorithm>
#include <functional>
#include <queue>

namespace ibiswall::bench {

namespace {

constexpr Millis tickInterval{50};
constexpr Millis renewInterval{500};
constexpr Millis agentLeaseDuration{2500};
/// A failed task occupies its slot for this long.
constexpr Millis failedRunTime{3};
/// A target that returns to service is slower for this long; the slowdown decreases linearly.
constexpr Millis warmUpDuration{3000};
/// Run time added to a task on a target that has just returned, as a multiple of its run time, when all slots are busy.
constexpr double coldSlowdown = 3;
constexpr Millis simulationEnd{static_cast<std::int64_t>(simulatedSeconds) * 1000};
/// The clocks start above zero because zero stands for "never" in a time.
constexpr std::int64_t clockOriginMillis = 1000000;

/// An action at a point in simulated time, in milliseconds; events of equal time run in the order of scheduling.
struct Event
{
    std::int64_t at_ = 0;
    std::uint64_t sequence_ = 0;
    std::function<void()> action_;
};

struct LaterEventFirst
{
    bool operator()(const Event &a, const Event &b) const
    {
        return std::make_pair(a.at_, a.sequence_) > std::make_pair(b.at_, b.sequence_);
    }
};

struct SimulatedTarget
{
    AgentScheduler scheduler_;
    int domain_ = 0;
    bool outOfService_ = false;
    bool failing_ = false;
    /// When the target last returned to service; far in the past if it never left.
    Millis returnedAt_{-1000000};
    int running_ = 0;
};

struct Simulation
{
    const Deployment *deployment_ = nullptr;
    const Workload *workload_ = nullptr;
    std::int64_t now_ = 0;
    std::uint64_t nextSequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, LaterEventFirst> events_;
    std::vector<Entry> entries_;
    std::vector<SimulatedTarget> targets_;
    /// Index in the workload by the formatted job id.
    std::unordered_map<std::string, std::size_t> jobIndexById_;
    /// Job id and index of the entry, for each job of the workload.
    std::vector<std::pair<std::string, std::size_t>> idAndEntryOfJob_;
    /// Version of the configuration, incremented by each change.
    std::uint64_t version_ = 0;
    Random random_;
    SimulationResult result_;
};

Now currentTime(const Simulation &simulation)
{
    return {{clockOriginMillis + simulation.now_}, {clockOriginMillis + simulation.now_}};
}

void schedule(Simulation &simulation, Millis delay, std::function<void()> action)
{
    simulation.events_.push({simulation.now_ + delay.count_, simulation.nextSequence_++, std::move(action)});
}

void applyEntryActions(Simulation &simulation, std::size_t entry, const DispatchActions &actions);

/// Calls a function with the state of an entry and carries out the actions that it returns.
template<typename F>
void updateEntry(Simulation &simulation, std::size_t entry, F &&decide)
{
    DispatchActions actions;
    std::visit([&](auto &state) { decide(state, actions); }, simulation.entries_[entry]);
    applyEntryActions(simulation, entry, actions);
}

void deliverReport(Simulation &simulation, std::size_t target, std::size_t entry, const TaskReport &report)
{
    simulation.result_.rejectedOrders_ += report.outcome_.state_ == TaskState::NotRun ? 1 : 0;
    schedule(simulation, simulation.deployment_->linkDelay_, [&simulation, target, entry, report] {
        updateEntry(simulation, entry, [&](auto &state, DispatchActions &actions) {
            applyReports(state, currentTime(simulation), target + 1, Span<const TaskReport>(&report, 1), actions);
        });
    });
}

void applySchedulerActions(Simulation &simulation, std::size_t target, const AgentSchedulerActions &actions);

/// Factor on the run time of a task that starts now; above 1 while the target warms up.
double slowdownFactor(const Simulation &simulation, const SimulatedTarget &target)
{
    const double sinceReturn = static_cast<double>(simulation.now_ - target.returnedAt_.count_);
    const double coldShare = std::max(0.0, 1 - sinceReturn / static_cast<double>(warmUpDuration.count_));
    return 1 + coldSlowdown * coldShare * target.running_ / simulation.deployment_->slots_;
}

/// Adds a run from begin to end, in milliseconds, to the useful work of each second that it spans.
void recordWork(Simulation &simulation, std::int64_t begin, std::int64_t end)
{
    constexpr std::int64_t millisPerSecond = 1000;
    while (begin < end) {
        const std::int64_t sliceEnd = std::min(end, (begin / millisPerSecond + 1) * millisPerSecond);
        const auto secondIndex = std::min(static_cast<std::size_t>(begin / millisPerSecond), simulatedSeconds - 1);
        simulation.result_.workBySecond_.at(secondIndex) += static_cast<double>(sliceEnd - begin);
        begin = sliceEnd;
    }
}

void finishRun(Simulation &simulation, std::size_t targetIndex, const StartCall &call, std::int64_t begin, bool failed)
{
    SimulatedTarget &target = simulation.targets_[targetIndex];
    --target.running_;
    const std::size_t jobIndex = simulation.jobIndexById_.at(call.key_.job_);
    JobResult &job = simulation.result_.jobs_[jobIndex];
    const JobSpec &spec = simulation.workload_->jobs_[jobIndex];
    const bool cancelled = spec.cancelAt_.count_ != 0 && spec.cancelAt_.count_ < begin;
    simulation.result_.futileRuns_ += cancelled || job.answeredAt_.count_ != 0 ? 1 : 0;
    if (failed) {
        ++simulation.result_.tasksFailed_;
        simulation.result_.faultyCalls_ += target.failing_ ? 1 : 0;
    } else {
        ++simulation.result_.tasksDone_;
        ++job.tasksDone_;
        job.workDoneMillis_ += static_cast<double>(spec.runTimes_[call.key_.task_].count_);
        recordWork(simulation, begin, begin + spec.runTimes_[call.key_.task_].count_);
    }
    AgentSchedulerActions actions;
    const TaskOutcome outcome{failed ? TaskState::Failed : TaskState::Done, failed ? Code::TargetFailed : Code::Ok, {}};
    finishCall(target.scheduler_, currentTime(simulation).boot_, call.call_, outcome, actions);
    applySchedulerActions(simulation, targetIndex, actions);
}

void startRun(Simulation &simulation, std::size_t targetIndex, const StartCall &call)
{
    SimulatedTarget &target = simulation.targets_[targetIndex];
    ++target.running_;
    const bool failed = target.failing_ || call.kind_ == failingKind;
    const double actualRunMillis = std::stod(call.payload_) * slowdownFactor(simulation, target);
    const Millis duration = failed ? failedRunTime : Millis{static_cast<std::int64_t>(actualRunMillis)};
    schedule(simulation, duration, [&simulation, targetIndex, call, begin = simulation.now_, failed] {
        finishRun(simulation, targetIndex, call, begin, failed);
    });
}

void applySchedulerActions(Simulation &simulation, std::size_t target, const AgentSchedulerActions &actions)
{
    for (const StartCall &call : actions.calls_) {
        startRun(simulation, target, call);
    }
    for (const SendReport &send : actions.reports_) {
        deliverReport(simulation, target, send.link_, send.report_);
    }
}

void deliverAnswer(Simulation &simulation, const AnswerCaller &answer)
{
    schedule(simulation, simulation.deployment_->callerDelay_, [&simulation, answer] {
        JobResult &job = simulation.result_.jobs_[answer.caller_];
        job.answeredAt_ = {simulation.now_};
        job.code_ = answer.answer_->code_;
        job.refused_ = answer.answer_->tasks_.empty();
    });
}

void applyEntryActions(Simulation &simulation, std::size_t entry, const DispatchActions &actions)
{
    for (const SendOrders &send : actions.orders_) {
        simulation.result_.orders_ += send.orders_.size();
        schedule(simulation, simulation.deployment_->linkDelay_, [&simulation, entry, send] {
            const std::size_t target = send.agent_ - 1;
            AgentSchedulerActions schedulerActions;
            admitOrders(simulation.targets_[target].scheduler_, currentTime(simulation).boot_, entry, send.orders_, schedulerActions);
            applySchedulerActions(simulation, target, schedulerActions);
        });
    }
    for (const AnswerCaller &answer : actions.answers_) {
        deliverAnswer(simulation, answer);
    }
}

std::string memberName(int member)
{
    return "member-" + std::to_string(member);
}

void submitJob(Simulation &simulation, std::size_t jobIndex)
{
    const JobSpec &spec = simulation.workload_->jobs_[jobIndex];
    const std::size_t entry = drawIndex(simulation.random_, simulation.entries_.size());
    schedule(simulation, simulation.deployment_->callerDelay_, [&simulation, &spec, jobIndex, entry] {
        updateEntry(simulation, entry, [&](auto &state, DispatchActions &actions) {
            Submission submission;
            submission.id_ = issueId(state, currentTime(simulation));
            submission.member_ = memberName(spec.member_);
            submission.kind_ = spec.kind_;
            for (const Millis runTime : spec.runTimes_) {
                submission.payloads_.push_back(std::to_string(runTime.count_));
            }
            const std::string id = format(submission.id_);
            simulation.jobIndexById_[id] = jobIndex;
            simulation.idAndEntryOfJob_[jobIndex] = {id, entry};
            submit(state, currentTime(simulation), std::move(submission), jobIndex, actions);
        });
    });
    if (spec.cancelAt_.count_ != 0) {
        schedule(simulation, spec.cancelAt_ - spec.at_ + simulation.deployment_->callerDelay_, [&simulation, &spec, jobIndex] {
            const auto &[id, owner] = simulation.idAndEntryOfJob_[jobIndex];
            updateEntry(simulation, owner,
                        [&, key = id](auto &state, DispatchActions &actions) { cancel(state, key, memberName(spec.member_), actions); });
        });
    }
}

void renewLease(Simulation &simulation, std::size_t targetIndex, Millis duration)
{
    SimulatedTarget &target = simulation.targets_[targetIndex];
    AgentSchedulerActions actions;
    applyLease(target.scheduler_, currentTime(simulation).boot_, currentTime(simulation).boot_,
               {0, simulation.version_, target.outOfService_, duration}, actions);
    applySchedulerActions(simulation, targetIndex, actions);
}

void setDomainOutOfService(Simulation &simulation, int domain, bool out)
{
    Change change;
    change.version_ = ++simulation.version_;
    change.intent_.op_ = out ? IntentOp::DomainOut : IntentOp::DomainIn;
    change.intent_.name_ = "domain-" + std::to_string(domain);
    for (std::size_t i = 0; i < simulation.entries_.size(); ++i) {
        updateEntry(simulation, i, [&](auto &state, DispatchActions &actions) {
            applyConfigurationChange(state, currentTime(simulation), change, actions);
        });
    }
    for (std::size_t i = 0; i < simulation.targets_.size(); ++i) {
        if (simulation.targets_[i].domain_ == domain) {
            simulation.targets_[i].outOfService_ = out;
            simulation.targets_[i].returnedAt_ = out ? simulation.targets_[i].returnedAt_ : Millis{simulation.now_};
        }
        renewLease(simulation, i, {0});
    }
}

void applyFault(Simulation &simulation, const Fault &fault)
{
    switch (fault.kind_) {
    case FaultKind::DomainOut:
    case FaultKind::DomainIn:
        setDomainOutOfService(simulation, fault.index_, fault.kind_ == FaultKind::DomainOut);
        break;
    case FaultKind::TargetFails:
    case FaultKind::TargetRecovers:
        simulation.targets_[static_cast<std::size_t>(fault.index_)].failing_ = fault.kind_ == FaultKind::TargetFails;
        break;
    }
}

void tickAll(Simulation &simulation)
{
    for (std::size_t i = 0; i < simulation.entries_.size(); ++i) {
        updateEntry(simulation, i, [&](auto &state, DispatchActions &actions) { tick(state, currentTime(simulation), actions); });
    }
    for (std::size_t i = 0; i < simulation.targets_.size(); ++i) {
        AgentSchedulerActions actions;
        tick(simulation.targets_[i].scheduler_, currentTime(simulation).boot_, actions);
        applySchedulerActions(simulation, i, actions);
    }
    schedule(simulation, tickInterval, [&simulation] { tickAll(simulation); });
}

void renewAllLeases(Simulation &simulation)
{
    for (std::size_t target = 0; target < simulation.targets_.size(); ++target) {
        renewLease(simulation, target, agentLeaseDuration);
        for (std::size_t entry = 0; entry < simulation.entries_.size(); ++entry) {
            simulation.result_.controlMessages_ += simulation.now_ < arrivalsEnd.count_ ? 2 : 0;
            updateEntry(simulation, entry, [&](auto &state, DispatchActions &actions) {
                recordAgentContact(state, currentTime(simulation), target + 1, simulation.version_, actions);
            });
        }
    }
    schedule(simulation, renewInterval, [&simulation] { renewAllLeases(simulation); });
}

Configuration makeConfiguration(const Deployment &deployment)
{
    Configuration configuration;
    for (const KindShare &kindShare : deployment.kinds_) {
        configuration.kinds_[kindShare.name_] = kindShare.kind_;
    }
    return configuration;
}

Entry makeEntry(const Deployment &deployment, std::optional<NaivePolicy> naive, std::uint64_t seed, std::size_t index)
{
    const Incarnation self{"entry-" + std::to_string(index), 1};
    if (naive) {
        NaiveEntry entry;
        entry.policy_ = *naive;
        entry.self_ = self;
        entry.configuration_ = makeConfiguration(deployment);
        entry.random_.seed(seed + index);
        return entry;
    }
    Dispatcher entry;
    entry.self_ = self;
    entry.configuration_ = makeConfiguration(deployment);
    entry.random_.seed(seed + index);
    return entry;
}

void addTarget(Simulation &simulation, int index, bool unlimitedRetry)
{
    const Deployment &deployment = *simulation.deployment_;
    SimulatedTarget target;
    target.domain_ = index % deployment.domains_;
    target.scheduler_.slots_ = deployment.slots_;
    target.scheduler_.maxWaiting_ = unlimitedRetry ? 0 : static_cast<std::size_t>(deployment.slots_ * deployment.entries_);
    simulation.targets_.push_back(std::move(target));
    AgentInfo info;
    info.agent_ = {"target-" + std::to_string(index), 1};
    info.place_ = {info.agent_.name_, "worker-" + std::to_string(index), "domain-" + std::to_string(index % deployment.domains_)};
    info.slots_ = deployment.slots_;
    info.credits_ = deployment.slots_;
    for (std::size_t entryIndex = 0; entryIndex < simulation.entries_.size(); ++entryIndex) {
        updateEntry(simulation, entryIndex, [&](auto &state, DispatchActions &actions) {
            joinAgent(state, currentTime(simulation), static_cast<AgentRef>(index) + 1, info, actions);
        });
    }
}

void runEvents(Simulation &simulation)
{
    while (!simulation.events_.empty() && simulation.events_.top().at_ < simulationEnd.count_) {
        const Event event = simulation.events_.top();
        simulation.events_.pop();
        simulation.now_ = event.at_;
        event.action_();
    }
}

} // namespace

SimulationResult simulate(const Deployment &deployment, const Workload &workload, std::optional<NaivePolicy> naive, std::uint64_t seed)
{
    Simulation simulation;
    simulation.deployment_ = &deployment;
    simulation.workload_ = &workload;
    simulation.random_.seed(seed);
    simulation.result_.jobs_.resize(workload.jobs_.size());
    simulation.idAndEntryOfJob_.resize(workload.jobs_.size());
    for (int i = 0; i < deployment.entries_; ++i) {
        simulation.entries_.push_back(makeEntry(deployment, naive, seed, static_cast<std::size_t>(i)));
    }
    for (int i = 0; i < deployment.workers_; ++i) {
        addTarget(simulation, i, naive == NaivePolicy::UnlimitedRetry);
    }
    for (std::size_t i = 0; i < workload.jobs_.size(); ++i) {
        schedule(simulation, workload.jobs_[i].at_, [&simulation, i] { submitJob(simulation, i); });
    }
    for (const Fault &fault : workload.faults_) {
        schedule(simulation, fault.at_, [&simulation, &fault] { applyFault(simulation, fault); });
    }
    renewAllLeases(simulation);
    tickAll(simulation);
    runEvents(simulation);
    return std::move(simulation.result_);
}

SimulationResult simulateSharedQueue(const Deployment &deployment, const Workload &workload)
{
    SimulationResult result;
    std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> slotFreeAt;
    for (int i = 0; i < deployment.workers_ * deployment.slots_; ++i) {
        slotFreeAt.push(0);
    }
    const std::int64_t oneWay = deployment.callerDelay_.count_ + deployment.linkDelay_.count_;
    for (const JobSpec &spec : workload.jobs_) {
        JobResult job;
        for (const Millis runTime : spec.runTimes_) {
            const std::int64_t runEnd = std::max(slotFreeAt.top(), spec.at_.count_ + oneWay) + runTime.count_;
            slotFreeAt.pop();
            slotFreeAt.push(runEnd);
            job.answeredAt_ = std::max(job.answeredAt_, Millis{runEnd + oneWay});
            job.workDoneMillis_ += static_cast<double>(runTime.count_);
        }
        job.tasksDone_ = spec.runTimes_.size();
        result.tasksDone_ += job.tasksDone_;
        result.jobs_.push_back(job);
    }
    return result;
}

} // namespace ibiswall::bench
