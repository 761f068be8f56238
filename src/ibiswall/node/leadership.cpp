// Leader election among the entries of a cell.

#include "leadership.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace ibiswall::node {

Leadership::Leadership(std::string self, std::int64_t millicores, LeadershipSettings settings)
    : self_(std::move(self))
    , millicores_(millicores)
    , settings_(settings)
{
}

bool Leadership::updateLeader(const LeaderInfo &info, Millis now)
{
    if (info.epoch_ <= leaderInfo_.epoch_) {
        return false;
    }
    leaderInfo_ = info;
    leaderClock_ = {};
    lastContactAt_ = now + settings_.startupGrace_ - settings_.peerTimeout_;
    return true;
}

bool Leadership::onHeartbeat(const std::string &from, const HeartbeatFrame &heartbeat, Millis now)
{
    const auto [entry, added] = others_.try_emplace(from);
    OtherEntry &other = entry->second;
    const bool changed = added || other.leaving_ != heartbeat.leaving_ || other.accepting_ != heartbeat.accepting_;
    if (!isAlive(other, now)) {
        other.upSince_ = now;
    }
    const bool steppedDownBefore = other.steppedDown_ && other.epoch_ == heartbeat.epoch_;
    other.steppedDownAt_ = !heartbeat.steppedDown_ ? Millis{0} : steppedDownBefore ? other.steppedDownAt_ : now;
    other.lastContactAt_ = now;
    other.storeAge_ = heartbeat.storeAge_;
    other.leaving_ = heartbeat.leaving_;
    other.accepting_ = heartbeat.accepting_;
    other.steppedDown_ = heartbeat.steppedDown_;
    other.millicores_ = heartbeat.millicores_;
    other.holdOffFrom_ = heartbeat.holdOffFrom_;
    other.epoch_ = heartbeat.epoch_;
    other.interval_ = heartbeat.nextIn_;
    updateLeader({heartbeat.epoch_, heartbeat.leader_}, now);
    if (heartbeat.epoch_ != leaderInfo_.epoch_) {
        return changed;
    }
    lastContactAt_ = {std::max(lastContactAt_.count_, (now - heartbeat.leaderAge_).count_)};
    if (from == leaderInfo_.leader_) {
        const bool reliesOnHoldOff = !heartbeat.steppedDown_ && heartbeat.successor_.empty();
        leaderClock_ = reliesOnHoldOff ? heartbeat.sentAt_ : Millis{0};
    }
    return changed;
}

bool Leadership::isAlive(const OtherEntry &other, Millis now) const
{
    return now <= other.lastContactAt_ + settings_.peerTimeout_ - settings_.frequentHeartbeat_ + other.interval_;
}

bool Leadership::isLikelySuccessor(Millis now) const
{
    const auto before = std::count_if(others_.begin(), others_.end(), [&](const auto &each) {
        const auto &[name, other] = each;
        return name != leaderInfo_.leader_ && isAlive(other, now) && !other.leaving_ && other.accepting_
            && std::pair(-other.millicores_, name) < std::pair(-millicores_, self_);
    });
    return static_cast<std::size_t>(before) < settings_.likelySuccessors_;
}

Millis Leadership::heartbeatInterval(const std::string &to, Millis now) const
{
    const bool frequent = isLeader() || to == leaderInfo_.leader_ || isLikelySuccessor(now);
    return frequent ? settings_.frequentHeartbeat_ : settings_.rareHeartbeat_;
}

// Whether the other entry could become the leader, judging by its last heartbeat.
bool Leadership::isEligible(const OtherEntry &other, Millis now) const
{
    return isAlive(other, now) && !other.leaving_ && other.accepting_ && other.storeAge_ <= settings_.maxCandidateStoreAge_;
}

bool Leadership::shouldCampaign(Millis storeAge, bool leaving, Millis now) const
{
    if (isLeader() || storeAge > settings_.maxCandidateStoreAge_) {
        return false;
    }
    std::int64_t rank = 0;
    for (const auto &[name, other] : others_) {
        if (name == leaderInfo_.leader_ || !isEligible(other, now)) {
            continue;
        }
        if (leaving) {
            return false;
        }
        rank += std::pair(-other.millicores_, name) < std::pair(-millicores_, self_) ? 1 : 0;
    }
    const Millis rankDelay{settings_.rankDelay_.count_ * rank};
    if (leaderInfo_.epoch_ == 0) {
        return true;
    }
    if (leaderInfo_.leader_ == self_ && acquiredEpoch_ == 0) {
        // An earlier incarnation of this process was the leader.
        return true;
    }
    const auto leader = others_.find(leaderInfo_.leader_);
    if (leader != others_.end() && isAlive(leader->second, now)) {
        if (leader->second.steppedDown_) {
            return now >= leader->second.steppedDownAt_ + rankDelay;
        }
    }
    return now > lastContactAt_ + settings_.peerTimeout_ + rankDelay;
}

