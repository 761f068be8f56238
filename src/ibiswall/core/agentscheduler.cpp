// Decides on each start by the lease, the configuration and the deduplication table.

#include <ibiswall/core/agentscheduler.hpp>

#include <algorithm>

namespace ibiswall {

namespace {

// How long nothing starts after the target has broken the connection of a call: a target that has crashed refuses connections by
// then, so that the next tasks are certain not to have run.
constexpr Millis brokenCallPause{50};

// Reports that this attempt has not started and never will; a later attempt may start.
void reject(AgentScheduler &scheduler, const PendingOrder &pending, Code code, AgentSchedulerActions &actions)
{
    markRejected(scheduler.dedup_, pending.order_.key_);
    actions.reports_.push_back({pending.link_, {pending.order_.key_, {TaskState::NotRun, code, {}}, pending.order_.attempt_}});
}

void rejectAll(AgentScheduler &scheduler, Code code, AgentSchedulerActions &actions)
{
    for (const PendingOrder &pending : scheduler.waiting_) {
        reject(scheduler, pending, code, actions);
    }
    scheduler.waiting_.clear();
}

bool hasFreeSlot(const AgentScheduler &scheduler, Millis now)
{
    return now >= scheduler.pausedUntil_ && scheduler.running_.size() < static_cast<std::size_t>(scheduler.slots_);
}

void start(AgentScheduler &scheduler, PendingOrder &&pending, AgentSchedulerActions &actions)
{
    const std::uint64_t call = scheduler.nextCall_++;
    scheduler.running_[call] = {pending.link_, pending.order_.key_, pending.order_.attempt_};
    StartCall action;
    action.call_ = call;
    action.key_ = pending.order_.key_;
    action.kind_ = std::move(pending.order_.kind_);
    action.payload_ = std::move(pending.order_.payload_);
    action.startBy_ = std::min(pending.startBy_, scheduler.leaseUntil_);
    actions.calls_.push_back(std::move(action));
}

// Starts waiting orders while slots are free.
void startWaiting(AgentScheduler &scheduler, Millis now, AgentSchedulerActions &actions)
{
    if (startRejection(scheduler, now) != Code::Ok) {
        return;
    }
    while (hasFreeSlot(scheduler, now) && !scheduler.waiting_.empty()) {
        PendingOrder pending = std::move(scheduler.waiting_.front());
        scheduler.waiting_.pop_front();
        if (pending.startBy_ < now) {
            reject(scheduler, pending, Code::DeadlinePassed, actions);
            continue;
        }
        start(scheduler, std::move(pending), actions);
    }
}

void rejectExpired(AgentScheduler &scheduler, Millis now, AgentSchedulerActions &actions)
{
    const auto hasExpired = [now](const PendingOrder &pending) {
        return pending.startBy_ < now;
    };
    for (const PendingOrder &pending : scheduler.waiting_) {
        if (hasExpired(pending)) {
            reject(scheduler, pending, Code::DeadlinePassed, actions);
        }
    }
    scheduler.waiting_.erase(std::remove_if(scheduler.waiting_.begin(), scheduler.waiting_.end(), hasExpired), scheduler.waiting_.end());
}

// Handles an order that was not recorded. A duplicate needs no reply: the report on its first copy was sent or will follow.
void rejectUnrecorded(AgentScheduler &scheduler, LinkRef link, const Order &order, Admission admission, AgentSchedulerActions &actions)
{
    if (admission == Admission::Full) {
        actions.reports_.push_back({link, {order.key_, {TaskState::NotRun, Code::Overloaded, {}}, order.attempt_}});
    } else if (admission == Admission::Started) {
        actions.reports_.push_back({link, {order.key_, {TaskState::MayHaveRun, Code::DuplicateStart, {}}, order.attempt_}});
    } else {
        ++scheduler.repeats_;
    }
}

} // namespace

Code startRejection(const AgentScheduler &scheduler, Millis now)
{
    if (scheduler.leaving_) {
        return Code::TargetDraining;
    }
    if (scheduler.out_) {
        return Code::OutOfService;
    }
    if (scheduler.leaseUntil_ <= now) {
        return Code::NoLease;
    }
    return Code::Ok;
}

void applyLease(AgentScheduler &scheduler, Millis now, Millis sentAt, const LeaseGrant &lease, AgentSchedulerActions &actions)
{
    if (lease.version_ >= scheduler.version_) {
        scheduler.version_ = lease.version_;
        scheduler.out_ = lease.out_;
    }
    scheduler.leaseUntil_ = std::max(scheduler.leaseUntil_, sentAt + lease.duration_);
    tick(scheduler, now, actions);
}

void admitOrders(AgentScheduler &scheduler, Millis now, LinkRef link, Span<const Order> orders, AgentSchedulerActions &actions)
{
    for (const Order &order : orders) {
        const Admission admission = admit(scheduler.dedup_, now, order.key_, order.attempt_);
        if (admission != Admission::Fresh) {
            rejectUnrecorded(scheduler, link, order, admission, actions);
            continue;
        }
        PendingOrder pending{link, order, now + order.startWithin_};
        const Code rejection = startRejection(scheduler, now);
        if (rejection != Code::Ok) {
            reject(scheduler, pending, rejection, actions);
        } else if (hasFreeSlot(scheduler, now) && scheduler.waiting_.empty()) {
            start(scheduler, std::move(pending), actions);
        } else if (scheduler.waiting_.size() >= scheduler.maxWaiting_) {
            reject(scheduler, pending, Code::Overloaded, actions);
        } else {
            scheduler.waiting_.push_back(std::move(pending));
        }
    }
}

void finishCall(AgentScheduler &scheduler, Millis now, std::uint64_t call, const TaskOutcome &outcome, AgentSchedulerActions &actions)
{
    const auto found = scheduler.running_.find(call);
    if (found == scheduler.running_.end()) {
        return;
    }
    const RunningCall &finished = found->second;
    if (outcome.state_ == TaskState::NotRun) {
        markRejected(scheduler.dedup_, finished.key_);
    }
    actions.reports_.push_back({finished.link_, {finished.key_, outcome, finished.attempt_}});
    scheduler.running_.erase(found);
    if (outcome.code_ == Code::ConnectionLost) {
        scheduler.pausedUntil_ = now + brokenCallPause;
    }
    startWaiting(scheduler, now, actions);
}

void leave(AgentScheduler &scheduler, Millis now, AgentSchedulerActions &actions)
{
    scheduler.leaving_ = true;
    tick(scheduler, now, actions);
}

void closeLink(AgentScheduler &scheduler, LinkRef link)
{
    const auto isOfLink = [link](const PendingOrder &pending) {
        return pending.link_ == link;
    };
    scheduler.waiting_.erase(std::remove_if(scheduler.waiting_.begin(), scheduler.waiting_.end(), isOfLink), scheduler.waiting_.end());
}

void tick(AgentScheduler &scheduler, Millis now, AgentSchedulerActions &actions)
{
    expire(scheduler.dedup_, now);
    const Code rejection = startRejection(scheduler, now);
    if (rejection != Code::Ok) {
        rejectAll(scheduler, rejection, actions);
        return;
    }
    rejectExpired(scheduler, now, actions);
    startWaiting(scheduler, now, actions);
}

} // namespace ibiswall
