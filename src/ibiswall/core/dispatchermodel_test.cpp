// Simulates an entry with agents that reject orders, disconnect and report late. Checks that each caller gets exactly one
// complete answer to its own job, and that each outcome is consistent with the starts of the task.
// IBISWALL_HISTORIES sets the number of scenarios, IBISWALL_SEED the first seed.

#include "testsettings.hpp"
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

constexpr std::uint64_t defaultScenarios = 200;
constexpr int eventsPerScenario = 250;
constexpr Millis deadline{3000};

// An order received by an agent.
struct DeliveredOrder
{
    AgentRef agent_ = 0;
    Order order_;
    bool started_ = false;
};

// The request of one caller, and the answers to it.
struct Caller
{
    CallerRef ref_ = 0;
    std::string id_;
    /// Whether the job belongs to the caller's member.
    bool own_ = true;
    bool dropped_ = false;
    std::vector<std::shared_ptr<const JobAnswer>> answers_;
};

struct Simulation
{
    Dispatcher entry_;
    Random random_;
    Now now_{{1000}, {1000000}};
    std::vector<Submission> jobs_;
    std::vector<Caller> callers_;
    std::vector<DeliveredOrder> delivered_;
    std::vector<AgentRef> agents_;
    std::map<std::pair<std::string, std::uint32_t>, int> starts_;
    AgentRef nextAgent_ = 1;
};

std::string payloadOf(std::size_t job, std::size_t task)
{
    return std::to_string(job) + ':' + std::to_string(task);
}

void perform(Simulation &simulation, const DispatchActions &actions)
{
    for (const SendOrders &send : actions.orders_) {
        for (const Order &order : send.orders_) {
            simulation.delivered_.push_back({send.agent_, order});
        }
    }
    for (const AnswerCaller &each : actions.answers_) {
        simulation.callers_.at(each.caller_).answers_.push_back(each.answer_);
    }
}

CallerRef addCaller(Simulation &simulation, const Submission &job, bool own)
{
    Caller caller;
    caller.ref_ = simulation.callers_.size();
    caller.id_ = format(job.id_);
    caller.own_ = own;
    simulation.callers_.push_back(std::move(caller));
    return simulation.callers_.back().ref_;
}

void submitNewJob(Simulation &simulation)
{
    constexpr std::size_t maxTasks = 5;
    Submission job;
    job.id_ = issueId(simulation.entry_, simulation.now_);
    job.member_ = drawIndex(simulation.random_, 2) == 0 ? "studio" : "rival";
    job.kind_ = "note";
    const std::size_t tasks = 1 + drawIndex(simulation.random_, maxTasks);
    for (std::size_t i = 0; i < tasks; ++i) {
        job.payloads_.push_back(payloadOf(simulation.jobs_.size(), i));
    }
    job.bodyHash_ = simulation.jobs_.size();
    simulation.jobs_.push_back(job);
    DispatchActions actions;
    submit(simulation.entry_, simulation.now_, job, addCaller(simulation, job, true), actions);
    perform(simulation, actions);
}

const Submission &drawJob(Simulation &simulation)
{
    return simulation.jobs_[drawIndex(simulation.random_, simulation.jobs_.size())];
}

// Resubmits or fetches an existing job, as its own member or as another.
void resubmit(Simulation &simulation)
{
    Submission job = drawJob(simulation);
    // The first submission of an id determines its member. After a refusal the entry does not know the job, so another
    // member could take over the id.
    if (simulation.entry_.numbers_.count(format(job.id_)) == 0) {
        return;
    }
    const bool own = drawIndex(simulation.random_, 3) != 0;
    if (!own) {
        job.member_ = job.member_ == "studio" ? "rival" : "studio";
    }
    const CallerRef caller = addCaller(simulation, job, own);
    DispatchActions actions;
    if (drawIndex(simulation.random_, 2) == 0) {
        submit(simulation.entry_, simulation.now_, job, caller, actions);
    } else {
        fetch(simulation.entry_, format(job.id_), job.member_, caller, actions);
    }
    perform(simulation, actions);
}

