// When to take the lead.

#include "leadership.hpp"

#include <algorithm>
#include <limits>

namespace ibiswall::node {

Leadership::Leadership(std::string self, LeadershipSettings settings)
    : self_(std::move(self))
    , settings_(settings)
{
}

bool Leadership::learn(const Lead &lead, Millis now)
{
    if (lead.epoch_ <= lead_.epoch_) {
        return false;
    }
    lead_ = lead;
    leaderClock_ = {};
    heardAt_ = now + settings_.settle_ - settings_.silence_;
    return true;
}

void Leadership::heard(const std::string &from, const BeatFrame &beat, Millis now)
{
    others_[from] = {now, beat.storeAge_, beat.leaving_, beat.yielded_, beat.promisedFrom_, beat.epoch_};
    learn({beat.epoch_, beat.leader_}, now);
    if (beat.epoch_ != lead_.epoch_) {
        return;
    }
    heardAt_ = {std::max(heardAt_.count_, (now - beat.leaderAge_).count_)};
    if (from == lead_.leader_) {
        leaderClock_ = beat.yielded_ ? Millis{0} : beat.sentAt_;
    }
}

bool Leadership::isAlive(const Other &other, Millis now) const
{
    return now <= other.heardAt_ + settings_.silence_;
}

// Able to take the lead, as far as is known here.
bool Leadership::isAble(const Other &other, Millis now) const
{
    return isAlive(other, now) && !other.leaving_ && other.storeAge_ <= settings_.storeFresh_;
}

bool Leadership::shouldTake(Millis storeAge, bool leaving, Millis now) const
{
    if (isMine() || storeAge > settings_.storeFresh_) {
        return false;
    }
    std::int64_t rank = 0;
    for (const auto &[name, other] : others_) {
        if (name == lead_.leader_ || !isAble(other, now)) {
            continue;
        }
        if (leaving) {
            return false;
        }
        rank += name < self_ ? 1 : 0;
    }
    const Millis turn{settings_.turn_.count_ * rank};
    if (lead_.epoch_ == 0) {
        return true;
    }
    if (lead_.leader_ == self_ && taken_ == 0) {
        // Led by an earlier life of this process.
        return true;
    }
    const auto leader = others_.find(lead_.leader_);
    if (leader != others_.end() && isAlive(leader->second, now)) {
        if (leader->second.yielded_) {
            return rank == 0;
        }
    }
    return now > heardAt_ + settings_.silence_ + turn;
}

Millis Leadership::promisedUntil(const std::set<std::string> &entries) const
{
    Millis from{std::numeric_limits<std::int64_t>::max() / 2};
    for (const std::string &name : entries) {
        const auto found = others_.find(name);
        const bool promised = found != others_.end() && found->second.epoch_ == lead_.epoch_;
        from = {std::min(from.count_, promised ? found->second.promisedFrom_.count_ : 0)};
    }
    return from + settings_.promise_;
}

bool Leadership::hasHeir(Millis now) const
{
    return std::any_of(others_.begin(), others_.end(),
                       [&](const auto &each) { return isAlive(each.second, now) && !each.second.leaving_; });
}

bool Leadership::shouldLetGo(Millis storeAge, bool leaving, Millis now) const
{
    return (leaving || storeAge > settings_.storeLost_)
        && std::any_of(others_.begin(), others_.end(), [&](const auto &each) { return isAble(each.second, now); });
}

Millis Leadership::promisedFrom() const
{
    return leaderClock_;
}

bool Leadership::isMine() const
{
    return taken_ != 0 && taken_ == lead_.epoch_;
}

void Leadership::take(std::uint64_t epoch, Millis now)
{
    learn({epoch, self_}, now);
    taken_ = epoch;
}

void Leadership::release()
{
    taken_ = 0;
}

const Lead &Leadership::lead() const
{
    return lead_;
}

Millis Leadership::leaderAge(Millis now) const
{
    return isMine() ? Millis{0} : now - heardAt_;
}

} // namespace ibiswall::node
