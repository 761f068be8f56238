// Planned handover of the leadership.

#include "handover.hpp"

namespace ibiswall::node {

HandoverOffer::HandoverOffer(HandoverSettings settings)
    : settings_(settings)
{
}

void HandoverOffer::designate(const std::string &successor, Millis now)
{
    if (!isActive()) {
        begunAt_ = now;
    }
    successor_ = successor;
}

void HandoverOffer::end()
{
    successor_.clear();
}

const std::string &HandoverOffer::successor() const
{
    return successor_;
}

bool HandoverOffer::isActive() const
{
    return !successor_.empty();
}

bool HandoverOffer::isOverdue(Millis now) const
{
    return isActive() && now > begunAt_ + settings_.limit_;
}

void HandoverOffer::onListSent(Millis now)
{
    listSentAt_ = now;
}

bool HandoverOffer::mayRemoveAgents(Millis now) const
{
    return listSentAt_ == Millis{0} || now > listSentAt_ + settings_.removalPause_;
}

PlannedTakeover::PlannedTakeover(HandoverSettings settings)
    : settings_(settings)
{
}

void PlannedTakeover::onLeaderHeartbeat(std::uint64_t epoch, bool designated, Millis sentAt)
{
    const bool outdated = epoch < epoch_ || (epoch == epoch_ && sentAt < heardAt_);
    if (outdated) {
        return;
    }
    const bool calledOff = epoch != epoch_ || !designated;
    epoch_ = epoch;
    heardAt_ = sentAt;
    designated_ = designated;
    if (calledOff) {
        requestedAt_ = {};
        agents_.reset();
    }
}

std::optional<HandoverRequestFrame> PlannedTakeover::takeRequest(Millis now)
{
    const bool isOpen = requestedAt_ != Millis{0} && now < requestedAt_ + settings_.requestInterval_;
    if (!designated_ || isOpen) {
        return std::nullopt;
    }
    requestedAt_ = now;
    return HandoverRequestFrame{epoch_, now};
}

bool PlannedTakeover::onList(const HandoverFrame &frame, Millis now)
{
    const bool answersRequest = designated_ && requestedAt_ != Millis{0} && frame.epoch_ == epoch_ && frame.requestedAt_ == requestedAt_;
    if (!answersRequest || now >= requestedAt_ + settings_.listValidity_) {
        return false;
    }
    agents_ = frame.agents_;
    listValidUntil_ = requestedAt_ + settings_.listValidity_;
    return true;
}

bool PlannedTakeover::isPrepared(std::uint64_t epoch, Millis now) const
{
    return agents_ && epoch == epoch_ && now < listValidUntil_;
}

std::optional<RegisteredAgents> PlannedTakeover::agentsAfter(std::uint64_t epoch, Millis now) const
{
    return isPrepared(epoch, now) ? agents_ : std::nullopt;
}

} // namespace ibiswall::node
