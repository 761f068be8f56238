// Change log in the platform's key-value store: one key per numbered change, created once and never overwritten.

#pragma once

#include <ibiswall/codec.hpp>
#include <ibiswall/platform/store.hpp>

namespace ibiswall {

/// Maximum number of changes returned by one read.
constexpr std::size_t changesPerRead = 500;

/// Reads the changes that follow a version, in order and without gaps.
/// @return Corrupt for a gap, the error of parseChange() for an unreadable change, PlatformDown if the store cannot be read
Result<std::vector<Change>> readChanges(const Store &store, std::uint64_t after);

/// Outcome of writing a confirmed change.
struct WriteOutcome
{
    /// Ok, LostRace (another change has the version), PlatformDown (certainly not written) or Unconfirmed (unknown).
    Code code_ = Code::Ok;
    /// The change stored under the version, if it was read back.
    Change storedChange_;
};

/// Writes a change and reads back which change is stored under its version.
/// The key is read first, so that no write is sent while the platform does not answer.
/// @param readBackTimeout how long reading back is retried after the write
WriteOutcome writeChange(const Store &store, const Change &change, Millis readBackTimeout);

} // namespace ibiswall
