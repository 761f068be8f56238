// Messages between the loops of an agent.

#pragma once

#include <ibiswall/core.hpp>

namespace ibiswall {

/// The calls loop finished a call.
struct CallResult
{
    std::uint64_t call_ = 0;
    TaskOutcome outcome_;
};

} // namespace ibiswall
