// Campaigns of an entry for the leadership, and the start of its leader session.

#include "entrynode.hpp"

#include "keys.hpp"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <ibiswall/log/eventlog.hpp>
#include <sstream>

namespace ibiswall::node {

namespace {

/// Value of the leader key: the leader, its incarnation, and a number that tells its attempts apart.
struct LeaderNonce
{
    std::string leader_;
    /// 0 if the value does not name it.
    std::int64_t incarnation_ = 0;
};

LeaderNonce parseLeaderNonce(const std::string &value)
{
    std::istringstream in(value);
    LeaderNonce nonce;
    in >> nonce.leader_ >> nonce.incarnation_;
    return nonce;
}

} // namespace

void EntryNode::maybeCampaign()
{
    const Millis now = bootClock();
    if (campaigning_ || !configured_) {
        return;
    }
    if (!leadership_.shouldCampaign(now - store_.health().lastAnsweredSentAt_, stop_.hasBegun(), now)) {
        return;
    }
    const std::uint64_t epoch = leadership_.leaderInfo().epoch_;
    if (isHeldBack() && succession_.isLeaderRead(epoch)) {
        return;
    }
    // The read leaves time to hear of the leader after all. Without it, an entry that received nothing because of a one-way cut replaced a
    // sound leader (a day with a slow store: 0.59 of its worth served instead of 0.71).
    readLeader();
}

// Whether a leader that does not know of this entry may still be acting. An earlier incarnation of this process is not.
bool EntryNode::isHeldBack() const
{
    const LeaderInfo &info = leadership_.leaderInfo();
    return info.leader_ != self_.name_ && succession_.mustWait(info.epoch_, bootClock());
}

void EntryNode::readLeader()
{
    campaigning_ = true;
    const Millis sentAt = bootClock();
    store_.get(keys::leader, [this, sentAt](const platform::StoreResult &answer) {
        campaigning_ = false;
        if (answer.outcome_ == platform::StoreOutcome::NotFound) {
            acquireLead(0);
            return;
        }
        if (answer.outcome_ != platform::StoreOutcome::Ok || answer.items_.empty()) {
            return;
        }
        const platform::Item &item = answer.items_.front();
        if (onLeaderItem(item, sentAt)) {
            return;
        }
        const Millis now = bootClock();
        const LeaderInfo &info = leadership_.leaderInfo();
        if (isHeldBack()) {
            logEvent("lead.awaited", {{"epoch", logNumber(info.epoch_)}, {"leader", std::string_view(info.leader_)}});
        } else if (leadership_.shouldCampaign(now - store_.health().lastAnsweredSentAt_, stop_.hasBegun(), now)
                   || takeover_.isPrepared(info.epoch_, now)) {
            acquireLead(item.revision_);
        }
    });
}

// Applies the leader key as it is in the store.
// @return whether it names this entry as the leader, or a leader that was not known
bool EntryNode::onLeaderItem(const platform::Item &item, Millis sentAt)
{
    const auto epoch = static_cast<std::uint64_t>(item.revision_);
    if (!leaderNonce_.empty() && item.value_ == leaderNonce_) {
        // An earlier attempt succeeded, but its answer was lost.
        leaderNonce_.clear();
        startLeading(epoch, sentAt, replacedRevision_);
        return true;
    }
    const LeaderNonce nonce = parseLeaderNonce(item.value_);
    succession_.onLeaderRead(epoch, nonce.leader_, nonce.incarnation_);
    if (leadership_.updateLeader({epoch, nonce.leader_}, bootClock())) {
        onLeaderChanged();
        return true;
    }
    return false;
}

void EntryNode::acquireLead(std::int64_t expected)
{
    if (succession_.registration() == 0) {
        return;
    }
    campaigning_ = true;
    leaderNonce_ = self_.name_ + ' ' + std::to_string(self_.incarnation_) + ' ' + std::to_string(nextNonce_++);
    replacedRevision_ = expected;
    platform::Transaction transaction;
    transaction.conditions_.push_back({keys::leader, expected});
    transaction.conditions_.push_back({keys::entries + self_.name_, succession_.registration()});
    transaction.writes_.push_back({keys::leader, leaderNonce_});
    const Millis sentAt = bootClock();
    store_.commit(transaction, [this, sentAt, expected](const platform::StoreResult &answer) {
        campaigning_ = false;
        if (answer.outcome_ == platform::StoreOutcome::Ok) {
            leaderNonce_.clear();
            startLeading(static_cast<std::uint64_t>(answer.revision_), sentAt, expected);
        } else if (answer.outcome_ == platform::StoreOutcome::Conflict) {
            onAcquireConflict(answer.items_, sentAt);
        }
    });
}

// The transaction was not carried out: another leader is known to the store, or the registration of this entry has changed.
void EntryNode::onAcquireConflict(Span<const platform::Item> current, Millis sentAt)
{
    checkRegistration(current);
    const auto leader = std::find_if(current.begin(), current.end(), [](const platform::Item &item) { return item.key_ == keys::leader; });
    if (leader != current.end()) {
        onLeaderItem(*leader, sentAt);
        leaderNonce_.clear();
    }
}

// The registration of this entry may be the reason why a transaction was not carried out.
void EntryNode::checkRegistration(Span<const platform::Item> current)
{
    const std::string key = keys::entries + self_.name_;
    const bool registered = std::any_of(current.begin(), current.end(), [&](const platform::Item &item) {
        return item.key_ == key && item.revision_ == succession_.registration();
    });
    if (!registered) {
        succession_.onUnregistered();
        publishEntry();
    }
}

// Asks the leader for its list if it has designated this entry.
void EntryNode::requestHandover(Millis now)
{
    if (campaigning_ || leaderSession_ || !configured_ || stop_.hasBegun() || isHeldBack()) {
        return;
    }
    if (const auto request = takeover_.takeRequest(now)) {
        sendTo(leadership_.leaderInfo().leader_, *request);
    }
}

void EntryNode::onHandoverList(const std::string &from, const HandoverFrame &frame)
{
    const LeaderInfo &info = leadership_.leaderInfo();
    if (campaigning_ || stop_.hasBegun() || from != info.leader_ || frame.epoch_ != info.epoch_ || !takeover_.onList(frame, bootClock())) {
        return;
    }
    logEvent("lead.offered", {{"epoch", logNumber(frame.epoch_)}, {"agents", logNumber(frame.agents_.size())}});
    if (leaderNonce_.empty()) {
        acquireLead(static_cast<std::int64_t>(frame.epoch_));
    } else {
        readLeader();
    }
}

// At the leader: begins a handover, designates another entry if the successor has become unreachable, and steps down if nobody takes over.
void EntryNode::updateHandover(Millis now)
{
    if (!leaderSession_) {
        return;
    }
    if (leaderSession_->hasSteppedDown()) {
        if (leadership_.shouldResume(leaderSession_->steppedDownAt(), now)) {
            leaderSession_->resume();
        }
        return;
    }
    const std::string next = leadership_.successor(leaderSession_->storeContact(), stop_.departure(), now);
    if (!leaderSession_->isHandoverOverdue(now)) {
        if (!next.empty()) {
            leaderSession_->handOver(next);
        }
    } else if (next.empty()) {
        leaderSession_->cancelHandover();
    } else {
        leaderSession_->stepDown();
    }
}

void EntryNode::startLeading(std::uint64_t epoch, Millis acquiredAt, std::int64_t replaced)
{
    if (leaderSession_) {
        leaderSession_->stop();
    }
    leadership_.acquire(epoch, bootClock());
    LeaderSessionHooks hooks;
    hooks.send_ = [this](const std::string &name, const Frame &frame) {
        return sendTo(name, frame);
    };
    hooks.broadcast_ = [this](const Frame &frame) {
        broadcastToEntries(frame);
    };
    hooks.drop_ = [this](const std::string &name) {
        mesh_.drop(name);
    };
    hooks.reachableAgents_ = [this] {
        std::vector<std::string> agents;
        for (const Peer &peer : mesh_.reachable()) {
            if (!peer.isEntry_) {
                agents.push_back(peer.name_);
            }
        }
        return agents;
    };
    hooks.heldOffUntil_ = [this] {
        return std::min(leadership_.heldOffUntil(succession_.candidates()), succession_.registryValidUntil());
    };
    hooks.reached_ = [this](RecoveryStage stage) {
        reachStage(stage);
    };
    hooks.leadershipLost_ = [this] {
        leadership_.release();
        boost::asio::post(io_, [this] {
            if (!leadership_.isLeader()) {
                leaderSession_.reset();
            }
        });
    };
    leaderSession_ = std::make_shared<LeaderSession>(io_, store_, hooks, epoch, acquiredAt, replaced == 0, settings_.stateRetention_);
    leaderSession_->setConfig(config_, evacuatedDomains_);
    leaderSession_->setJobBudget(limits_.leaderJobs_);
    leaderSession_->setScheduling(settings_.scheduling_);
    leaderSession_->containQueues(contained_);
    leaderSession_->adoptInterference(interfering_);
    leaderSession_->start(takeover_.agentsAfter(static_cast<std::uint64_t>(replaced), bootClock()));
    onLeaderChanged();
    sendHeartbeats();
}

} // namespace ibiswall::node
