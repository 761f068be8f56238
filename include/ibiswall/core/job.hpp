// Jobs, their tasks, and the answer that a caller gets.

#pragma once

#include <ibiswall/core/jobid.hpp>
#include <vector>

namespace ibiswall {

/// Where a task stands. The states from Done on are final.
enum class TaskState : std::uint8_t {
    Queued,
    Placed,
    Done,
    Failed,
    NotRun,
    MayHaveRun,
};

/// Tells whether a task has its final outcome.
constexpr bool isFinal(TaskState state)
{
    return state >= TaskState::Done;
}

/// The word for a state, as in `may-have-run`.
std::string_view stateName(TaskState state);

/// Names a task within an entry: the job's number there and the task's index.
struct TaskRef
{
    std::uint64_t job_ = 0;
    std::uint32_t task_ = 0;
};

constexpr bool operator==(TaskRef a, TaskRef b)
{
    return a.job_ == b.job_ && a.task_ == b.task_;
}

/// What became of one task.
struct TaskOutcome
{
    TaskState state_ = TaskState::Queued;
    Code code_ = Code::Ok;
    /// What the target answered.
    std::string answer_;
};

/// What a caller submits.
struct Submission
{
    JobId id_;
    std::string member_;
    std::string kind_;
    /// Hash of the submitted body; a resubmission must repeat it.
    std::uint64_t bodyHash_ = 0;
    std::vector<std::string> payloads_;
};

/// The final answer to a job: complete when every task is done, else failed.
struct JobAnswer
{
    std::string id_;
    /// Ok for a complete job.
    Code code_ = Code::Ok;
    /// Names the thing that went wrong, where one did.
    std::string text_;
    /// How long to wait before asking again; zero for a final answer.
    Millis retryAfter_;
    /// One outcome for each task, in order; empty when the job was refused whole.
    std::vector<TaskOutcome> tasks_;
};

} // namespace ibiswall
