// What the duties of an agent tell one another.

#pragma once

#include <ibiswall/core.hpp>

namespace ibiswall {

/// The calls duty ended a call.
struct CallEnd
{
    std::uint64_t call_ = 0;
    TaskOutcome outcome_;
};

} // namespace ibiswall
