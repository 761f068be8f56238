// Evaluates peer statuses. All times are those at which a query was sent, so delays and process freezes can only shorten leases.

#include <ibiswall/core/configquorum.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace ibiswall {

namespace {

bool isFresh(const PeerStatus &status, Millis now)
{
    return status.queriedAt_ + readValidity > now;
}

// A single entry has no peers that could report a restart under its name, so its own confirmation is only as recent as its
// latest attempt to read the platform.
Millis ownConfirmationTime(const ConfigQuorum &quorum, Millis now)
{
    return quorum.entries_ == 1 ? quorum.attemptedAt_ : now;
}

// The latest time such that a read quorum was queried at or after it and reported no higher version; zero if there is none.
Millis quorumConfirmationTime(const ConfigQuorum &quorum, std::uint64_t version, Millis now)
{
    if (!quorum.caughtUp_) {
        return {0};
    }
    std::vector<Millis> confirmationTimes = {ownConfirmationTime(quorum, now)};
    for (const auto &[name, status] : quorum.peerStatuses_) {
        if (status.caughtUp_ && status.version_ <= version) {
            confirmationTimes.push_back(status.queriedAt_);
        }
    }
    const std::size_t needed = readQuorum(quorum);
    if (confirmationTimes.size() < needed) {
        return {0};
    }
    std::sort(confirmationTimes.begin(), confirmationTimes.end(), std::greater<>());
    return confirmationTimes[needed - 1];
}

} // namespace

std::size_t readQuorum(const ConfigQuorum &quorum)
{
    return quorum.entries_ / 2 + 1;
}

std::size_t writeQuorum(const ConfigQuorum &quorum)
{
    return quorum.entries_ - readQuorum(quorum) + 1;
}

void recordPlatformRead(ConfigQuorum &quorum, Millis startedAt)
{
    recordRead(quorum.lastRead_, startedAt);
    quorum.attemptedAt_ = std::max(quorum.attemptedAt_, startedAt);
    quorum.caughtUp_ = true;
}

void recordPlatformFailure(ConfigQuorum &quorum, Millis startedAt)
{
    quorum.attemptedAt_ = std::max(quorum.attemptedAt_, startedAt);
}

void recordPeerStatus(ConfigQuorum &quorum, std::string_view peer, const PeerStatus &status, std::uint64_t version)
{
    const auto [found, inserted] = quorum.peerStatuses_.emplace(peer, status);
    if (!inserted && status.queriedAt_ >= found->second.queriedAt_) {
        found->second = status;
    }
    updateCaughtUp(quorum, version);
}

// An earlier process of this name may count towards the acceptance of a change that is not answered yet. All such answers
// have been given once `readValidity` has passed since the start of this process, so only later statuses count.
void updateCaughtUp(ConfigQuorum &quorum, std::uint64_t version)
{
    const Millis countedFrom = quorum.startedAt_ + readValidity;
    std::size_t count = 0;
    for (const auto &[name, status] : quorum.peerStatuses_) {
        count += status.caughtUp_ && status.queriedAt_ >= countedFrom && status.version_ <= version ? 1 : 0;
    }
    if (count >= readQuorum(quorum)) {
        quorum.caughtUp_ = true;
    }
}

bool checkRequester(ConfigQuorum &quorum, const Incarnation &requester)
{
    std::uint64_t &highest = quorum.incarnations_[requester.name_];
    highest = std::max(highest, requester.number_);
    return requester.number_ == highest;
}

Millis knownAsOf(const ConfigQuorum &quorum, std::uint64_t version, Millis now)
{
    const Millis read = quorum.lastRead_.known_ ? quorum.lastRead_.asOf_ : Millis{0};
    return std::max(read, quorumConfirmationTime(quorum, version, now));
}

Millis leaseDuration(const ConfigQuorum &quorum, std::uint64_t version, Millis now)
{
    if (!quorum.caughtUp_) {
        return {0};
    }
    return std::max(knownAsOf(quorum, version, now) + readValidity - now, Millis{0});
}

bool canAccept(const ConfigQuorum &quorum, Millis now)
{
    std::size_t count = 1;
    for (const auto &[name, status] : quorum.peerStatuses_) {
        count += isFresh(status, now) ? 1 : 0;
    }
    return count >= writeQuorum(quorum);
}

bool isAccepted(const ConfigQuorum &quorum, std::uint64_t ownVersion, std::uint64_t version, Millis now)
{
    std::size_t count = ownVersion >= version ? 1 : 0;
    for (const auto &[name, status] : quorum.peerStatuses_) {
        count += status.version_ >= version && isFresh(status, now) ? 1 : 0;
    }
    return count >= writeQuorum(quorum);
}

} // namespace ibiswall
