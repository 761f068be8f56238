// The agent's decisions: whether a task may start on its target, and what to report.

#pragma once

#include <deque>
#include <ibiswall/core/dedup.hpp>
#include <ibiswall/core/job.hpp>
#include <map>

namespace ibiswall {

/// Names the link to one entry. Never used again after the link closes.
using LinkRef = std::uint64_t;

/// A task that an entry sends to an agent.
struct Order
{
    TaskKey key_;
    std::string kind_;
    std::string payload_;
    /// Time left, at sending, in which the task may start.
    Millis startWithin_;
    /// Counts the times that the entry placed the task, from 1.
    std::uint32_t attempt_ = 1;
};

/// The final word of an agent on one task.
struct TaskReport
{
    TaskKey key_;
    TaskOutcome outcome_;
    /// Repeats the number of the order.
    std::uint32_t attempt_ = 1;
};

/// What an entry tells an agent about its right to start.
struct LeaseGrant
{
    /// Repeats the number of the renewal that this answers; 0 for an unsolicited notice.
    std::uint64_t renewal_ = 0;
    /// Configuration version that the entry stands on.
    std::uint64_t version_ = 0;
    /// Whether that version takes the agent's failure domain or target out of service.
    bool out_ = false;
    /// How long the agent may start tasks, counted from the moment it sent the renewal.
    Millis duration_;
};

/// Asks the shell to call the target.
struct StartCall
{
    std::uint64_t call_ = 0;
    TaskKey key_;
    std::string kind_;
    std::string payload_;
    /// The first byte must not be sent after this moment.
    Millis startBy_;
};

/// Asks the shell to send a report.
struct SendReport
{
    LinkRef link_ = 0;
    TaskReport report_;
};

/// Everything that a decision asks of the shell, in order.
struct AgentSchedulerActions
{
    std::vector<StartCall> calls_;
    std::vector<SendReport> reports_;
};

/// An order that waits for a slot.
struct PendingOrder
{
    LinkRef link_ = 0;
    Order order_;
    /// Moment after which the task must not start.
    Millis startBy_;
};

/// A call in progress.
struct RunningCall
{
    LinkRef link_ = 0;
    TaskKey key_;
    std::uint32_t attempt_ = 1;
};

/// The state of the agent's decisions.
struct AgentScheduler
{
    /// Tasks that the target runs at a time.
    int slots_ = 1;
    /// Most orders that wait for a slot.
    std::size_t maxWaiting_ = 64;
    /// Highest configuration version heard of. Never falls.
    std::uint64_t version_ = 0;
    /// What that version says of this agent's failure domain and target.
    bool out_ = false;
    /// Once set it stays set.
    bool leaving_ = false;
    /// The right to start ends here. Never falls.
    Millis leaseUntil_;
    DedupTable dedup_;
    std::deque<PendingOrder> waiting_;
    std::map<std::uint64_t, RunningCall> running_;
    std::uint64_t nextCall_ = 1;
    /// Orders dropped because the same attempt had been seen before.
    std::uint64_t repeats_ = 0;
};

/// Tells why no task may start now; Ok when one may.
Code startRejection(const AgentScheduler &gate, Millis now);

/// Takes a grant in.
/// @param sentAt when the renewal that it answers was sent, by the agent's own clock
void applyLease(AgentScheduler &gate, Millis now, Millis sentAt, const LeaseGrant &grant, AgentSchedulerActions &actions);

/// Takes orders in: starts, keeps or refuses each.
void admitOrders(AgentScheduler &gate, Millis now, LinkRef link, Span<const Order> orders, AgentSchedulerActions &actions);

/// Records the end of a call and starts the next waiting task.
void finishCall(AgentScheduler &gate, Millis now, std::uint64_t call, const TaskOutcome &outcome, AgentSchedulerActions &actions);

/// Refuses every waiting order; no further task starts.
void leave(AgentScheduler &gate, Millis now, AgentSchedulerActions &actions);

/// Drops the waiting orders of a link that closed; none of them starts.
void closeLink(AgentScheduler &gate, LinkRef link);

/// Refuses waiting orders whose time has passed or that may not start now.
void tick(AgentScheduler &gate, Millis now, AgentSchedulerActions &actions);

} // namespace ibiswall
