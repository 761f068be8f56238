// The numbered changes as kept in the platform's store: one key for each, created once and never rewritten.

#pragma once

#include <ibiswall/codec.hpp>
#include <ibiswall/platform/store.hpp>

namespace ibiswall {

/// Most changes returned by one read.
constexpr std::size_t changesPerRead = 500;

/// Reads the changes that follow a version, in order, without gaps.
Result<std::vector<Change>> readChanges(const Store &store, std::uint64_t after);

/// What became of a confirmed change.
struct WriteOutcome
{
    /// Ok, LostRace, PlatformDown (surely not written) or Unconfirmed.
    Code code_ = Code::Ok;
    /// The change that holds the number now, where it was read back.
    Change winner_;
};

/// Writes a change, and reads it back to learn which change has its number.
/// A read goes first, so that nothing is sent while the platform does not answer.
/// @param giveUp how long to go on asking after a lost answer
WriteOutcome writeChange(const Store &store, const Change &change, Millis giveUp);

} // namespace ibiswall
