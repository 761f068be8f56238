// Reads and creates changes.

#include <ibiswall/platform/changelog.hpp>

#include <chrono>
#include <thread>

namespace ibiswall {

namespace {

constexpr std::string_view prefix = "ibiswall/changes/";
// The first key after every key with the prefix.
constexpr std::string_view prefixEnd = "ibiswall/changes0";
constexpr std::size_t keyDigits = 20;
constexpr std::chrono::milliseconds askAgain(100);

// Numbers are padded so that key order is version order.
std::string keyOf(std::uint64_t version)
{
    const std::string digits = std::to_string(version);
    return std::string(prefix) + std::string(keyDigits - digits.size(), '0') + digits;
}

Result<std::vector<Change>> readUpTo(const Store &store, std::uint64_t after, std::size_t limit)
{
    BOOST_OUTCOME_TRY(const auto values, readRange(store, keyOf(after + 1), prefixEnd, limit));
    std::vector<Change> changes;
    for (const KeyValue &value : values) {
        BOOST_OUTCOME_TRY(auto change, parseChange(value.value_));
        if (change.version_ != after + changes.size() + 1 || value.key_ != keyOf(change.version_)) {
            return Error{Code::Corrupt, value.key_ + ": version " + std::to_string(change.version_) + " is out of order"};
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace

Result<std::vector<Change>> readChanges(const Store &store, std::uint64_t after)
{
    return readUpTo(store, after, changesPerRead);
}

WriteOutcome writeChange(const Store &store, const Change &change, Millis giveUp)
{
    const auto present = readUpTo(store, change.version_ - 1, 1);
    if (present.has_error()) {
        return {Code::PlatformDown, {}};
    }
    if (!present.value().empty()) {
        return {Code::LostRace, present.value().front()};
    }
    const Millis until = bootClock() + giveUp;
    const auto ignored = createValue(store, keyOf(change.version_), formatChange(change));
    do {
        const auto back = readUpTo(store, change.version_ - 1, 1);
        if (back.has_value() && !back.value().empty()) {
            const Change &winner = back.value().front();
            return {winner.changeId_ == change.changeId_ ? Code::Ok : Code::LostRace, winner};
        }
        std::this_thread::sleep_for(askAgain);
    } while (bootClock() < until);
    return {Code::Unconfirmed, {}};
}

} // namespace ibiswall
