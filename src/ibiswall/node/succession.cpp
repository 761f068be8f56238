// Which entries may take over the leadership.

#include "succession.hpp"

#include <algorithm>

namespace ibiswall::node {

Succession::Succession(SuccessionSettings settings)
    : settings_(settings)
{
}

void Succession::onRegistered(std::int64_t revision, Millis now)
{
    // A read may be outdated and show an earlier record.
    if (revision <= registration_) {
        return;
    }
    registration_ = revision;
    registeredAt_ = now;
    heardEpoch_ = 0;
}

void Succession::onUnregistered()
{
    registration_ = 0;
}

std::int64_t Succession::registration() const
{
    return registration_;
}

void Succession::onLeaderHeard(std::uint64_t epoch)
{
    if (registration_ != 0) {
        heardEpoch_ = std::max(heardEpoch_, epoch);
    }
}

void Succession::onLeaderRead(std::uint64_t epoch, const std::string &leader, std::int64_t incarnation)
{
    readEpoch_ = epoch;
    leader_ = leader;
    leaderIncarnation_ = incarnation;
}

void Succession::onIncarnation(const std::string &name, std::int64_t incarnation)
{
    std::int64_t &latest = incarnations_[name];
    latest = std::max(latest, incarnation);
}

bool Succession::isLeaderRead(std::uint64_t epoch) const
{
    return readEpoch_ == epoch;
}

bool Succession::mustWait(std::uint64_t epoch, Millis now) const
{
    if (epoch == 0 || heardEpoch_ == epoch) {
        return false;
    }
    const auto latest = incarnations_.find(leader_);
    const bool leaderHasEnded = isLeaderRead(epoch) && latest != incarnations_.end() && latest->second > leaderIncarnation_;
    return !leaderHasEnded && now < registeredAt_ + settings_.newcomerWait_;
}

void Succession::onRegistryRead(const std::set<std::string> &others, Millis sentAt)
{
    candidates_ = others;
    registryReadAt_ = sentAt;
    for (auto each = contactedAt_.begin(); each != contactedAt_.end();) {
        // An entry that has been contacted since may have registered after the state that was read.
        const bool mayRegister = sentAt <= each->second + settings_.maxReadAge_;
        each = others.count(each->first) == 0 && !mayRegister ? contactedAt_.erase(each) : std::next(each);
    }
    for (const auto &[name, at] : contactedAt_) {
        candidates_.insert(name);
    }
}

void Succession::onHeartbeatSent(const std::string &entry, Millis now)
{
    const auto [contacted, added] = contactedAt_.insert_or_assign(entry, now);
    if (added) {
        candidates_.insert(entry);
    }
}

const std::set<std::string> &Succession::candidates() const
{
    return candidates_;
}

Millis Succession::registryValidUntil() const
{
    return registryReadAt_ == Millis{0} ? Millis{0} : registryReadAt_ + settings_.registryValidity_;
}

} // namespace ibiswall::node
