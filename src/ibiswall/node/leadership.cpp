// When to take the lead.

#include "leadership.hpp"

#include <algorithm>
#include <limits>

namespace ibiswall::node {

Leadership::Leadership(std::string self, std::int64_t power, LeadershipSettings settings)
    : self_(std::move(self))
    , power_(power)
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
    Other &other = others_[from];
    if (!isAlive(other, now)) {
        other.upSince_ = now;
    }
    const bool yieldedBefore = other.yielded_ && other.epoch_ == beat.epoch_;
    other.yieldedAt_ = !beat.yielded_ ? Millis{0} : yieldedBefore ? other.yieldedAt_ : now;
    other.heardAt_ = now;
    other.storeAge_ = beat.storeAge_;
    other.leaving_ = beat.leaving_;
    other.yielded_ = beat.yielded_;
    other.power_ = beat.power_;
    other.promisedFrom_ = beat.promisedFrom_;
    other.epoch_ = beat.epoch_;
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
        rank += std::pair(-other.power_, name) < std::pair(-power_, self_) ? 1 : 0;
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
            return now >= leader->second.yieldedAt_ + turn;
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

bool Leadership::shouldLetGo(const StoreContact &store, bool leaving, Millis now) const
{
    const bool lost = store.age_ > settings_.storeLost_ && store.unansweredSince_ != Millis{0};
    return std::any_of(others_.begin(), others_.end(), [&](const auto &each) {
        const Other &other = each.second;
        if (!isAble(other, now)) {
            return false;
        }
        // In an outage for all the others merely look as if they reached the store until their last answers have aged.
        const bool reaches = other.heardAt_ - other.storeAge_ > store.unansweredSince_ + settings_.transit_;
        const bool stronger = static_cast<double>(other.power_) >= settings_.stronger_ * static_cast<double>(power_);
        return leaving || (lost && reaches) || (stronger && now >= other.upSince_ + settings_.steady_);
    });
}

bool Leadership::shouldResume(Millis yieldedAt, Millis now) const
{
    return isMine() && now > yieldedAt + settings_.resume_;
}

Millis Leadership::promisedFrom() const
{
    return leaderClock_;
}

std::int64_t Leadership::power() const
{
    return power_;
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