void cancelRandomJob(Simulation &simulation)
{
    const Submission &job = drawJob(simulation);
    DispatchActions actions;
    cancel(simulation.entry_, format(job.id_), job.member_, actions);
    perform(simulation, actions);
}

void dropRandomCaller(Simulation &simulation)
{
    Caller &caller = simulation.callers_[drawIndex(simulation.random_, simulation.callers_.size())];
    caller.dropped_ = true;
    dropCaller(simulation.entry_, caller.ref_);
}

void addRandomAgent(Simulation &simulation)
{
    const AgentRef ref = simulation.nextAgent_++;
    simulation.agents_.push_back(ref);
    const std::string name = "target-" + std::to_string(ref);
    DispatchActions actions;
    joinAgent(simulation.entry_, simulation.now_, ref, AgentInfo{{name, 1}, {name, "worker-" + name, "east"}, 3, 3}, actions);
    perform(simulation, actions);
}

// Orders received by the lost agent may have started.
void loseRandomAgent(Simulation &simulation)
{
    if (simulation.agents_.empty()) {
        return;
    }
    const std::size_t index = drawIndex(simulation.random_, simulation.agents_.size());
    const AgentRef ref = simulation.agents_[index];
    simulation.agents_.erase(simulation.agents_.begin() + static_cast<std::ptrdiff_t>(index));
    const auto isOfAgent = [ref](const DeliveredOrder &delivered) {
        return delivered.agent_ == ref;
    };
    simulation.delivered_.erase(std::remove_if(simulation.delivered_.begin(), simulation.delivered_.end(), isOfAgent),
                                simulation.delivered_.end());
    DispatchActions actions;
    loseAgent(simulation.entry_, simulation.now_, ref, actions);
    perform(simulation, actions);
}

// Starts, rejects or finishes one delivered order; some reports are duplicated.
void advanceOrder(Simulation &simulation)
{
    if (simulation.delivered_.empty()) {
        return;
    }
    const std::size_t index = drawIndex(simulation.random_, simulation.delivered_.size());
    DeliveredOrder &delivered = simulation.delivered_[index];
    TaskReport report{delivered.order_.key_, {TaskState::Done, Code::Ok, "done: " + delivered.order_.payload_}, delivered.order_.attempt_};
    if (!delivered.started_ && drawIndex(simulation.random_, 3) == 0) {
        report.outcome_ = {TaskState::NotRun, Code::NoLease, {}};
    } else if (!delivered.started_) {
        delivered.started_ = true;
        ++simulation.starts_[{delivered.order_.key_.job_, delivered.order_.key_.task_}];
        return;
    }
    const AgentRef agent = delivered.agent_;
    simulation.delivered_.erase(simulation.delivered_.begin() + static_cast<std::ptrdiff_t>(index));
    DispatchActions actions;
    for (std::size_t times = 1 + drawIndex(simulation.random_, 2); times > 0; --times) {
        applyReports(simulation.entry_, simulation.now_, agent, Span<const TaskReport>(&report, 1), actions);
    }
    perform(simulation, actions);
}

void advanceClock(Simulation &simulation, Millis time)
{
    simulation.now_ = {simulation.now_.boot_ + time, simulation.now_.wall_ + time};
    DispatchActions actions;
    for (const AgentRef agent : simulation.agents_) {
        recordAgentContact(simulation.entry_, simulation.now_, agent, 0, actions);
    }
    tick(simulation.entry_, simulation.now_, actions);
    perform(simulation, actions);
}

void step(Simulation &simulation)
{
    switch (drawIndex(simulation.random_, 16)) {
    case 0:
        addRandomAgent(simulation);
        break;
    case 1:
        loseRandomAgent(simulation);
        break;
    case 2:
    case 3:
        submitNewJob(simulation);
        break;
    case 4:
    case 5:
        resubmit(simulation);
        break;
    case 6:
        cancelRandomJob(simulation);
        break;
    case 7:
        dropRandomCaller(simulation);
        break;
    case 8:
    case 9:
        advanceClock(simulation, {static_cast<std::int64_t>(drawIndex(simulation.random_, 100))});
        break;
    default:
        advanceOrder(simulation);
    }
}

