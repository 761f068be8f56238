// The dispatcher of an entry: admits jobs, places their tasks on agents, collects outcomes and answers callers.

#pragma once

#include <deque>
#include <ibiswall/core/agentpool.hpp>
#include <ibiswall/core/agentscheduler.hpp>
#include <ibiswall/core/overload.hpp>
#include <ibiswall/core/tombstones.hpp>
#include <memory>

namespace ibiswall {

/// Identifies a caller that waits for an answer.
using CallerRef = std::uint64_t;

/// The current time on the boot clock (monotonic) and the wall clock.
struct Now
{
    Millis boot_;
    Millis wall_;
};

/// Resource limits of an entry.
struct DispatchLimits
{
    std::size_t maxTasksPerJob_ = 1024;
    std::size_t maxQueuedTasks_ = 100000;
    /// Jobs in memory, open and answered. The oldest answers are evicted to make room for new jobs.
    std::size_t maxJobs_ = 200000;
    /// Bytes of stored answers; the oldest are evicted first.
    std::size_t maxAnswerBytes_ = 128U << 20U;
    /// Tombstones of jobs whose answers were evicted.
    std::size_t maxTombstones_ = 1000000;
    /// Placements of a task before it is reported as not run.
    int maxAttempts_ = 4;
    /// Calls of a task that targets did not answer because they broke the connection, after which it is not tried again: the task
    /// may be what crashes them.
    int maxBrokenCalls_ = 2;
    /// Time after its issue during which an id may be used to submit a job.
    Millis idLifetime_{600000};
    /// Retry delay given in refusals.
    Millis retryAfter_{1000};
};

/// One task of a job.
struct Task
{
    TaskOutcome outcome_;
    int attempts_ = 0;
    int brokenCalls_ = 0;
    /// Why an earlier attempt may have run, or Ok. A task with any other code is never reported as not run.
    Code lossCode_ = Code::Ok;
    /// Position in the queue; valid only in state Queued.
    QueuedTask queued_;
    /// Boot-clock time of the latest placement.
    Millis sentAt_;
};

/// One job, open or answered.
struct Job
{
    std::uint64_t number_ = 0;
    /// The payloads are freed once the job is answered.
    Submission submission_;
    std::string idText_;
    Kind kind_;
    /// Boot-clock time after which no task may start.
    Millis startBy_;
    std::vector<Task> tasks_;
    /// Number of tasks without a final outcome.
    std::size_t open_ = 0;
    std::vector<CallerRef> callers_;
    /// Set when open_ reaches 0; immutable from then on.
    std::shared_ptr<const JobAnswer> answer_;
};

/// Action for the I/O layer: send orders to an agent.
struct SendOrders
{
    AgentRef agent_ = 0;
    std::vector<Order> orders_;
};

/// Action for the I/O layer: answer a caller.
struct AnswerCaller
{
    CallerRef caller_ = 0;
    std::shared_ptr<const JobAnswer> answer_;
};

/// All actions that a decision requires of the I/O layer.
struct DispatchActions
{
    std::vector<SendOrders> orders_;
    std::vector<AnswerCaller> answers_;
    /// Agents considered lost; the I/O layer must close their links.
    std::vector<AgentRef> lostAgents_;
};

/// Counters for metrics, cumulative since the start of the process.
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

/// The state of an entry's dispatcher.
struct Dispatcher
{
    Incarnation self_;
    DispatchLimits limits_;
    Configuration configuration_;
    AgentPool agentPool_;
    TaskQueue queue_;
    Overload overload_;
    Random random_;
    /// All jobs in memory, by number.
    std::unordered_map<std::uint64_t, Job> jobs_;
    /// The number of each job in jobs_, by the text form of its id.
    std::unordered_map<std::string, std::uint64_t> numbers_;
    /// Numbers of the jobs that each waiting caller is attached to.
    std::unordered_multimap<CallerRef, std::uint64_t> callers_;
    /// Every answered job, as the issue time of its id and its number.
    std::set<std::pair<std::int64_t, std::uint64_t>> answered_;
    /// Numbers of answered jobs in the order in which they were answered. May contain jobs that have been removed since.
    std::deque<std::uint64_t> answerOrder_;
    /// Total size in bytes of the answers in jobs_.
    std::size_t answerBytes_ = 0;
    /// Jobs whose answers were evicted; disjoint from jobs_.
    JobTombstones tombstones_;
    /// Number of open tasks of each member.
    std::map<std::string, std::size_t, std::less<>> openTasks_;
    /// Number of jobs without an answer.
    std::size_t openJobs_ = 0;
    std::uint64_t nextNumber_ = 1;
    std::uint64_t nextSerial_ = 1;
    /// Set while the entry is stopping: new jobs are refused.
    bool draining_ = false;
    DispatchCounts counts_;
};

/// Issues a new job id owned by this incarnation.
JobId issueId(Dispatcher &dispatcher, Now now);

/// Admits a job, or attaches the caller to the existing job with the same id.
void submit(Dispatcher &dispatcher, Now now, Submission submission, CallerRef caller, DispatchActions &actions);

/// Attaches a caller to a job that was submitted earlier.
void fetch(Dispatcher &dispatcher, std::string_view id, std::string_view member, CallerRef caller, DispatchActions &actions);

/// Cancels the queued tasks of a job; tasks already placed are not affected.
/// @return false if the member has no such job
bool cancel(Dispatcher &dispatcher, std::string_view id, std::string_view member, DispatchActions &actions);

/// Detaches a disconnected caller from all its jobs.
void dropCaller(Dispatcher &dispatcher, CallerRef caller);

/// Adds an agent whose link has been established.
void joinAgent(Dispatcher &dispatcher, Now now, AgentRef ref, const AgentInfo &info, DispatchActions &actions);

/// Records a message from an agent and the configuration version that the agent has applied.
void recordAgentContact(Dispatcher &dispatcher, Now now, AgentRef ref, std::uint64_t version, DispatchActions &actions);

/// Stops placing tasks on an agent that has announced its shutdown.
void markAgentLeaving(Dispatcher &dispatcher, Now now, AgentRef ref);

/// Removes an agent whose link closed and handles its unreported tasks as possibly run.
void loseAgent(Dispatcher &dispatcher, Now now, AgentRef ref, DispatchActions &actions);

/// Applies task reports of an agent.
void applyReports(Dispatcher &dispatcher, Now now, AgentRef ref, Span<const TaskReport> reports, DispatchActions &actions);

/// Applies a change if its number is the current version plus one.
/// @return false for any other number
bool applyConfigurationChange(Dispatcher &dispatcher, Now now, const Change &change, DispatchActions &actions);

/// Ends queued tasks past their deadline, removes unresponsive agents and drops answered jobs whose ids have expired.
void tick(Dispatcher &dispatcher, Now now, DispatchActions &actions);

} // namespace ibiswall
