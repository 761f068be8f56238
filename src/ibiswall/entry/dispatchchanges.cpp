// Configuration changes in the dispatch loop: plans, confirmations, lease grants, and the status of the other entries.

#include "dispatchloop.hpp"

#include "views.hpp"

#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view component = "entry.changes";
constexpr std::size_t maxRecentChanges = 10000;
constexpr std::size_t changesPerFrame = 500;
constexpr Millis queryInterval{400};
constexpr Millis acceptanceTimeout{5000};
constexpr int httpOk = 200;

std::string describeStoredChange(const Change &storedChange)
{
    return storedChange.who_ + " was first with version " + std::to_string(storedChange.version_) + ": " + describe(storedChange.intent_);
}

} // namespace

std::vector<TargetPlace> DispatchLoop::announcedTargets() const
{
    std::vector<TargetPlace> places;
    for (const auto &[ref, agent] : dispatcher_.agentPool_.agents_) {
        places.push_back(agent.info_.place_);
    }
    return places;
}

void DispatchLoop::onMessage(const PlanRequest &request)
{
    const auto plan = makePlan(dispatcher_.configuration_, request.intent_, announcedTargets());
    if (plan.has_error()) {
        replyError(request.caller_, plan.error());
        return;
    }
    reply(request.caller_, jsonReply(httpOk, formatPlan(plan.value())));
}

void DispatchLoop::onMessage(const ConfirmRequest &request)
{
    const Confirmation &confirmation = request.confirmation_;
    auto change = confirmPlan(dispatcher_.configuration_, confirmation.intent_, confirmation.baseVersion_, confirmation.digest_);
    if (change.has_error()) {
        Error error = change.error();
        if (error.code_ == Code::StalePlan) {
            error.text_ += describeSince(recentChanges_, confirmation.baseVersion_);
        }
        replyError(request.caller_, error);
        return;
    }
    if (!canAccept(configQuorum_, bootClock())) {
        replyError(request.caller_, {Code::NoMajority, "nothing was written"});
        return;
    }
    change.value().who_ = confirmation.who_;
    change.value().why_ = confirmation.why_;
    change.value().when_ = wallClock();
    change.value().changeId_ = format(issueId(dispatcher_, {bootClock(), wallClock()}));
    if (!hooks_.sendToPlatform_({request.caller_, std::move(change).value()})) {
        replyError(request.caller_, {Code::Overloaded, "too many confirmations at a time"});
    }
}

void DispatchLoop::onMessage(ChangeLogRead &&message)
{
    applyChanges(message.changes_);
    if (message.complete_) {
        recordPlatformRead(configQuorum_, message.startedAt_);
    } else if (!message.ok_) {
        recordPlatformFailure(configQuorum_, message.startedAt_);
    }
}

void DispatchLoop::applyChanges(Span<const Change> changes)
{
    const std::uint64_t before = dispatcher_.configuration_.version_;
    for (const Change &change : changes) {
        applyChange(change);
    }
    if (dispatcher_.configuration_.version_ != before) {
        notifyAgents();
        updateCaughtUp(configQuorum_, dispatcher_.configuration_.version_);
    }
}

void DispatchLoop::applyChange(const Change &change)
{
    DispatchActions actions;
    if (!applyConfigurationChange(dispatcher_, {bootClock(), wallClock()}, change, actions)) {
        return;
    }
    log(LogLevel::Info, component,
        "version " + std::to_string(change.version_) + " in force: " + describe(change.intent_) + ", by " + change.who_);
    recentChanges_.push_back(change);
    if (recentChanges_.size() > maxRecentChanges) {
        recentChanges_.pop_front();
    }
    execute(actions);
}

void DispatchLoop::onMessage(const WriteReply &message)
{
    const Change &change = message.change_;
    switch (message.outcome_.code_) {
    case Code::Ok:
        awaitAcceptance(message);
        return;
    case Code::LostRace:
        replyError(message.caller_, {Code::LostRace, describeStoredChange(message.outcome_.storedChange_)});
        return;
    default:
        replyError(message.caller_,
                   {message.outcome_.code_, "version " + std::to_string(change.version_) + ": " + describe(change.intent_)});
    }
}

