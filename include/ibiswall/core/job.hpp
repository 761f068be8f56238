// Jobs as submitted, the outcomes of their tasks, and the answer to the caller.

#pragma once

#include <ibiswall/core/jobid.hpp>
#include <vector>

namespace ibiswall {

/// The state of a task. Done and all later states are final.
enum class TaskState : std::uint8_t {
    Queued,
    Placed,
    Done,
    Failed,
    NotRun,
    MayHaveRun,
};

constexpr bool isFinal(TaskState state)
{
    return state >= TaskState::Done;
}

/// The name of a state, such as `may-have-run`.
std::string_view stateName(TaskState state);

/// Identifies a task within one entry by the number of the job and the index of the task.
struct TaskRef
{
    std::uint64_t job_ = 0;
    std::uint32_t task_ = 0;
};

constexpr bool operator==(TaskRef a, TaskRef b)
{
    return a.job_ == b.job_ && a.task_ == b.task_;
}

/// The state of a task, with the result once it is final.
struct TaskOutcome
{
    TaskState state_ = TaskState::Queued;
    Code code_ = Code::Ok;
    /// Response of the target.
    std::string answer_;
};

/// A job as submitted by a caller.
struct Submission
{
    JobId id_;
    std::string member_;
    std::string kind_;
    /// Hash of the submitted body; a resubmission must have the same hash.
    std::uint64_t bodyHash_ = 0;
    std::vector<std::string> payloads_;
};

/// The answer to a job, which is complete if every task is done and failed otherwise, or a refusal of the whole job.
struct JobAnswer
{
    std::string id_;
    /// Ok if the job is complete.
    Code code_ = Code::Ok;
    /// Error message; may be empty.
    std::string text_;
    /// Delay before a retry; zero if the answer is final.
    Millis retryAfter_;
    /// The outcome of each task, in order; empty if the job was refused.
    std::vector<TaskOutcome> tasks_;
};

} // namespace ibiswall