Millis Leadership::heldOffUntil(const std::set<std::string> &entries) const
{
    Millis from{std::numeric_limits<std::int64_t>::max() / 2};
    for (const std::string &name : entries) {
        const auto found = others_.find(name);
        const bool heldOff = found != others_.end() && found->second.epoch_ == leaderInfo_.epoch_;
        from = {std::min(from.count_, heldOff ? found->second.holdOffFrom_.count_ : 0)};
    }
    return from + settings_.holdOff_;
}

bool Leadership::hasSuccessor(Millis now) const
{
    std::int64_t reachable = millicores_;
    std::int64_t successors = 0;
    for (const auto &[name, other] : others_) {
        if (!isAlive(other, now)) {
            continue;
        }
        reachable += other.millicores_;
        const bool leavesFirst = other.leaving_ && std::tie(other.millicores_, name) < std::tie(millicores_, self_);
        successors += other.accepting_ && !leavesFirst ? other.millicores_ : 0;
    }
    return successors * 2 >= reachable;
}

EntryCounts Leadership::countOthers(Millis now) const
{
    EntryCounts counts;
    for (const auto &[name, other] : others_) {
        ++counts.known_;
        if (!isAlive(other, now)) {
            continue;
        }
        ++counts.reachable_;
        counts.leaving_ += other.leaving_ ? 1 : 0;
        counts.accepting_ += other.accepting_ ? 1 : 0;
        counts.oldestHeartbeat_ = {std::max(counts.oldestHeartbeat_.count_, (now - other.lastContactAt_).count_)};
    }
    return counts;
}

bool Leadership::shouldStepDown(const StoreContact &store, Departure departure, Millis now) const
{
    return !successor(store, departure, now).empty();
}

std::string Leadership::successor(const StoreContact &store, Departure departure, Millis now) const
{
    std::pair<std::int64_t, std::string> first;
    const bool storeLost = store.age_ > settings_.maxLeaderStoreAge_ && store.unansweredSince_ != Millis{0};
    for (const auto &[name, other] : others_) {
        if (!isEligible(other, now)) {
            continue;
        }
        // When the store answers nobody, the other entries' last answers still look recent for a while. Only an answer later
        // than this leader's unanswered call shows that they reach the store.
        const bool answeredLater = other.lastContactAt_ - other.storeAge_ > store.unansweredSince_ + settings_.clockTolerance_;
        const bool isStronger = static_cast<double>(other.millicores_) >= settings_.minCpuRatio_ * static_cast<double>(millicores_);
        const bool isWeaker = static_cast<double>(millicores_) >= settings_.minCpuRatio_ * static_cast<double>(other.millicores_);
        const bool isEstablished = now >= other.upSince_ + settings_.minUptime_;
        const bool leaving = departure == Departure::Closing || (departure == Departure::Accepting && isEstablished && !isWeaker);
        const std::pair rank(-other.millicores_, name);
        if ((leaving || (storeLost && answeredLater) || (isStronger && isEstablished)) && (first.second.empty() || rank < first)) {
            first = rank;
        }
    }
    return first.second;
}

bool Leadership::shouldResume(Millis steppedDownAt, Millis now) const
{
    return isLeader() && now > steppedDownAt + settings_.resumeDelay_;
}

Millis Leadership::holdOffFrom() const
{
    return leaderClock_;
}

std::int64_t Leadership::millicores() const
{
    return millicores_;
}

bool Leadership::isLeader() const
{
    return acquiredEpoch_ != 0 && acquiredEpoch_ == leaderInfo_.epoch_;
}

void Leadership::acquire(std::uint64_t epoch, Millis now)
{
    updateLeader({epoch, self_}, now);
    acquiredEpoch_ = epoch;
}

void Leadership::release()
{
    acquiredEpoch_ = 0;
}

const LeaderInfo &Leadership::leaderInfo() const
{
    return leaderInfo_;
}

Millis Leadership::leaderAge(Millis now) const
{
    return isLeader() ? Millis{0} : now - lastContactAt_;
}

} // namespace ibiswall::node
