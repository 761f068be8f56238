// Queue of tasks that wait for a free slot: weighted fair between members; within a member by deadline, then by value.

#pragma once

#include <ibiswall/core/job.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace ibiswall {

/// One queued task.
struct QueuedTask
{
    Millis deadline_;
    int value_ = 0;
    /// Arrival number; unique, starts at 1.
    std::uint64_t sequence_ = 0;
    TaskRef ref_;
    /// Time from submission to the deadline.
    Millis relativeDeadline_;
};

/// Orders the tasks of one member: earliest deadline, then highest value, then arrival.
bool operator<(const QueuedTask &a, const QueuedTask &b);

/// The queued tasks of one member.
struct MemberQueue
{
    std::set<QueuedTask> tasks_;
    /// Number of queued tasks by relative deadline in milliseconds; no count is 0.
    std::map<std::int64_t, std::size_t> byRelativeDeadline_;
    /// Stride scheduling pass: number of task starts divided by weight. The member with the lowest pass is served next.
    double pass_ = 0;
    int weight_ = 1;
};

/// The backlog of tasks with the same relative deadline.
struct DeadlineBacklog
{
    std::size_t size_ = 0;
    /// When the backlog last became non-empty.
    Millis since_;
};

/// All queued tasks.
struct TaskQueue
{
    std::map<std::string, MemberQueue, std::less<>> members_;
    /// Pass and name of each member with queued tasks.
    std::set<std::pair<double, std::string>> active_;
    /// Total weight of the members with queued tasks.
    int activeWeight_ = 0;
    /// Backlogs of all members by relative deadline in milliseconds.
    std::map<std::int64_t, DeadlineBacklog> byRelativeDeadline_;
    /// Pass of the member served last; a member that becomes active starts no lower.
    double pass_ = 0;
    /// Total number of queued tasks.
    std::size_t size_ = 0;
    std::uint64_t nextSequence_ = 1;
};

/// Parameters of a task to be queued.
struct QueueEntry
{
    /// Weight of the member.
    int weight_ = 1;
    Millis deadline_;
    Millis relativeDeadline_;
    int value_ = 0;
    TaskRef ref_;
};

/// Adds a task.
/// @return the queued task, as needed for removal
QueuedTask push(TaskQueue &queue, Millis now, std::string_view member, const QueueEntry &entry);

/// Removes and returns the task to start next; empty if there is none.
std::optional<TaskRef> pop(TaskQueue &queue);

/// Removes a task.
/// @return false if it is not queued
bool remove(TaskQueue &queue, std::string_view member, const QueuedTask &queued);

/// Returns a queued task whose deadline has passed, if any.
std::optional<TaskRef> findExpired(const TaskQueue &queue, Millis now);

/// Number of starts until the member's last queued task with at most this relative deadline is served.
double countAhead(const TaskQueue &queue, std::string_view member, Millis relativeDeadline);

} // namespace ibiswall
