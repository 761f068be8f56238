// The entry's decisions: accepts jobs, places their tasks, gathers outcomes and answers callers.

#pragma once

#include <deque>
#include <ibiswall/core/agentpool.hpp>
#include <ibiswall/core/agentscheduler.hpp>
#include <ibiswall/core/overload.hpp>
#include <ibiswall/core/tombstones.hpp>
#include <memory>

namespace ibiswall {

/// Names a caller that waits for an answer.
using CallerRef = std::uint64_t;

/// The current time by both clocks.
struct Now
{
    Millis boot_;
    Millis wall_;
};

/// Bounds on what an entry keeps.
struct DispatchLimits
{
    std::size_t maxTasksPerJob_ = 1024;
    std::size_t maxQueuedTasks_ = 100000;
    /// Jobs kept, running ones and answers together. The oldest answers make room for new jobs.
    std::size_t maxJobs_ = 200000;
    /// Bytes of answers kept; the oldest are dropped first.
    std::size_t maxAnswerBytes_ = 128U << 20U;
    /// Jobs remembered after their answers were dropped.
    std::size_t maxEndedJobs_ = 1000000;
    /// Times that a task may be placed before it is reported as not run.
    int maxAttempts_ = 4;
    /// How long after its issue an id may be used to submit.
    Millis idLifetime_{600000};
    /// Time to come back that a refusal names.
    Millis retryAfter_{1000};
};

/// One task of a job.
struct Task
{
    TaskOutcome outcome_;
    int attempts_ = 0;
    /// Why an earlier attempt may have run; Ok when none may have. Such a task is never reported as not run.
    Code lost_ = Code::Ok;
    /// Place in the queue; valid while the task is queued.
    Waiting waiting_;
    /// When the task was last sent.
    Millis sentAt_;
};

/// One job, running or answered.
struct Job
{
    std::uint64_t number_ = 0;
    /// Payloads are freed with the answer.
    Submission submission_;
    std::string idText_;
    Kind kind_;
    /// Boot-clock time after which no task starts.
    Millis startBy_;
    std::vector<Task> tasks_;
    /// Tasks without a final outcome.
    std::size_t open_ = 0;
    std::vector<CallerRef> callers_;
    /// Set once, when open_ reaches 0; never changes after.
    std::shared_ptr<const JobAnswer> answer_;
};

/// Asks the shell to send orders to an agent.
struct SendOrders
{
    AgentRef agent_ = 0;
    std::vector<Order> orders_;
};

/// Asks the shell to answer a caller.
struct AnswerCaller
{
    CallerRef caller_ = 0;
    std::shared_ptr<const JobAnswer> answer_;
};

/// Everything that a decision asks of the shell.
struct DispatchActions
{
    std::vector<SendOrders> orders_;
    std::vector<AnswerCaller> answers_;
    /// Agents given up; their links are to be closed.
    std::vector<AgentRef> lostAgents_;
};

/// Running totals for metrics.
struct DispatchCounts
{
    std::uint64_t jobsAccepted_ = 0;
    std::uint64_t jobsRefused_ = 0;
    std::uint64_t jobsComplete_ = 0;
    std::uint64_t jobsFailed_ = 0;
    std::uint64_t tasksDone_ = 0;
    std::uint64_t tasksFailed_ = 0;
    std::uint64_t tasksNotRun_ = 0;
    std::uint64_t tasksMayHaveRun_ = 0;
    std::uint64_t ordersSent_ = 0;
    std::uint64_t ordersRejected_ = 0;
};

/// The state of an entry's decisions.
struct Dispatcher
{
    Incarnation self_;
    DispatchLimits limits_;
    Configuration configuration_;
    AgentPool agentPool_;
    TaskQueue queue_;
    Overload overload_;
    Random random_;
    /// Every kept job by its number.
    std::unordered_map<std::uint64_t, Job> jobs_;
    /// The number of every kept job by its id's text.
    std::unordered_map<std::string, std::uint64_t> numbers_;
    /// The jobs that each waiting caller is attached to.
    std::unordered_multimap<CallerRef, std::uint64_t> callers_;
    /// Issue time of the id and number of every answered job.
    std::set<std::pair<std::int64_t, std::uint64_t>> answered_;
    /// Numbers of answered jobs in the order of their answers; forgotten jobs may still be named.
    std::deque<std::uint64_t> answerOrder_;
    /// Bytes of the answers of all jobs in jobs_.
    std::size_t answerBytes_ = 0;
    /// Jobs whose answers were dropped. None of them is in jobs_.
    JobTombstones tombstones_;
    /// Open tasks of each member.
    std::map<std::string, std::size_t, std::less<>> openTasks_;
    /// Jobs without an answer.
    std::size_t openJobs_ = 0;
    std::uint64_t nextNumber_ = 1;
    std::uint64_t nextSerial_ = 1;
    /// Once set, new jobs are refused.
    bool draining_ = false;
    DispatchCounts counts_;
};

/// Issues a fresh job id.
JobId issueId(Dispatcher &dispatcher, Now now);

/// Takes a job in, or attaches the caller to the job that has this id already.
void submit(Dispatcher &dispatcher, Now now, Submission submission, CallerRef caller, DispatchActions &actions);

/// Attaches a caller to a job that was submitted before.
void fetch(Dispatcher &dispatcher, std::string_view id, std::string_view member, CallerRef caller, DispatchActions &actions);

/// Gives up the tasks of a job that have not been placed.
/// @return false when the member has no such job
bool cancel(Dispatcher &dispatcher, std::string_view id, std::string_view member, DispatchActions &actions);

/// Forgets a caller that went away.
void dropCaller(Dispatcher &dispatcher, CallerRef caller);

/// Adds a linked agent.
void joinAgent(Dispatcher &dispatcher, Now now, AgentRef ref, const AgentInfo &info, DispatchActions &actions);

/// Notes that an agent was heard and which configuration version it applied.
void recordAgentContact(Dispatcher &dispatcher, Now now, AgentRef ref, std::uint64_t version, DispatchActions &actions);

/// Marks an agent that announced that it stops.
void markAgentLeaving(Dispatcher &dispatcher, Now now, AgentRef ref);

/// Settles the tasks of an agent whose link closed.
void loseAgent(Dispatcher &dispatcher, Now now, AgentRef ref, DispatchActions &actions);

/// Takes the reports of an agent in.
void applyReports(Dispatcher &dispatcher, Now now, AgentRef ref, Span<const TaskReport> reports, DispatchActions &actions);

/// Applies the next change of the configuration.
/// @return false when it is not the next one
bool applyConfigurationChange(Dispatcher &dispatcher, Now now, const Change &change, DispatchActions &actions);

/// Ends tasks whose deadline passed, gives up silent agents and forgets jobs whose id expired.
void tick(Dispatcher &dispatcher, Now now, DispatchActions &actions);

} // namespace ibiswall
