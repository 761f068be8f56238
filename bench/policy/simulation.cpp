// An event loop over the pure decisions of entries and agents, with fakes for links, targets and callers.

#include "simulation.hpp"

#include <algorithm>
#include <functional>
#include <queue>

namespace ibiswall::bench {

namespace {

constexpr Millis tickInterval{50};
constexpr Millis renewInterval{500};
constexpr Millis grantLife{2500};
constexpr Millis failingRun{3};
/// A target that returns is cold for this long.
constexpr Millis coldSpan{3000};
/// Slowdown of a cold target with all slots busy.
constexpr double coldFactor = 3;
constexpr Millis simulationEnd{static_cast<std::int64_t>(simulatedSeconds) * 1000};
/// The clocks start here, so that zero is never a moment of the run.
constexpr std::int64_t origin = 1000000;

struct Event
{
    std::int64_t at_ = 0;
    std::uint64_t sequence_ = 0;
    std::function<void()> run_;
};

struct LaterFirst
{
    bool operator()(const Event &a, const Event &b) const
    {
        return std::make_pair(a.at_, a.sequence_) > std::make_pair(b.at_, b.sequence_);
    }
};

struct FakeTarget
{
    AgentScheduler gate_;
    int domain_ = 0;
    bool out_ = false;
    bool failing_ = false;
    /// When the target came back into service; negative for never.
    Millis returned_{-1000000};
    int running_ = 0;
};

struct World
{
    const Deployment *deployment_ = nullptr;
    const Workload *workload_ = nullptr;
    std::int64_t now_ = 0;
    std::uint64_t nextSequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, LaterFirst> events_;
    std::vector<Entry> entries_;
    std::vector<FakeTarget> targets_;
    /// The job of each id's text, and the id and entry of each job.
    std::unordered_map<std::string, std::size_t> jobOfId_;
    std::vector<std::pair<std::string, std::size_t>> idOfJob_;
    std::uint64_t version_ = 0;
    Random random_;
    RunResult result_;
};

Now clocks(const World &world)
{
    return {{origin + world.now_}, {origin + world.now_}};
}

void after(World &world, Millis delay, std::function<void()> run)
{
    world.events_.push({world.now_ + delay.count_, world.nextSequence_++, std::move(run)});
}

void actEntry(World &world, std::size_t entry, const DispatchActions &actions);

template<typename F>
void onEntry(World &world, std::size_t entry, F &&decide)
{
    DispatchActions actions;
    std::visit([&](auto &state) { decide(state, actions); }, world.entries_[entry]);
    actEntry(world, entry, actions);
}

void report(World &world, std::size_t target, std::size_t entry, const TaskReport &report)
{
    world.result_.refusedOrders_ += report.outcome_.state_ == TaskState::NotRun ? 1 : 0;
    after(world, world.deployment_->linkDelay_, [&world, target, entry, report] {
        onEntry(world, entry, [&](auto &state, DispatchActions &actions) {
            applyReports(state, clocks(world), target + 1, Span<const TaskReport>(&report, 1), actions);
        });
    });
}

void actGate(World &world, std::size_t target, const AgentSchedulerActions &actions);

double slowness(const World &world, const FakeTarget &target)
{
    const double sinceReturn = static_cast<double>(world.now_ - target.returned_.count_);
    const double cold = std::max(0.0, 1 - sinceReturn / static_cast<double>(coldSpan.count_));
    return 1 + coldFactor * cold * target.running_ / world.deployment_->slots_;
}

void countWork(World &world, std::int64_t begin, std::int64_t end)
{
    constexpr std::int64_t second = 1000;
    while (begin < end) {
        const std::int64_t next = std::min(end, (begin / second + 1) * second);
        const auto index = std::min(static_cast<std::size_t>(begin / second), simulatedSeconds - 1);
        world.result_.work_.at(index) += static_cast<double>(next - begin);
        begin = next;
    }
}

void endCall(World &world, std::size_t index, const StartCall &call, std::int64_t begin, bool failed)
{
    FakeTarget &target = world.targets_[index];
    --target.running_;
    const std::size_t number = world.jobOfId_.at(call.key_.job_);
    JobResult &job = world.result_.jobs_[number];
    const JobSpec &spec = world.workload_->jobs_[number];
    const bool cancelled = spec.cancelAt_.count_ != 0 && spec.cancelAt_.count_ < begin;
    world.result_.futile_ += cancelled || job.answered_.count_ != 0 ? 1 : 0;
    if (failed) {
        ++world.result_.tasksFailed_;
        world.result_.faultyCalls_ += target.failing_ ? 1 : 0;
    } else {
        ++world.result_.tasksDone_;
        ++job.tasksDone_;
        job.workDone_ += static_cast<double>(spec.runs_[call.key_.task_].count_);
        countWork(world, begin, begin + spec.runs_[call.key_.task_].count_);
    }
    AgentSchedulerActions actions;
    const TaskOutcome outcome{failed ? TaskState::Failed : TaskState::Done, failed ? Code::TargetFailed : Code::Ok, {}};
    finishCall(target.gate_, clocks(world).boot_, call.call_, outcome, actions);
    actGate(world, index, actions);
}

void startCall(World &world, std::size_t index, const StartCall &call)
{
    FakeTarget &target = world.targets_[index];
    ++target.running_;
    const bool failed = target.failing_ || call.kind_ == hopelessKind;
    const double run = std::stod(call.payload_) * slowness(world, target);
    const Millis length = failed ? failingRun : Millis{static_cast<std::int64_t>(run)};
    after(world, length, [&world, index, call, begin = world.now_, failed] { endCall(world, index, call, begin, failed); });
}

void actGate(World &world, std::size_t target, const AgentSchedulerActions &actions)
{
    for (const StartCall &call : actions.calls_) {
        startCall(world, target, call);
    }
    for (const SendReport &send : actions.reports_) {
        report(world, target, send.link_, send.report_);
    }
}

void takeAnswer(World &world, const AnswerCaller &answer)
{
    after(world, world.deployment_->callerDelay_, [&world, answer] {
        JobResult &job = world.result_.jobs_[answer.caller_];
        job.answered_ = {world.now_};
        job.code_ = answer.answer_->code_;
        job.refused_ = answer.answer_->tasks_.empty();
    });
}

void actEntry(World &world, std::size_t entry, const DispatchActions &actions)
{
    for (const SendOrders &send : actions.orders_) {
        world.result_.orders_ += send.orders_.size();
        after(world, world.deployment_->linkDelay_, [&world, entry, send] {
            const std::size_t target = send.agent_ - 1;
            AgentSchedulerActions gate;
            admitOrders(world.targets_[target].gate_, clocks(world).boot_, entry, send.orders_, gate);
            actGate(world, target, gate);
        });
    }
    for (const AnswerCaller &answer : actions.answers_) {
        takeAnswer(world, answer);
    }
}

std::string memberName(int member)
{
    return "member-" + std::to_string(member);
}

void arrive(World &world, std::size_t number)
{
    const JobSpec &spec = world.workload_->jobs_[number];
    const std::size_t entry = drawIndex(world.random_, world.entries_.size());
    after(world, world.deployment_->callerDelay_, [&world, &spec, number, entry] {
        onEntry(world, entry, [&](auto &state, DispatchActions &actions) {
            Submission submission;
            submission.id_ = issueId(state, clocks(world));
            submission.member_ = memberName(spec.member_);
            submission.kind_ = spec.kind_;
            for (const Millis run : spec.runs_) {
                submission.payloads_.push_back(std::to_string(run.count_));
            }
            const std::string id = format(submission.id_);
            world.jobOfId_[id] = number;
            world.idOfJob_[number] = {id, entry};
            submit(state, clocks(world), std::move(submission), number, actions);
        });
    });
    if (spec.cancelAt_.count_ != 0) {
        after(world, spec.cancelAt_ - spec.at_ + world.deployment_->callerDelay_, [&world, &spec, number] {
            const auto &[id, home] = world.idOfJob_[number];
            onEntry(world, home,
                    [&, key = id](auto &state, DispatchActions &actions) { cancel(state, key, memberName(spec.member_), actions); });
        });
    }
}

void grant(World &world, std::size_t index, Millis length)
{
    FakeTarget &target = world.targets_[index];
    AgentSchedulerActions actions;
    applyLease(target.gate_, clocks(world).boot_, clocks(world).boot_, {0, world.version_, target.out_, length}, actions);
    actGate(world, index, actions);
}

void moveDomain(World &world, int domain, bool out)
{
    Change change;
    change.version_ = ++world.version_;
    change.intent_.op_ = out ? IntentOp::DomainOut : IntentOp::DomainIn;
    change.intent_.name_ = "domain-" + std::to_string(domain);
    for (std::size_t i = 0; i < world.entries_.size(); ++i) {
        onEntry(world, i, [&](auto &state, DispatchActions &actions) { applyConfigurationChange(state, clocks(world), change, actions); });
    }
    for (std::size_t i = 0; i < world.targets_.size(); ++i) {
        if (world.targets_[i].domain_ == domain) {
            world.targets_[i].out_ = out;
            world.targets_[i].returned_ = out ? world.targets_[i].returned_ : Millis{world.now_};
        }
        grant(world, i, {0});
    }
}

void takeFault(World &world, const Fault &fault)
{
    switch (fault.kind_) {
    case FaultKind::DomainOut:
    case FaultKind::DomainIn:
        moveDomain(world, fault.index_, fault.kind_ == FaultKind::DomainOut);
        break;
    case FaultKind::TargetFails:
    case FaultKind::TargetHeals:
        world.targets_[static_cast<std::size_t>(fault.index_)].failing_ = fault.kind_ == FaultKind::TargetFails;
        break;
    }
}

void tickAll(World &world)
{
    for (std::size_t i = 0; i < world.entries_.size(); ++i) {
        onEntry(world, i, [&](auto &state, DispatchActions &actions) { tick(state, clocks(world), actions); });
    }
    for (std::size_t i = 0; i < world.targets_.size(); ++i) {
        AgentSchedulerActions actions;
        tick(world.targets_[i].gate_, clocks(world).boot_, actions);
        actGate(world, i, actions);
    }
    after(world, tickInterval, [&world] { tickAll(world); });
}

void renewAll(World &world)
{
    for (std::size_t target = 0; target < world.targets_.size(); ++target) {
        grant(world, target, grantLife);
        for (std::size_t entry = 0; entry < world.entries_.size(); ++entry) {
            world.result_.control_ += world.now_ < workloadEnd.count_ ? 2 : 0;
            onEntry(world, entry, [&](auto &state, DispatchActions &actions) {
                recordAgentContact(state, clocks(world), target + 1, world.version_, actions);
            });
        }
    }
    after(world, renewInterval, [&world] { renewAll(world); });
}

Configuration makeConfiguration(const Deployment &deployment)
{
    Configuration configuration;
    for (const KindShare &each : deployment.kinds_) {
        configuration.kinds_[each.name_] = each.kind_;
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

void addTarget(World &world, int index, bool retriesWithoutEnd)
{
    const Deployment &deployment = *world.deployment_;
    FakeTarget target;
    target.domain_ = index % deployment.domains_;
    target.gate_.slots_ = deployment.slots_;
    target.gate_.maxWaiting_ = retriesWithoutEnd ? 0 : static_cast<std::size_t>(deployment.slots_ * deployment.entries_);
    world.targets_.push_back(std::move(target));
    AgentInfo info;
    info.agent_ = {"target-" + std::to_string(index), 1};
    info.place_ = {info.agent_.name_, "worker-" + std::to_string(index), "domain-" + std::to_string(index % deployment.domains_)};
    info.slots_ = deployment.slots_;
    info.credits_ = deployment.slots_;
    for (std::size_t entry = 0; entry < world.entries_.size(); ++entry) {
        onEntry(world, entry, [&](auto &state, DispatchActions &actions) {
            joinAgent(state, clocks(world), static_cast<AgentRef>(index) + 1, info, actions);
        });
    }
}

void run(World &world)
{
    while (!world.events_.empty() && world.events_.top().at_ < simulationEnd.count_) {
        const Event event = world.events_.top();
        world.events_.pop();
        world.now_ = event.at_;
        event.run_();
    }
}

} // namespace

RunResult simulate(const Deployment &deployment, const Workload &workload, std::optional<NaivePolicy> naive, std::uint64_t seed)
{
    World world;
    world.deployment_ = &deployment;
    world.workload_ = &workload;
    world.random_.seed(seed);
    world.result_.jobs_.resize(workload.jobs_.size());
    world.idOfJob_.resize(workload.jobs_.size());
    for (int i = 0; i < deployment.entries_; ++i) {
        world.entries_.push_back(makeEntry(deployment, naive, seed, static_cast<std::size_t>(i)));
    }
    for (int i = 0; i < deployment.workers_; ++i) {
        addTarget(world, i, naive == NaivePolicy::UnlimitedRetry);
    }
    for (std::size_t i = 0; i < workload.jobs_.size(); ++i) {
        after(world, workload.jobs_[i].at_, [&world, i] { arrive(world, i); });
    }
    for (const Fault &fault : workload.faults_) {
        after(world, fault.at_, [&world, &fault] { takeFault(world, fault); });
    }
    renewAll(world);
    tickAll(world);
    run(world);
    return std::move(world.result_);
}

RunResult simulateSharedQueue(const Deployment &deployment, const Workload &workload)
{
    RunResult result;
    std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> free;
    for (int i = 0; i < deployment.workers_ * deployment.slots_; ++i) {
        free.push(0);
    }
    const std::int64_t oneWay = deployment.callerDelay_.count_ + deployment.linkDelay_.count_;
    for (const JobSpec &spec : workload.jobs_) {
        JobResult job;
        for (const Millis run : spec.runs_) {
            const std::int64_t end = std::max(free.top(), spec.at_.count_ + oneWay) + run.count_;
            free.pop();
            free.push(end);
            job.answered_ = std::max(job.answered_, Millis{end + oneWay});
            job.workDone_ += static_cast<double>(run.count_);
        }
        job.tasksDone_ = spec.runs_.size();
        result.tasksDone_ += job.tasksDone_;
        result.jobs_.push_back(job);
    }
    return result;
}

} // namespace ibiswall::bench
