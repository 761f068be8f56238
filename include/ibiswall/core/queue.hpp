// Tasks that wait for a free slot: fair between members, then by deadline, then by value.

#pragma once

#include <ibiswall/core/job.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace ibiswall {

/// One waiting task.
struct Waiting
{
    Millis deadline_;
    int value_ = 0;
    /// Order of arrival; unique, at least 1.
    std::uint64_t sequence_ = 0;
    TaskRef ref_;
    /// Length of the deadline when the job was submitted.
    Millis span_;
};

/// Orders waiting tasks of one member: earliest deadline, then highest value, then arrival.
bool operator<(const Waiting &a, const Waiting &b);

/// The waiting tasks of one member.
struct MemberQueue
{
    std::set<Waiting> tasks_;
    /// Number of waiting tasks by the length of their deadline; no entry is 0.
    std::map<std::int64_t, std::size_t> spans_;
    /// Starts received so far divided by weight. The lowest is served next.
    double pass_ = 0;
    int weight_ = 1;
};

/// The waiting tasks whose deadlines have one length.
struct SpanBacklog
{
    std::size_t size_ = 0;
    /// When the backlog last went from empty to not empty.
    Millis since_;
};

/// All waiting tasks.
struct TaskQueue
{
    std::map<std::string, MemberQueue, std::less<>> members_;
    /// Pass and name of every member with waiting tasks.
    std::set<std::pair<double, std::string>> active_;
    /// Sum of the weights of the members with waiting tasks.
    int activeWeight_ = 0;
    /// Waiting tasks of all members by the length of their deadline.
    std::map<std::int64_t, SpanBacklog> spans_;
    /// Pass of the member served last; a member that arrives starts here.
    double pass_ = 0;
    /// Sum of the sizes of all member queues.
    std::size_t size_ = 0;
    std::uint64_t nextSequence_ = 1;
};

/// What a task waits for.
struct QueueEntry
{
    /// The member's share.
    int weight_ = 1;
    Millis deadline_;
    Millis span_;
    int value_ = 0;
    TaskRef ref_;
};

/// Adds a task.
/// @return its place in the queue, for removal
Waiting push(TaskQueue &queue, Millis now, std::string_view member, const QueueEntry &entry);

/// Takes the task that is to start next.
std::optional<TaskRef> pop(TaskQueue &queue);

/// Removes a waiting task.
/// @return false when it does not wait
bool remove(TaskQueue &queue, std::string_view member, const Waiting &waiting);

/// A waiting task whose deadline has passed, if there is one.
std::optional<TaskRef> findLate(const TaskQueue &queue, Millis now);

/// Number of starts until the last waiting task of a member, among those with at most this length of deadline,
/// gets its turn.
double countAhead(const TaskQueue &queue, std::string_view member, Millis span);

} // namespace ibiswall
