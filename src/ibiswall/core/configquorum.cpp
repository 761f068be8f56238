// Counts words of entries. Every count uses the moment a question was sent, so delays and freezes only shorten rights.

#include <ibiswall/core/configquorum.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace ibiswall {

namespace {

bool isFresh(const PeerWord &word, Millis now)
{
    return word.askedAt_ + freshnessLife > now;
}

// An entry without others cannot hear of its successor, so its own word is only as new as its latest try at the platform.
Millis ownWordAt(const Electorate &electorate, Millis now)
{
    return electorate.entries_ == 1 ? electorate.attemptedAt_ : now;
}

// The moment since which a rely quorum, none of which knew a higher version, has vouched.
Millis quorumAsOf(const Electorate &electorate, std::uint64_t version, Millis now)
{
    if (!electorate.settled_) {
        return {0};
    }
    std::vector<Millis> moments = {ownWordAt(electorate, now)};
    for (const auto &[name, word] : electorate.words_) {
        if (word.settled_ && word.version_ <= version) {
            moments.push_back(word.askedAt_);
        }
    }
    const std::size_t needed = relyQuorum(electorate);
    if (moments.size() < needed) {
        return {0};
    }
    std::sort(moments.begin(), moments.end(), std::greater<>());
    return moments[needed - 1];
}

} // namespace

std::size_t relyQuorum(const Electorate &electorate)
{
    return electorate.entries_ / 2 + 1;
}

std::size_t acceptQuorum(const Electorate &electorate)
{
    return electorate.entries_ - relyQuorum(electorate) + 1;
}

void notePlatformRead(Electorate &electorate, Millis began)
{
    noteRead(electorate.read_, began);
    electorate.attemptedAt_ = std::max(electorate.attemptedAt_, began);
    electorate.settled_ = true;
}

void notePlatformFailure(Electorate &electorate, Millis began)
{
    electorate.attemptedAt_ = std::max(electorate.attemptedAt_, began);
}

void noteWord(Electorate &electorate, std::string_view peer, const PeerWord &word, std::uint64_t version)
{
    const auto [found, fresh] = electorate.words_.emplace(peer, word);
    if (!fresh && word.askedAt_ >= found->second.askedAt_) {
        found->second = word;
    }
    settle(electorate, version);
}

// An earlier process of this name may be counted in an acceptance that is not answered yet. Every such answer has been
// given when a word's life has passed since this process started, so only later words tell.
void settle(Electorate &electorate, std::uint64_t version)
{
    const Millis from = electorate.startedAt_ + freshnessLife;
    std::size_t count = 0;
    for (const auto &[name, word] : electorate.words_) {
        count += word.settled_ && word.askedAt_ >= from && word.version_ <= version ? 1 : 0;
    }
    if (count >= relyQuorum(electorate)) {
        electorate.settled_ = true;
    }
}

bool admitAsker(Electorate &electorate, const Incarnation &asker)
{
    std::uint64_t &highest = electorate.incarnations_[asker.name_];
    highest = std::max(highest, asker.number_);
    return asker.number_ == highest;
}

Millis knownAsOf(const Electorate &electorate, std::uint64_t version, Millis now)
{
    const Millis read = electorate.read_.known_ ? electorate.read_.asOf_ : Millis{0};
    return std::max(read, quorumAsOf(electorate, version, now));
}

Millis grantLength(const Electorate &electorate, std::uint64_t version, Millis now)
{
    if (!electorate.settled_) {
        return {0};
    }
    return std::max(knownAsOf(electorate, version, now) + freshnessLife - now, Millis{0});
}

bool canAccept(const Electorate &electorate, Millis now)
{
    std::size_t count = 1;
    for (const auto &[name, word] : electorate.words_) {
        count += isFresh(word, now) ? 1 : 0;
    }
    return count >= acceptQuorum(electorate);
}

bool isAccepted(const Electorate &electorate, std::uint64_t ownVersion, std::uint64_t version, Millis now)
{
    std::size_t count = ownVersion >= version ? 1 : 0;
    for (const auto &[name, word] : electorate.words_) {
        count += word.version_ >= version && isFresh(word, now) ? 1 : 0;
    }
    return count >= acceptQuorum(electorate);
}

} // namespace ibiswall