LeaseGrant DispatchLoop::makeLeaseGrant(const Agent &agent, std::uint64_t renewal, Millis duration) const
{
    const TargetPlace &place = agent.info_.place_;
    return {renewal, dispatcher_.configuration_.version_, isOut(dispatcher_.configuration_, place.domain_, place.target_), duration};
}

void DispatchLoop::notifyAgents()
{
    for (const auto &[ref, agent] : dispatcher_.agentPool_.agents_) {
        links_.send(ref, encode(makeLeaseGrant(agent, 0, {0})));
    }
}

void DispatchLoop::onFrame(LinkId link, const PeerStatusRequest &statusRequest)
{
    const auto sender = entryLinks_.find(link);
    if (sender == entryLinks_.end() || !checkRequester(configQuorum_, sender->second)) {
        log(LogLevel::Warning, component, "link " + std::to_string(link) + " closed: status request from an unknown or replaced entry");
        links_.close(link);
        return;
    }
    const std::uint64_t version = dispatcher_.configuration_.version_;
    if (statusRequest.version_ < version) {
        links_.send(link, encode(changesAfter(statusRequest.version_)));
    }
    links_.send(link, encode(PeerStatusReply{statusRequest.number_, version, configQuorum_.caughtUp_}));
}

void DispatchLoop::onFrame(LinkId link, const PeerChanges &changes)
{
    if (entryLinks_.count(link) == 0) {
        links_.close(link);
        return;
    }
    applyChanges(changes.changes_);
}

void DispatchLoop::onPeerStatus(const std::string &peer, const PeerStatus &status)
{
    recordPeerStatus(configQuorum_, peer, status, dispatcher_.configuration_.version_);
    if (status.version_ < dispatcher_.configuration_.version_) {
        peers_.sendChanges(peer, changesAfter(status.version_));
    }
    resolveConfirmations(bootClock());
}

PeerChanges DispatchLoop::changesAfter(std::uint64_t version) const
{
    PeerChanges out;
    if (recentChanges_.empty() || version + 1 < recentChanges_.front().version_) {
        return out;
    }
    for (std::size_t i = version + 1 - recentChanges_.front().version_; i < recentChanges_.size() && out.changes_.size() < changesPerFrame;
         ++i) {
        out.changes_.push_back(recentChanges_[i]);
    }
    return out;
}

// Queries at every tick while a confirmation is pending, so that it is answered sooner.
void DispatchLoop::queryPeers(Millis now)
{
    if (pendingConfirmations_.empty() && now < lastQueryAt_ + queryInterval) {
        return;
    }
    lastQueryAt_ = now;
    peers_.queryStatus(dispatcher_.configuration_.version_);
}

void DispatchLoop::resolveConfirmations(Millis now)
{
    const std::uint64_t version = dispatcher_.configuration_.version_;
    for (auto it = pendingConfirmations_.begin(); it != pendingConfirmations_.end();) {
        const PendingConfirmation &pending = it->second;
        if (isAccepted(configQuorum_, version, it->first, now)) {
            reply(pending.caller_, jsonReply(httpOk, formatChange(pending.change_)));
        } else if (now >= pending.deadline_) {
            replyError(
                pending.caller_,
                {Code::Unconfirmed, "version " + std::to_string(it->first) + " is written, but too few entries are known to have it"});
        } else {
            ++it;
            continue;
        }
        it = pendingConfirmations_.erase(it);
    }
}

void DispatchLoop::awaitAcceptance(const WriteReply &message)
{
    const Millis now = bootClock();
    applyChanges(Span<const Change>(&message.change_, 1));
    pendingConfirmations_[message.change_.version_] = {message.caller_, message.change_, now + acceptanceTimeout};
    peers_.broadcastChanges({{message.change_}});
    queryPeers(now);
    resolveConfirmations(now);
}

} // namespace ibiswall
