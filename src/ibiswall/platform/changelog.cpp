// Reads and writes the change log.

#include <ibiswall/platform/changelog.hpp>

#include <chrono>
#include <thread>

namespace ibiswall {

namespace {

constexpr std::string_view prefix = "ibiswall/changes/";
// End of the key range of the prefix (exclusive): '0' is the character after '/'.
constexpr std::string_view prefixEnd = "ibiswall/changes0";
constexpr std::size_t keyDigits = 20;
constexpr std::chrono::milliseconds readBackPeriod(100);

// Versions are zero-padded so that key order equals version order.
std::string changeKey(std::uint64_t version)
{
    const std::string digits = std::to_string(version);
    return std::string(prefix) + std::string(keyDigits - digits.size(), '0') + digits;
}

Result<std::vector<Change>> readUpTo(const Store &store, std::uint64_t after, std::size_t limit)
{
    BOOST_OUTCOME_TRY(const auto values, readRange(store, changeKey(after + 1), prefixEnd, limit));
    std::vector<Change> changes;
    for (const KeyValue &value : values) {
        BOOST_OUTCOME_TRY(auto change, parseChange(value.value_));
        if (change.version_ != after + changes.size() + 1 || value.key_ != changeKey(change.version_)) {
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

WriteOutcome writeChange(const Store &store, const Change &change, Millis readBackTimeout)
{
    const auto existing = readUpTo(store, change.version_ - 1, 1);
    if (existing.has_error()) {
        return {Code::PlatformDown, {}};
    }
    if (!existing.value().empty()) {
        return {Code::LostRace, existing.value().front()};
    }
    const Millis deadline = bootClock() + readBackTimeout;
    const auto ignored = createValue(store, changeKey(change.version_), formatChange(change));
    do {
        const auto readBack = readUpTo(store, change.version_ - 1, 1);
        if (readBack.has_value() && !readBack.value().empty()) {
            const Change &stored = readBack.value().front();
            return {stored.changeId_ == change.changeId_ ? Code::Ok : Code::LostRace, stored};
        }
        std::this_thread::sleep_for(readBackPeriod);
    } while (bootClock() < deadline);
    return {Code::Unconfirmed, {}};
}

} // namespace ibiswall
