// Seeded histories of an entry with agents that refuse, vanish and answer late: each caller gets exactly its own
// whole answer, and each outcome agrees with the starts. IBISWALL_HISTORIES and IBISWALL_SEED set what is run.

#include "testsettings.hpp"
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

constexpr std::uint64_t defaultHistories = 200;
constexpr int eventsPerHistory = 250;
constexpr Millis deadline{3000};

// An order that reached an agent.
struct Held
{
    AgentRef agent_ = 0;
    Order order_;
    bool started_ = false;
};

// What one caller asked for, and got.
struct Caller
{
    CallerRef ref_ = 0;
    std::string id_;
    /// Whether the job is the caller's own.
    bool own_ = true;
    bool dropped_ = false;
    std::vector<std::shared_ptr<const JobAnswer>> answers_;
};

struct World
{
    Dispatcher entry_;
    Random random_;
    Now now_{{1000}, {1000000}};
    std::vector<Submission> jobs_;
    std::vector<Caller> callers_;
    std::vector<Held> held_;
    std::vector<AgentRef> agents_;
    std::map<std::pair<std::string, std::uint32_t>, int> starts_;
    AgentRef nextAgent_ = 1;
};

std::string payloadOf(std::size_t job, std::size_t task)
{
    return std::to_string(job) + ':' + std::to_string(task);
}

void act(World &world, const DispatchActions &actions)
{
    for (const SendOrders &send : actions.orders_) {
        for (const Order &order : send.orders_) {
            world.held_.push_back({send.agent_, order});
        }
    }
    for (const AnswerCaller &each : actions.answers_) {
        world.callers_.at(each.caller_).answers_.push_back(each.answer_);
    }
}

CallerRef addCaller(World &world, const Submission &job, bool own)
{
    Caller caller;
    caller.ref_ = world.callers_.size();
    caller.id_ = format(job.id_);
    caller.own_ = own;
    world.callers_.push_back(std::move(caller));
    return world.callers_.back().ref_;
}

void submitNew(World &world)
{
    constexpr std::size_t mostTasks = 5;
    Submission job;
    job.id_ = issueId(world.entry_, world.now_);
    job.member_ = drawIndex(world.random_, 2) == 0 ? "studio" : "rival";
    job.kind_ = "note";
    const std::size_t tasks = 1 + drawIndex(world.random_, mostTasks);
    for (std::size_t i = 0; i < tasks; ++i) {
        job.payloads_.push_back(payloadOf(world.jobs_.size(), i));
    }
    job.bodyHash_ = world.jobs_.size();
    world.jobs_.push_back(job);
    DispatchActions actions;
    submit(world.entry_, world.now_, job, addCaller(world, job, true), actions);
    act(world, actions);
}

const Submission &drawJob(World &world)
{
    return world.jobs_[drawIndex(world.random_, world.jobs_.size())];
}

// Submits a known job again, for its own member or for another.
void submitAgain(World &world)
{
    Submission job = drawJob(world);
    // Whoever submits an id first owns it, also after the entry refused it.
    if (world.entry_.numbers_.count(format(job.id_)) == 0) {
        return;
    }
    const bool own = drawIndex(world.random_, 3) != 0;
    if (!own) {
        job.member_ = job.member_ == "studio" ? "rival" : "studio";
    }
    const CallerRef caller = addCaller(world, job, own);
    DispatchActions actions;
    if (drawIndex(world.random_, 2) == 0) {
        submit(world.entry_, world.now_, job, caller, actions);
    } else {
        fetch(world.entry_, format(job.id_), job.member_, caller, actions);
    }
    act(world, actions);
}

void cancelOne(World &world)
{
    const Submission &job = drawJob(world);
    DispatchActions actions;
    cancel(world.entry_, format(job.id_), job.member_, actions);
    act(world, actions);
}

void dropOne(World &world)
{
    Caller &caller = world.callers_[drawIndex(world.random_, world.callers_.size())];
    caller.dropped_ = true;
    dropCaller(world.entry_, caller.ref_);
}

void joinOne(World &world)
{
    const AgentRef ref = world.nextAgent_++;
    world.agents_.push_back(ref);
    const std::string name = "target-" + std::to_string(ref);
    DispatchActions actions;
    joinAgent(world.entry_, world.now_, ref, AgentInfo{{name, 1}, {name, "worker-" + name, "east"}, 3, 3}, actions);
    act(world, actions);
}

// Orders that had reached the agent may still have started.
void loseOne(World &world)
{
    if (world.agents_.empty()) {
        return;
    }
    const std::size_t index = drawIndex(world.random_, world.agents_.size());
    const AgentRef ref = world.agents_[index];
    world.agents_.erase(world.agents_.begin() + static_cast<std::ptrdiff_t>(index));
    const auto gone = [ref](const Held &held) {
        return held.agent_ == ref;
    };
    world.held_.erase(std::remove_if(world.held_.begin(), world.held_.end(), gone), world.held_.end());
    DispatchActions actions;
    loseAgent(world.entry_, world.now_, ref, actions);
    act(world, actions);
}

