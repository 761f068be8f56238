// Durable jobs of a cell: what callers submit, what targets offer, and how runs end.

#pragma once

#include <ibiswall/base.hpp>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace ibiswall::cell {

/// Capacity of a target, or the part of it that a task needs.
struct Resources
{
    /// Thousandths of a core.
    std::int64_t cpu_ = 0;
    /// Megabytes.
    std::int64_t memory_ = 0;
    std::int64_t gpus_ = 0;
};

Resources operator+(const Resources &a, const Resources &b);
Resources operator-(const Resources &a, const Resources &b);

/// Tells whether the need is met by what is free.
bool fits(const Resources &need, const Resources &free);

/// Tasks of a job that are alike.
struct Step
{
    std::uint32_t count_ = 0;
    Resources need_;
    /// The caller's rough guess of a task's run time.
    Millis estimate_;
    /// Indexes of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after_;
    /// Label that a target must carry; empty for any target.
    std::string requiredLabel_;
    /// Rack that holds the data; empty for none.
    std::string dataRack_;
    /// Most tasks of the step on one target at a time; 0 for no limit.
    std::uint32_t maxPerTarget_ = 0;
    /// Whether runs save checkpoints.
    bool checkpoints_ = false;
};

/// A job as its caller submitted it, with the queue that took it.
struct JobSpec
{
    /// Name of the queue.
    std::string queue_;
    /// Passed unread to the targets.
    std::string payload_;
    std::vector<Step> steps_;
    /// The caller waits for the end and asks again if it loses its connection: the job need not be stored.
    bool ephemeral_ = false;
};

/// Number of tasks of a job, over all steps.
std::uint32_t taskCount(const JobSpec &spec);

/// Where a job stands. The states from Completed on are final.
enum class JobState : std::uint8_t {
    Pending,
    Running,
    Completed,
    Failed,
    Cancelled,
    /// Turned away before any task was started. Never stored; the same id may be handed in again.
    Refused,
};

constexpr bool isFinal(JobState state)
{
    return state >= JobState::Completed;
}

/// Names one task of a job: its step, and its place within the step.
struct TaskId
{
    std::string job_;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;
};

inline bool operator<(const TaskId &a, const TaskId &b)
{
    return std::tie(a.job_, a.step_, a.index_) < std::tie(b.job_, b.step_, b.index_);
}

inline bool operator==(const TaskId &a, const TaskId &b)
{
    return std::tie(a.job_, a.step_, a.index_) == std::tie(b.job_, b.step_, b.index_);
}

/// One run of a task on a target. Run numbers of a task rise, also across dispatchers.
struct Run
{
    TaskId task_;
    std::uint64_t number_ = 0;
};

/// How a run ended.
enum class RunOutcome : std::uint8_t {
    Done,
    /// By the task's own fault or the target's; counts as an attempt.
    Failed,
    Stopped,
    /// The lease ran out.
    LeaseExpired,
    /// The run never began, or its target is gone.
    Lost,
};

/// The end of a run as its target lists it.
struct RunResult
{
    /// Rises within one life of the target. 0 when the agent reports a run that the target no longer knows.
    std::uint64_t number_ = 0;
    Run run_;
    RunOutcome kind_ = RunOutcome::Done;
    /// Empty when nothing was saved.
    std::string checkpoint_;
};

/// What a target says of itself. A new life of a target has a later birth.
struct TargetInfo
{
    /// The target's own id.
    std::string id_;
    /// Wall clock in milliseconds.
    std::int64_t targetIncarnation_ = 0;
    std::string service_;
    std::string failureDomain_;
    /// Kind and rack.
    std::vector<std::string> labels_;
    Resources capacity_;
    bool draining_ = false;
    /// Whether it answers its agent.
    bool responsive_ = true;
};

inline bool operator==(const Resources &a, const Resources &b)
{
    return a.cpu_ == b.cpu_ && a.memory_ == b.memory_ && a.gpus_ == b.gpus_;
}

inline bool operator==(const TargetInfo &a, const TargetInfo &b)
{
    return a.id_ == b.id_ && a.targetIncarnation_ == b.targetIncarnation_ && a.service_ == b.service_
        && a.failureDomain_ == b.failureDomain_ && a.labels_ == b.labels_ && a.capacity_ == b.capacity_ && a.draining_ == b.draining_
        && a.responsive_ == b.responsive_;
}

/// A queue of the configuration.
struct Queue
{
    std::string name_;
    /// Host and path prefix that select the queue.
    std::string host_;
    std::string prefix_;
    /// Service whose targets run the queue's tasks.
    std::string service_;
    /// Lower goes first.
    std::uint32_t priority_ = 0;
    /// Most runs of a task that may end as failed.
    std::uint32_t maxAttempts_ = 1;
    /// Objective for a job: this many times its longest chain of work, and allowance_ more.
    double stretch_ = 1;
    Millis allowance_;
};

/// The configuration in force, with what is taken out of service.
struct CellConfig
{
    std::uint64_t version_ = 0;
    std::map<std::string, Queue> queues_;
    std::size_t maxBody_ = 262144;
    /// Services whose targets reject what does not fit.
    std::map<std::string, bool> admissionControl_;
};

/// Finds the queue with the longest prefix of a path. Null when there is none.
const Queue *findQueue(const CellConfig &config, std::string_view host, std::string_view path);

} // namespace ibiswall::cell
