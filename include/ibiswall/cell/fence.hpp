// Fences of the calls to a target, by which it rejects those of earlier leaders and of earlier processes of its agent.

#pragma once

#include <cstdint>

namespace ibiswall::cell {

/// A dispatcher as it announces itself to an agent.
struct Lead
{
    std::uint64_t epoch_ = 0;
    /// Number of the latest report that the dispatcher accepted from this agent; 0 for none. The next report gets a higher number even
    /// when this process started with a clock behind that of an earlier one.
    std::int64_t lastReport_ = 0;
    /// Number of this announcement among those of the epoch to this agent, from 1; 0 if the sender does not count them.
    std::uint64_t term_ = 0;
};

/// Terms per epoch. Epochs are store revisions, and the product stays below 2^53.
constexpr std::uint64_t termsPerEpoch = 1U << 20U;

/// Fence of an agent process that follows a dispatcher: above the fences of earlier epochs and of earlier processes of the same agent.
std::uint64_t fenceOf(const Lead &lead);

} // namespace ibiswall::cell
