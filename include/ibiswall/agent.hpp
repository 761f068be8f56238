// Public header of the agent library: the process beside each target.

#pragma once

#include <functional>
#include <ibiswall/settings.hpp>

namespace ibiswall {

/// Runs an agent until it is told to stop.
/// @param started called with the health port once the agent listens
/// @return Ok after a graceful stop, Failed when requests in flight were abandoned
Exit runAgent(const AgentSettings &settings, const std::function<void(std::uint16_t)> &started);

} // namespace ibiswall
