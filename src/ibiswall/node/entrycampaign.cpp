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
    if (isHeldBack() && succession_.isLeaderRead(leadership_.leaderInfo().epoch_)) {
        return;
    }
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
        const auto epoch = static_cast<std::uint64_t>(item.revision_);
        if (!leaderNonce_.empty() && item.value_ == leaderNonce_) {
            // An earlier attempt succeeded, but its answer was lost.
            leaderNonce_.clear();
            startLeading(epoch, sentAt, false);
            return;
        }
        const LeaderNonce nonce = parseLeaderNonce(item.value_);
        succession_.onLeaderRead(epoch, nonce.leader_, nonce.incarnation_);
        if (leadership_.updateLeader({epoch, nonce.leader_}, bootClock())) {
            onLeaderChanged();
        } else if (isHeldBack()) {
            logEvent("lead.awaited", {{"epoch", logNumber(epoch)}, {"leader", std::string_view(nonce.leader_)}});
        } else if (leadership_.shouldCampaign(bootClock() - store_.health().lastAnsweredSentAt_, stop_.hasBegun(), bootClock())) {
            acquireLead(item.revision_);
        }
    });
}

void EntryNode::acquireLead(std::int64_t expected)
{
    if (succession_.registration() == 0) {
        return;
    }
    campaigning_ = true;
    leaderNonce_ = self_.name_ + ' ' + std::to_string(self_.incarnation_) + ' ' + std::to_string(nextNonce_++);
    platform::Transaction transaction;
    transaction.conditions_.push_back({keys::leader, expected});
    transaction.conditions_.push_back({keys::entries + self_.name_, succession_.registration()});
    transaction.writes_.push_back({keys::leader, leaderNonce_});
    const Millis sentAt = bootClock();
    store_.commit(transaction, [this, sentAt, expected](const platform::StoreResult &answer) {
        campaigning_ = false;
        if (answer.outcome_ == platform::StoreOutcome::Ok) {
            leaderNonce_.clear();
            startLeading(static_cast<std::uint64_t>(answer.revision_), sentAt, expected == 0);
        } else if (answer.outcome_ == platform::StoreOutcome::Conflict) {
            checkRegistration(answer.items_);
        }
    });
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

void EntryNode::startLeading(std::uint64_t epoch, Millis acquiredAt, bool first)
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
    hooks.leadershipLost_ = [this] {
        leadership_.release();
        boost::asio::post(io_, [this] {
            if (!leadership_.isLeader()) {
                leaderSession_.reset();
            }
        });
    };
    leaderSession_ = std::make_shared<LeaderSession>(io_, store_, hooks, epoch, acquiredAt, first, settings_.stateRetention_);
    leaderSession_->setConfig(config_, evacuatedDomains_);
    leaderSession_->setScheduling(settings_.scheduling_);
    leaderSession_->containQueues(contained_);
    leaderSession_->adoptInterference(interfering_);
    leaderSession_->start();
    onLeaderChanged();
    sendHeartbeats();
}

} // namespace ibiswall::node
