// Deduplication of tasks sent to an agent, so that none is started twice.

#pragma once

#include <deque>
#include <ibiswall/base.hpp>
#include <string>
#include <unordered_map>

namespace ibiswall {

/// Identifies a task by its job id and its index in the job.
struct TaskKey
{
    std::string job_;
    std::uint32_t task_ = 0;
};

bool operator==(const TaskKey &a, const TaskKey &b);

/// 128-bit hash of a TaskKey. The probability of a collision is negligible.
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

/// The record of one task.
struct DedupEntry
{
    /// When the latest attempt was recorded.
    Millis at_;
    /// Number of the latest attempt. Never decreases.
    std::uint32_t attempt_ = 0;
    /// Whether that attempt was reported as not run; only then may a later attempt start.
    bool rejected_ = false;
};

/// Decision on an attempt of a task.
enum class Admission {
    /// The attempt is new, has been recorded and may start.
    Fresh,
    /// The attempt is a duplicate of the latest or an earlier one; ignore it.
    Repeated,
    /// An earlier attempt has started or may still start.
    Started,
    /// The table is full; the attempt has not been recorded and must not start.
    Full,
};

/// The tasks received within the retention time. Entries are never evicted early to make room.
struct DedupTable
{
    /// How long a task is kept after its latest attempt; at least the lifetime of a job id.
    Millis retention_{600000};
    std::size_t maxTasks_ = 1000000;
    /// Holds at most maxTasks_ entries.
    std::unordered_map<TaskDigest, DedupEntry, TaskDigestHash> tasks_;
    /// All recorded attempts, oldest first. A task expires with its latest attempt.
    std::deque<std::pair<Millis, TaskDigest>> order_;
};

/// Checks an attempt of a task, and records it if it is new.
/// @param attempt starts at 1
Admission admit(DedupTable &table, Millis now, const TaskKey &key, std::uint32_t attempt);

/// Records that the latest attempt of a task has not started and never will.
void markRejected(DedupTable &table, const TaskKey &key);

/// Removes tasks older than the retention time.
void expire(DedupTable &table, Millis now);

} // namespace ibiswall
