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
    /// Order of arrival; unique.
    std::uint64_t sequence_ = 0;
    TaskRef ref_;
};

/// Orders waiting tasks of one member: earliest deadline, then highest value, then arrival.
bool operator<(const Waiting &a, const Waiting &b);

/// The waiting tasks of one member.
struct MemberQueue
{
    std::set<Waiting> tasks_;
    /// Starts received so far divided by weight. The lowest is served next.
    double pass_ = 0;
    int weight_ = 1;
};

/// All waiting tasks.
struct TaskQueue
{
    std::map<std::string, MemberQueue, std::less<>> members_;
    /// Pass of the member served last; a member that arrives starts here.
    double pass_ = 0;
    /// Sum of the sizes of all member queues.
    std::size_t size_ = 0;
    std::uint64_t nextSequence_ = 0;
};

/// Adds a task.
/// @param weight the member's share
void push(TaskQueue &queue, std::string_view member, int weight, Millis deadline, int value, TaskRef ref);

/// Takes the task that is to start next.
std::optional<TaskRef> pop(TaskQueue &queue);

} // namespace ibiswall
