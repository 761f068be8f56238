// Fences of the calls to a target.

#include <ibiswall/cell/fence.hpp>

#include <algorithm>

namespace ibiswall::cell {

std::uint64_t fenceOf(const Lead &lead)
{
    return lead.epoch_ * termsPerEpoch + std::min(lead.term_, termsPerEpoch - 1);
}

} // namespace ibiswall::cell
