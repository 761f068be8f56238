// Counts words of entries. Every count uses the moment a question was sent, so delays and freezes only shorten rights.

#include <ibiswall/core/configquorum.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace ibiswall {

namespace {

bool isFresh(const PeerStatus &word, Millis now)
{
    return word.askedAt_ + readValidity > now;
}

// An entry without others cannot hear of its successor, so its own word is only as new as its latest try at the platform.
Millis ownWordAt(const ConfigQuorum &quorum, Millis now)
{
    return quorum.entries_ == 1 ? quorum.attemptedAt_ : now;
}

// The moment since which a rely quorum, none of which knew a higher version, has vouched.
Millis quorumAsOf(const ConfigQuorum &quorum, std::uint64_t version, Millis now)
{
    if (!quorum.caughtUp_) {
        return {0};
    }
    std::vector<Millis> moments = {ownWordAt(quorum, now)};
    for (const auto &[name, word] : quorum.peerStatuses_) {
        if (word.caughtUp_ && word.version_ <= version) {
            moments.push_back(word.askedAt_);
        }
    }
    const std::size_t needed = readQuorum(quorum);
    if (moments.size() < needed) {
        return {0};
    }
    std::sort(moments.begin(), moments.end(), std::greater<>());
    return moments[needed - 1];
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

void recordPlatformRead(ConfigQuorum &quorum, Millis began)
{
    recordRead(quorum.lastRead_, began);
    quorum.attemptedAt_ = std::max(quorum.attemptedAt_, began);
    quorum.caughtUp_ = true;
}

void recordPlatformFailure(ConfigQuorum &quorum, Millis began)
{
    quorum.attemptedAt_ = std::max(quorum.attemptedAt_, began);
}

void recordPeerStatus(ConfigQuorum &quorum, std::string_view peer, const PeerStatus &word, std::uint64_t version)
{
    const auto [found, fresh] = quorum.peerStatuses_.emplace(peer, word);
    if (!fresh && word.askedAt_ >= found->second.askedAt_) {
        found->second = word;
    }
    updateCaughtUp(quorum, version);
}

// An earlier process of this name may be counted in an acceptance that is not answered yet. Every such answer has been
// given when a word's life has passed since this process started, so only later words tell.
void updateCaughtUp(ConfigQuorum &quorum, std::uint64_t version)
{
    const Millis from = quorum.startedAt_ + readValidity;
    std::size_t count = 0;
    for (const auto &[name, word] : quorum.peerStatuses_) {
        count += word.caughtUp_ && word.askedAt_ >= from && word.version_ <= version ? 1 : 0;
    }
    if (count >= readQuorum(quorum)) {
        quorum.caughtUp_ = true;
    }
}

bool checkRequester(ConfigQuorum &quorum, const Incarnation &asker)
{
    std::uint64_t &highest = quorum.incarnations_[asker.name_];
    highest = std::max(highest, asker.number_);
    return asker.number_ == highest;
}

Millis knownAsOf(const ConfigQuorum &quorum, std::uint64_t version, Millis now)
{
    const Millis read = quorum.lastRead_.known_ ? quorum.lastRead_.asOf_ : Millis{0};
    return std::max(read, quorumAsOf(quorum, version, now));
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
    for (const auto &[name, word] : quorum.peerStatuses_) {
        count += isFresh(word, now) ? 1 : 0;
    }
    return count >= writeQuorum(quorum);
}

bool isAccepted(const ConfigQuorum &quorum, std::uint64_t ownVersion, std::uint64_t version, Millis now)
{
    std::size_t count = ownVersion >= version ? 1 : 0;
    for (const auto &[name, word] : quorum.peerStatuses_) {
        count += word.version_ >= version && isFresh(word, now) ? 1 : 0;
    }
    return count >= writeQuorum(quorum);
}

} // namespace ibiswall