bool isConsistent(const TaskOutcome &outcome, int starts, const std::string &payload)
{
    switch (outcome.state_) {
    case TaskState::Done:
        return starts == 1 && outcome.answer_ == "done: " + payload;
    case TaskState::NotRun:
        return starts == 0;
    case TaskState::MayHaveRun:
        return starts <= 1;
    default:
        return false;
    }
}

int startsOf(const Simulation &simulation, const std::string &id, std::uint32_t task)
{
    const auto found = simulation.starts_.find({id, task});
    return found == simulation.starts_.end() ? 0 : found->second;
}

bool isCorrectAnswer(const Simulation &simulation, const Submission &job, const JobAnswer &answer)
{
    const std::string id = format(job.id_);
    if (answer.id_ != id) {
        return false;
    }
    if (answer.tasks_.empty()) {
        return meansNotRun(answer.code_) && startsOf(simulation, id, 0) == 0;
    }
    bool consistent = answer.tasks_.size() == job.payloads_.size();
    bool allDone = true;
    for (std::uint32_t i = 0; consistent && i < answer.tasks_.size(); ++i) {
        allDone = allDone && answer.tasks_[i].state_ == TaskState::Done;
        consistent = isConsistent(answer.tasks_[i], startsOf(simulation, id, i), job.payloads_[i]);
    }
    return consistent && allDone == (answer.code_ == Code::Ok);
}

void check(Simulation &simulation, std::uint64_t seed)
{
    std::map<std::string, const Submission *> jobs;
    for (const Submission &job : simulation.jobs_) {
        jobs[format(job.id_)] = &job;
    }
    std::map<std::string, std::shared_ptr<const JobAnswer>> answers;
    for (const Caller &caller : simulation.callers_) {
        BOOST_REQUIRE_MESSAGE(caller.answers_.size() <= 1U && (caller.dropped_ || caller.answers_.size() == 1U),
                              "seed " << seed << ": caller " << caller.ref_ << " got " << caller.answers_.size() << " answers");
        if (caller.answers_.empty()) {
            continue;
        }
        const auto &answer = caller.answers_.front();
        if (!caller.own_) {
            BOOST_REQUIRE_MESSAGE(answer->code_ == Code::UnknownJob && answer->tasks_.empty(),
                                  "seed " << seed << ": job of another member disclosed");
            continue;
        }
        // A refused job may be admitted later, so its refusal may differ from a later answer.
        const auto earlier = answer->tasks_.empty() ? answer : answers.emplace(caller.id_, answer).first->second;
        BOOST_REQUIRE_MESSAGE(earlier == answer, "seed " << seed << ": two answers to " << caller.id_);
        BOOST_REQUIRE_MESSAGE(isCorrectAnswer(simulation, *jobs.at(caller.id_), *answer),
                              "seed " << seed << ": wrong answer to " << caller.id_ << ", code " << static_cast<int>(answer->code_) << ", "
                                      << answer->tasks_.size() << " tasks");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_model)

BOOST_AUTO_TEST_CASE(each_caller_gets_complete_answer_to_its_own_job)
{
    const std::uint64_t first = fromEnvironment("IBISWALL_SEED", 1);
    const std::uint64_t scenarios = fromEnvironment("IBISWALL_HISTORIES", defaultScenarios);
    std::size_t answered = 0;
    for (std::uint64_t seed = first; seed < first + scenarios; ++seed) {
        Simulation simulation;
        simulation.random_.seed(seed);
        simulation.entry_.random_.seed(seed);
        simulation.entry_.self_ = {"entry-1", 7};
        simulation.entry_.configuration_.kinds_["note"] = Kind{1, false, deadline};
        submitNewJob(simulation);
        for (int event = 0; event < eventsPerScenario; ++event) {
            step(simulation);
        }
        while (!simulation.agents_.empty()) {
            loseRandomAgent(simulation);
        }
        advanceClock(simulation, deadline);
        check(simulation, seed);
        answered += simulation.callers_.size();
        BOOST_REQUIRE_MESSAGE(simulation.entry_.openJobs_ == 0U, "seed " << seed << ": open jobs left");
    }
    BOOST_TEST_MESSAGE(scenarios << " scenarios from seed " << first << ", " << answered << " callers");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
