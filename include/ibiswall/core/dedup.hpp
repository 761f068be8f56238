// The tasks that an agent has been sent, so that none is started twice.

#pragma once

#include <deque>
#include <ibiswall/base.hpp>
#include <string>
#include <unordered_map>

namespace ibiswall {

/// Names one task.
struct TaskKey
{
    std::string job_;
    std::uint32_t task_ = 0;
};

bool operator==(const TaskKey &a, const TaskKey &b);

/// A task's name in few bytes. Two tasks have the same digest with negligible probability.
struct TaskDigest
{
    std::uint64_t low_ = 0;
    std::uint64_t high_ = 0;
};

bool operator==(const TaskDigest &a, const TaskDigest &b);

/// Hash of a digest.
struct TaskDigestHash
{
    std::size_t operator()(const TaskDigest &digest) const noexcept;
};

/// What is remembered of one task.
struct DedupEntry
{
    /// When the latest attempt was recorded.
    Millis at_;
    /// The latest attempt recorded. Never falls.
    std::uint32_t attempt_ = 0;
    /// Whether that attempt was reported as not run; only then may a later attempt start.
    bool rejected_ = false;
};

/// What to do with an attempt of a task.
enum class Admission {
    /// New: it may start. The attempt has been recorded.
    Fresh,
    /// The same attempt, or an earlier one, came before: nothing is to be done.
    Repeated,
    /// An earlier attempt has started, or may still start.
    Started,
    /// The table is full: nothing has been recorded and the attempt must not start.
    Full,
};

/// The tasks seen within a span of time. No task is forgotten earlier to make room.
struct DedupTable
{
    /// How long a task is remembered. At least the life of a job id.
    Millis retention_{600000};
    std::size_t maxTasks_ = 1000000;
    /// At most maxTasks_.
    std::unordered_map<TaskDigest, DedupEntry, TaskDigestHash> tasks_;
    /// Every recorded attempt, oldest first. Its last attempt keeps a task remembered.
    std::deque<std::pair<Millis, TaskDigest>> order_;
};

/// Judges an attempt of a task, and records it when it is fresh.
/// @param attempt counts from 1
Admission admit(DedupTable &table, Millis now, const TaskKey &key, std::uint32_t attempt);

/// Notes that the latest attempt of a task has not started and never will.
void markRejected(DedupTable &table, const TaskKey &key);

/// Forgets tasks older than the table's life.
void expire(DedupTable &table, Millis now);

} // namespace ibiswall
