// Judges each start by the grant, the configuration and the tasks seen before.

#include <ibiswall/core/gate.hpp>

#include <algorithm>

namespace ibiswall {

namespace {

// Reports that an order has not started and never will; only the next attempt may.
void refuse(Gate &gate, const PendingOrder &pending, Code code, GateActions &actions)
{
    markRefused(gate.seen_, pending.order_.key_);
    actions.reports_.push_back({pending.link_, {pending.order_.key_, {TaskState::NotRun, code, {}}, pending.order_.attempt_}});
}

void refuseAll(Gate &gate, Code code, GateActions &actions)
{
    for (const PendingOrder &pending : gate.waiting_) {
        refuse(gate, pending, code, actions);
    }
    gate.waiting_.clear();
}

bool hasFreeSlot(const Gate &gate)
{
    return gate.running_.size() < static_cast<std::size_t>(gate.slots_);
}

void start(Gate &gate, PendingOrder &&pending, GateActions &actions)
{
    const std::uint64_t call = gate.nextCall_++;
    gate.running_[call] = {pending.link_, pending.order_.key_, pending.order_.attempt_};
    StartCall action;
    action.call_ = call;
    action.key_ = pending.order_.key_;
    action.kind_ = std::move(pending.order_.kind_);
    action.payload_ = std::move(pending.order_.payload_);
    action.startBy_ = std::min(pending.startBy_, gate.grantUntil_);
    actions.calls_.push_back(std::move(action));
}

// Starts waiting orders while slots are free.
void startWaiting(Gate &gate, Millis now, GateActions &actions)
{
    if (startRefusal(gate, now) != Code::Ok) {
        return;
    }
    while (hasFreeSlot(gate) && !gate.waiting_.empty()) {
        PendingOrder pending = std::move(gate.waiting_.front());
        gate.waiting_.pop_front();
        if (pending.startBy_ < now) {
            refuse(gate, pending, Code::DeadlinePassed, actions);
            continue;
        }
        start(gate, std::move(pending), actions);
    }
}

void refuseLate(Gate &gate, Millis now, GateActions &actions)
{
    const auto late = [now](const PendingOrder &pending) {
        return pending.startBy_ < now;
    };
    for (const PendingOrder &pending : gate.waiting_) {
        if (late(pending)) {
            refuse(gate, pending, Code::DeadlinePassed, actions);
        }
    }
    gate.waiting_.erase(std::remove_if(gate.waiting_.begin(), gate.waiting_.end(), late), gate.waiting_.end());
}

// Answers an order that was not recorded. A repeated one has its report on the way already.
void turnAway(Gate &gate, LinkRef link, const Order &order, Admission admission, GateActions &actions)
{
    if (admission == Admission::Full) {
        actions.reports_.push_back({link, {order.key_, {TaskState::NotRun, Code::Overloaded, {}}, order.attempt_}});
    } else if (admission == Admission::Started) {
        actions.reports_.push_back({link, {order.key_, {TaskState::MayHaveRun, Code::DuplicateStart, {}}, order.attempt_}});
    } else {
        ++gate.repeats_;
    }
}

} // namespace

Code startRefusal(const Gate &gate, Millis now)
{
    if (gate.leaving_) {
        return Code::TargetDraining;
    }
    if (gate.out_) {
        return Code::OutOfService;
    }
    if (gate.grantUntil_ <= now) {
        return Code::NoLease;
    }
    return Code::Ok;
}

void takeGrant(Gate &gate, Millis now, Millis sentAt, const Grant &grant, GateActions &actions)
{
    if (grant.version_ >= gate.version_) {
        gate.version_ = grant.version_;
        gate.out_ = grant.out_;
    }
    gate.grantUntil_ = std::max(gate.grantUntil_, sentAt + grant.length_);
    tick(gate, now, actions);
}

void takeOrders(Gate &gate, Millis now, LinkRef link, Span<const Order> orders, GateActions &actions)
{
    for (const Order &order : orders) {
        const Admission admission = admit(gate.seen_, now, order.key_, order.attempt_);
        if (admission != Admission::Fresh) {
            turnAway(gate, link, order, admission, actions);
            continue;
        }
        PendingOrder pending{link, order, now + order.startWithin_};
        const Code refusal = startRefusal(gate, now);
        if (refusal != Code::Ok) {
            refuse(gate, pending, refusal, actions);
        } else if (hasFreeSlot(gate) && gate.waiting_.empty()) {
            start(gate, std::move(pending), actions);
        } else if (gate.waiting_.size() >= gate.maxWaiting_) {
            refuse(gate, pending, Code::Overloaded, actions);
        } else {
            gate.waiting_.push_back(std::move(pending));
        }
    }
}

void finishCall(Gate &gate, Millis now, std::uint64_t call, const TaskOutcome &outcome, GateActions &actions)
{
    const auto found = gate.running_.find(call);
    if (found == gate.running_.end()) {
        return;
    }
    const RunningCall &ended = found->second;
    if (outcome.state_ == TaskState::NotRun) {
        markRefused(gate.seen_, ended.key_);
    }
    actions.reports_.push_back({ended.link_, {ended.key_, outcome, ended.attempt_}});
    gate.running_.erase(found);
    startWaiting(gate, now, actions);
}

void leave(Gate &gate, Millis now, GateActions &actions)
{
    gate.leaving_ = true;
    tick(gate, now, actions);
}

void closeLink(Gate &gate, LinkRef link)
{
    const auto ofLink = [link](const PendingOrder &pending) {
        return pending.link_ == link;
    };
    gate.waiting_.erase(std::remove_if(gate.waiting_.begin(), gate.waiting_.end(), ofLink), gate.waiting_.end());
}

void tick(Gate &gate, Millis now, GateActions &actions)
{
    expire(gate.seen_, now);
    const Code refusal = startRefusal(gate, now);
    if (refusal != Code::Ok) {
        refuseAll(gate, refusal, actions);
        return;
    }
    refuseLate(gate, now, actions);
    startWaiting(gate, now, actions);
}

} // namespace ibiswall
