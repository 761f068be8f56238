// Data model of a cell: jobs that callers submit, resources that targets offer, and results of runs.

#pragma once

#include <ibiswall/base.hpp>
#include <map>
#include <optional>
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

/// Returns whether the free resources meet the need.
bool fits(const Resources &need, const Resources &free);

/// Longest Step::image_ in bytes. The heartbeats of the leader carry the images of interfering pairs.
constexpr std::size_t maxImage = 128;

/// A group of identical tasks of a job.
struct Step
{
    std::uint32_t count_ = 0;
    Resources need_;
    /// The caller's rough estimate of the run time of a task.
    Millis estimate_;
    /// Indexes of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after_;
    /// Label that a target must have; empty for any target.
    std::string requiredLabel_;
    /// Rack that holds the data; empty for none.
    std::string dataRack_;
    /// Maximum number of tasks of the step on one target at a time; 0 for no limit.
    std::uint32_t maxPerTarget_ = 0;
    /// Whether runs save checkpoints.
    bool checkpoints_ = false;
    /// Names what the tasks run; empty if the caller does not say. Tasks of one image behave alike.
    std::string image_;
};

/// Name of the kind of work of a step: tasks of one kind are expected to behave alike.
/// @param number index of the step in its job
std::string kindOf(std::string_view queue, std::size_t number, const Step &step);

/// A queue of the configuration.
struct Queue
{
    std::string name_;
    /// Host and path prefix of requests that go to the queue.
    std::string host_;
    std::string prefix_;
    /// Service whose targets run the queue's tasks.
    std::string service_;
    /// Queues with lower values are placed first.
    std::uint32_t priority_ = 0;
    /// Maximum number of runs of a task that may end as failed.
    std::uint32_t maxAttempts_ = 1;
    /// Objective of a job: this factor times its longest chain of steps, plus allowance_.
    double stretch_ = 1;
    Millis allowance_;
};

/// A job as its caller submitted it, with the queue that it was assigned to.
struct JobSpec
{
    std::string queue_;
    /// Passed to the targets without interpretation.
    std::string payload_;
    std::vector<Step> steps_;
    /// The caller waits for the end of the job and submits it again after losing its connection, so the job need not be
    /// stored.
    bool ephemeral_ = false;
    /// The queue as it was configured at the submission. A queue that is removed later is used for the job as it was then.
    std::optional<Queue> acceptedBy_ = std::nullopt;
};

/// Most tasks of a job.
constexpr std::uint32_t maxTasksOfJob = 100000;

/// Memory that a leader uses for a task, in bytes, without what a run adds.
constexpr std::size_t taskBytes = 160;

/// Number of tasks of a job, over all steps.
std::uint32_t taskCount(const JobSpec &spec);

/// Bytes that an entry holds for a job until it has ended.
std::size_t recordBytes(const JobSpec &spec);

/// Bytes that a leader holds for a job until it has ended: its record and its tasks.
std::size_t jobBytes(const JobSpec &spec);

/// State of a job. The states from Completed on are final.
enum class JobState : std::uint8_t {
    Pending,
    Running,
    Completed,
    Failed,
    Cancelled,
    /// Refused before any task was started. Never stored; the same id may be submitted again.
    Refused,
    /// Cancelled when neither a leader nor the store had it. Stored for a time in place of the job, so that the store does not accept a
    /// submission that is still on its way; unlike the other states it is not shown to callers.
    Withdrawn,
};

constexpr bool isFinal(JobState state)
{
    return state >= JobState::Completed;
}

/// Identifies a task of a job by its step and its index within the step.
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

/// One run of a task on a target. Run numbers of a task increase, also across dispatchers.
struct Run
{
    TaskId task_;
    std::uint64_t number_ = 0;
};

/// How a run ended.
enum class RunOutcome : std::uint8_t {
    Done,
    /// The task or its target failed; counts as an attempt.
    Failed,
    Stopped,
    /// The target lease expired.
    LeaseExpired,
    /// The run never started, or it ended without a result, for example because its target restarted.
    Lost,
};

/// The result of a run as its target lists it.
struct RunResult
{
    /// Increases within an incarnation of the target. 0 when the agent reports a run that the target no longer
    /// lists.
    std::uint64_t number_ = 0;
    Run run_;
    RunOutcome kind_ = RunOutcome::Done;
    /// Empty when nothing was saved.
    std::string checkpoint_;
};

/// A run that was active on a target when the target crashed.
struct RunCrash
{
    Run run_;
    /// Whether the target crashed so soon after it was told to start the run that the run may be the cause.
    bool suspected_ = false;
    /// Whether the target had confirmed the start. Otherwise it may not have received it.
    bool started_ = false;
    /// Time from the crash to the report.
    Millis age_;
};

/// How long agents and dispatchers remember crashes of runs of jobs that are not open.
constexpr Millis crashRetention{60000};

/// What a target announces about itself.
struct TargetInfo
{
    /// The target's own id.
    std::string id_;
    /// Start time of the target in wall-clock milliseconds; increases with each restart.
    std::int64_t targetIncarnation_ = 0;
    std::string service_;
    std::string failureDomain_;
    /// Kind and rack, matched by Step::requiredLabel_ and Step::dataRack_.
    std::vector<std::string> labels_;
    Resources capacity_;
    /// Takes no starts, since the target is leaving or its agent is stopping.
    bool draining_ = false;
    /// The target itself is leaving, which is final for its incarnation; implies draining_.
    bool leaving_ = false;
    /// Whether it replies to its agent.
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
        && a.responsive_ == b.responsive_ && a.leaving_ == b.leaving_;
}

/// The active configuration of the cell.
struct CellConfig
{
    std::uint64_t version_ = 0;
    /// Revision in the store.
    std::int64_t revision_ = 0;
    std::map<std::string, Queue> queues_;
    std::size_t maxBody_ = 262144;
    /// By service: whether its targets reject tasks that do not fit.
    std::map<std::string, bool> admissionControl_;
};

/// Finds the queue of a host with the longest matching path prefix. Null when there is none.
const Queue *findQueue(const CellConfig &config, std::string_view host, std::string_view path);

} // namespace ibiswall::cell
