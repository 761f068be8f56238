// The scheduler of an agent: decides whether a task may start on the target, and what is reported to the entry.

#pragma once

#include <deque>
#include <ibiswall/core/dedup.hpp>
#include <ibiswall/core/job.hpp>
#include <map>

namespace ibiswall {

/// Identifies the link to one entry. Never reused after the link closes.
using LinkRef = std::uint64_t;

/// A task that an entry sends to an agent.
struct Order
{
    TaskKey key_;
    std::string kind_;
    std::string payload_;
    /// Time remaining for the task to start, measured when the order was sent.
    Millis startWithin_;
    /// Number of this placement of the task, starting at 1.
    std::uint32_t attempt_ = 1;
};

/// The final report of an agent on one attempt of a task.
struct TaskReport
{
    TaskKey key_;
    TaskOutcome outcome_;
    /// Attempt number of the order.
    std::uint32_t attempt_ = 1;
};

/// The reply of an entry to a renewal: a lease that allows the agent to start tasks.
struct LeaseGrant
{
    /// Number of the renewal that this answers; 0 for an unsolicited notice.
    std::uint64_t renewal_ = 0;
    /// Configuration version of the entry.
    std::uint64_t version_ = 0;
    /// Whether the agent's failure domain or target is out of service in that version.
    bool out_ = false;
    /// Lease duration, counted from the moment the agent sent the renewal.
    Millis duration_;
};

/// Action for the I/O layer: call the target.
struct StartCall
{
    std::uint64_t call_ = 0;
    TaskKey key_;
    std::string kind_;
    std::string payload_;
    /// Boot-clock time from which on the first byte must not be sent.
    Millis startBy_;
};

/// Action for the I/O layer: send a report.
struct SendReport
{
    LinkRef link_ = 0;
    TaskReport report_;
};

/// All actions that a decision requires of the I/O layer, in order.
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
    /// Latest time at which the task may start.
    Millis startBy_;
};

/// A call in progress.
struct RunningCall
{
    LinkRef link_ = 0;
    TaskKey key_;
    std::uint32_t attempt_ = 1;
};

/// The state of an agent's scheduler.
struct AgentScheduler
{
    /// Number of tasks that the target can run concurrently.
    int slots_ = 1;
    /// Maximum number of orders that wait for a slot.
    std::size_t maxWaiting_ = 64;
    /// Highest configuration version received. Never decreases.
    std::uint64_t version_ = 0;
    /// Whether that version takes this agent's failure domain or target out of service.
    bool out_ = false;
    /// Set on shutdown; never reset.
    bool leaving_ = false;
    /// Expiry of the lease to start tasks. Never decreases.
    Millis leaseUntil_;
    DedupTable dedup_;
    /// No task starts until then, since the target broke the connection of a call.
    Millis pausedUntil_;
    std::deque<PendingOrder> waiting_;
    std::map<std::uint64_t, RunningCall> running_;
    std::uint64_t nextCall_ = 1;
    /// Number of duplicate orders dropped.
    std::uint64_t repeats_ = 0;
};

/// Returns why no task may start now, or Ok.
Code startRejection(const AgentScheduler &scheduler, Millis now);

/// Applies a lease reply or notice of an entry.
/// @param sentAt when the agent sent the renewal, by its own clock
void applyLease(AgentScheduler &scheduler, Millis now, Millis sentAt, const LeaseGrant &lease, AgentSchedulerActions &actions);

/// Starts, queues or rejects each order.
void admitOrders(AgentScheduler &scheduler, Millis now, LinkRef link, Span<const Order> orders, AgentSchedulerActions &actions);

/// Records the outcome of a call and starts the next waiting task.
void finishCall(AgentScheduler &scheduler, Millis now, std::uint64_t call, const TaskOutcome &outcome, AgentSchedulerActions &actions);

/// Begins the shutdown: rejects all waiting orders, and no further task starts.
void leave(AgentScheduler &scheduler, Millis now, AgentSchedulerActions &actions);

/// Drops the waiting orders of a closed link; none of them starts.
void closeLink(AgentScheduler &scheduler, LinkRef link);

/// Rejects waiting orders that have expired or may not start now, and starts others in free slots.
void tick(AgentScheduler &scheduler, Millis now, AgentSchedulerActions &actions);

} // namespace ibiswall
