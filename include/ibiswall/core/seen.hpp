// The tasks that an agent has been sent, so that none is started twice.

#pragma once

#include <deque>
#include <ibiswall/base.hpp>
#include <string>
#include <unordered_set>

namespace ibiswall {

/// Names one task.
struct TaskKey
{
    std::string job_;
    std::uint32_t task_ = 0;
};

bool operator==(const TaskKey &a, const TaskKey &b);

/// Hash of a task's name.
struct TaskKeyHash
{
    std::size_t operator()(const TaskKey &key) const;
};

/// The tasks seen within a span of time.
struct SeenTable
{
    /// How long a task is remembered. At least the life of a job id.
    Millis life_{600000};
    std::unordered_set<TaskKey, TaskKeyHash> keys_;
    /// Every key of keys_, and forgotten ones, oldest first.
    std::deque<std::pair<Millis, TaskKey>> order_;
};

/// Records a task.
/// @return false when the task had been recorded before
bool insert(SeenTable &table, Millis now, const TaskKey &key);

/// Forgets a task that has not started.
void forget(SeenTable &table, const TaskKey &key);

/// Forgets tasks older than the table's life.
void expire(SeenTable &table, Millis now);

} // namespace ibiswall