// One held order starts, is refused, or ends; sometimes the report comes twice.
void moveOne(World &world)
{
    if (world.held_.empty()) {
        return;
    }
    const std::size_t index = drawIndex(world.random_, world.held_.size());
    Held &held = world.held_[index];
    TaskReport report{held.order_.key_, {TaskState::Done, Code::Ok, "done: " + held.order_.payload_}, held.order_.attempt_};
    if (!held.started_ && drawIndex(world.random_, 3) == 0) {
        report.outcome_ = {TaskState::NotRun, Code::NoLease, {}};
    } else if (!held.started_) {
        held.started_ = true;
        ++world.starts_[{held.order_.key_.job_, held.order_.key_.task_}];
        return;
    }
    const AgentRef agent = held.agent_;
    world.held_.erase(world.held_.begin() + static_cast<std::ptrdiff_t>(index));
    DispatchActions actions;
    for (std::size_t times = 1 + drawIndex(world.random_, 2); times > 0; --times) {
        takeReports(world.entry_, world.now_, agent, Span<const TaskReport>(&report, 1), actions);
    }
    act(world, actions);
}

void passTime(World &world, Millis time)
{
    world.now_ = {world.now_.boot_ + time, world.now_.wall_ + time};
    DispatchActions actions;
    for (const AgentRef agent : world.agents_) {
        hearAgent(world.entry_, world.now_, agent, 0, actions);
    }
    tick(world.entry_, world.now_, actions);
    act(world, actions);
}

void step(World &world)
{
    switch (drawIndex(world.random_, 16)) {
    case 0:
        joinOne(world);
        break;
    case 1:
        loseOne(world);
        break;
    case 2:
    case 3:
        submitNew(world);
        break;
    case 4:
    case 5:
        submitAgain(world);
        break;
    case 6:
        cancelOne(world);
        break;
    case 7:
        dropOne(world);
        break;
    case 8:
    case 9:
        passTime(world, {static_cast<std::int64_t>(drawIndex(world.random_, 100))});
        break;
    default:
        moveOne(world);
    }
}

bool agrees(const TaskOutcome &outcome, int starts, const std::string &payload)
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

int startsOf(const World &world, const std::string &id, std::uint32_t task)
{
    const auto found = world.starts_.find({id, task});
    return found == world.starts_.end() ? 0 : found->second;
}

bool isWholeAnswer(const World &world, const Submission &job, const JobAnswer &answer)
{
    const std::string id = format(job.id_);
    if (answer.id_ != id) {
        return false;
    }
    if (answer.tasks_.empty()) {
        return meansNotRun(answer.code_) && startsOf(world, id, 0) == 0;
    }
    bool agreed = answer.tasks_.size() == job.payloads_.size();
    bool allDone = true;
    for (std::uint32_t i = 0; agreed && i < answer.tasks_.size(); ++i) {
        allDone = allDone && answer.tasks_[i].state_ == TaskState::Done;
        agreed = agrees(answer.tasks_[i], startsOf(world, id, i), job.payloads_[i]);
    }
    return agreed && allDone == (answer.code_ == Code::Ok);
}

void check(World &world, std::uint64_t seed)
{
    std::map<std::string, const Submission *> jobs;
    for (const Submission &job : world.jobs_) {
        jobs[format(job.id_)] = &job;
    }
    std::map<std::string, std::shared_ptr<const JobAnswer>> answers;
    for (const Caller &caller : world.callers_) {
        BOOST_REQUIRE_MESSAGE(caller.answers_.size() <= 1U && (caller.dropped_ || caller.answers_.size() == 1U),
                              "seed " << seed << ": caller " << caller.ref_ << " got " << caller.answers_.size() << " answers");
        if (caller.answers_.empty()) {
            continue;
        }
        const auto &answer = caller.answers_.front();
        if (!caller.own_) {
            BOOST_REQUIRE_MESSAGE(answer->code_ == Code::UnknownJob && answer->tasks_.empty(), "seed " << seed << ": another's job shown");
            continue;
        }
        // A job that was refused whole may be taken in later.
        const auto earlier = answer->tasks_.empty() ? answer : answers.emplace(caller.id_, answer).first->second;
        BOOST_REQUIRE_MESSAGE(earlier == answer, "seed " << seed << ": two answers to " << caller.id_);
        BOOST_REQUIRE_MESSAGE(isWholeAnswer(world, *jobs.at(caller.id_), *answer),
                              "seed " << seed << ": wrong answer to " << caller.id_ << ", code " << static_cast<int>(answer->code_) << ", "
                                      << answer->tasks_.size() << " tasks");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(history)

BOOST_AUTO_TEST_CASE(each_caller_gets_its_own_whole_answer)
{
    const std::uint64_t first = fromEnvironment("IBISWALL_SEED", 1);
    const std::uint64_t histories = fromEnvironment("IBISWALL_HISTORIES", defaultHistories);
    std::size_t answered = 0;
    for (std::uint64_t seed = first; seed < first + histories; ++seed) {
        World world;
        world.random_.seed(seed);
        world.entry_.random_.seed(seed);
        world.entry_.self_ = {"entry-1", 7};
        world.entry_.configuration_.kinds_["note"] = Kind{1, false, deadline};
        submitNew(world);
        for (int event = 0; event < eventsPerHistory; ++event) {
            step(world);
        }
        while (!world.agents_.empty()) {
            loseOne(world);
        }
        passTime(world, deadline);
        check(world, seed);
        answered += world.callers_.size();
        BOOST_REQUIRE_MESSAGE(world.entry_.openJobs_ == 0U, "seed " << seed << ": open jobs left");
    }
    BOOST_TEST_MESSAGE(histories << " histories from seed " << first << ", " << answered << " callers");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
