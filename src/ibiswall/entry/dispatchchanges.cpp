// The part of the dispatch duty about the configuration: plans, confirmations, changes, grants, and the other entries' words.

#include "dispatchduty.hpp"

#include "views.hpp"

#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view part = "entry.changes";
constexpr std::size_t maxAudit = 10000;
constexpr std::size_t changesPerFrame = 500;
constexpr Millis askInterval{400};
constexpr Millis acceptTimeout{5000};
constexpr int httpOk = 200;

std::string describeWinner(const Change &winner)
{
    return winner.who_ + " was first with version " + std::to_string(winner.version_) + ": " + describe(winner.intent_);
}

} // namespace

std::vector<TargetPlace> DispatchDuty::announced() const
{
    std::vector<TargetPlace> places;
    for (const auto &[ref, agent] : dispatcher_.fleet_.agents_) {
        places.push_back(agent.info_.place_);
    }
    return places;
}

void DispatchDuty::on(const PlanRequest &request)
{
    const auto plan = makePlan(dispatcher_.configuration_, request.intent_, announced());
    if (plan.has_error()) {
        replyError(request.caller_, plan.error());
        return;
    }
    reply(request.caller_, jsonReply(httpOk, formatPlan(plan.value())));
}

void DispatchDuty::on(const ConfirmRequest &request)
{
    const Confirmation &confirmation = request.confirmation_;
    auto change = confirmPlan(dispatcher_.configuration_, confirmation.intent_, confirmation.baseVersion_, confirmation.digest_);
    if (change.has_error()) {
        Error error = change.error();
        if (error.code_ == Code::StalePlan) {
            error.text_ += describeSince(audit_, confirmation.baseVersion_);
        }
        replyError(request.caller_, error);
        return;
    }
    if (!canAccept(electorate_, bootClock())) {
        replyError(request.caller_, {Code::NoMajority, "nothing was written"});
        return;
    }
    change.value().who_ = confirmation.who_;
    change.value().why_ = confirmation.why_;
    change.value().when_ = wallClock();
    change.value().changeId_ = format(issueId(dispatcher_, {bootClock(), wallClock()}));
    if (!outlets_.platform_({request.caller_, std::move(change).value()})) {
        replyError(request.caller_, {Code::Overloaded, "too many confirmations at a time"});
    }
}

void DispatchDuty::on(LogRead &&message)
{
    applyChanges(message.changes_);
    if (message.complete_) {
        notePlatformRead(electorate_, message.began_);
    } else if (!message.ok_) {
        notePlatformFailure(electorate_, message.began_);
    }
}

void DispatchDuty::applyChanges(Span<const Change> changes)
{
    const std::uint64_t before = dispatcher_.configuration_.version_;
    for (const Change &change : changes) {
        applyChange(change);
    }
    if (dispatcher_.configuration_.version_ != before) {
        notifyAgents();
        settle(electorate_, dispatcher_.configuration_.version_);
    }
}

void DispatchDuty::applyChange(const Change &change)
{
    DispatchActions actions;
    if (!takeChange(dispatcher_, {bootClock(), wallClock()}, change, actions)) {
        return;
    }
    log(LogLevel::Info, part,
        "version " + std::to_string(change.version_) + " in force: " + describe(change.intent_) + ", by " + change.who_);
    audit_.push_back(change);
    if (audit_.size() > maxAudit) {
        audit_.pop_front();
    }
    act(actions);
}

void DispatchDuty::on(const WriteReply &message)
{
    const Change &change = message.change_;
    switch (message.outcome_.code_) {
    case Code::Ok:
        awaitAcceptance(message);
        return;
    case Code::LostRace:
        replyError(message.caller_, {Code::LostRace, describeWinner(message.outcome_.storedChange_)});
        return;
    default:
        replyError(message.caller_,
                   {message.outcome_.code_, "version " + std::to_string(change.version_) + ": " + describe(change.intent_)});
    }
}

Grant DispatchDuty::makeGrant(const Agent &agent, std::uint64_t renewal, Millis length) const
{
    const TargetPlace &place = agent.info_.place_;
    return {renewal, dispatcher_.configuration_.version_, isOut(dispatcher_.configuration_, place.domain_, place.target_), length};
}

void DispatchDuty::notifyAgents()
{
    for (const auto &[ref, agent] : dispatcher_.fleet_.agents_) {
        links_.send(ref, encode(makeGrant(agent, 0, {0})));
    }
}

void DispatchDuty::onFrame(LinkId link, const PeerStatusRequest &question)
{
    const auto asker = entryLinks_.find(link);
    if (asker == entryLinks_.end() || !admitAsker(electorate_, asker->second)) {
        log(LogLevel::Warning, part, "link " + std::to_string(link) + " closed: question of an unknown or replaced entry");
        links_.close(link);
        return;
    }
    const std::uint64_t version = dispatcher_.configuration_.version_;
    if (question.version_ < version) {
        links_.send(link, encode(changesAfter(question.version_)));
    }
    links_.send(link, encode(PeerStatusReply{question.number_, version, electorate_.settled_}));
}

void DispatchDuty::onFrame(LinkId link, const PeerChanges &changes)
{
    if (entryLinks_.count(link) == 0) {
        links_.close(link);
        return;
    }
    applyChanges(changes.changes_);
}

void DispatchDuty::on(const std::string &peer, const PeerWord &word)
{
    noteWord(electorate_, peer, word, dispatcher_.configuration_.version_);
    if (word.version_ < dispatcher_.configuration_.version_) {
        peers_.pass(peer, changesAfter(word.version_));
    }
    answerConfirms(bootClock());
}

PeerChanges DispatchDuty::changesAfter(std::uint64_t version) const
{
    PeerChanges out;
    if (audit_.empty() || version + 1 < audit_.front().version_) {
        return out;
    }
    for (std::size_t i = version + 1 - audit_.front().version_; i < audit_.size() && out.changes_.size() < changesPerFrame; ++i) {
        out.changes_.push_back(audit_[i]);
    }
    return out;
}

// Asks more often while a confirmation waits for the words.
void DispatchDuty::askPeers(Millis now)
{
    if (pendingConfirms_.empty() && now < askedAt_ + askInterval) {
        return;
    }
    askedAt_ = now;
    peers_.ask(dispatcher_.configuration_.version_);
}

void DispatchDuty::answerConfirms(Millis now)
{
    const std::uint64_t version = dispatcher_.configuration_.version_;
    for (auto it = pendingConfirms_.begin(); it != pendingConfirms_.end();) {
        const PendingConfirm &pending = it->second;
        if (isAccepted(electorate_, version, it->first, now)) {
            reply(pending.caller_, jsonReply(httpOk, formatChange(pending.change_)));
        } else if (now >= pending.giveUpAt_) {
            replyError(
                pending.caller_,
                {Code::Unconfirmed, "version " + std::to_string(it->first) + " is written, but too few entries are known to have it"});
        } else {
            ++it;
            continue;
        }
        it = pendingConfirms_.erase(it);
    }
}

void DispatchDuty::awaitAcceptance(const WriteReply &message)
{
    const Millis now = bootClock();
    applyChanges(Span<const Change>(&message.change_, 1));
    pendingConfirms_[message.change_.version_] = {message.caller_, message.change_, now + acceptTimeout};
    peers_.passToAll({{message.change_}});
    askPeers(now);
    answerConfirms(now);
}

} // namespace ibiswall
