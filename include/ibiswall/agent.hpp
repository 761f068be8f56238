// Public header of the agent library: the process that runs beside each target and calls it.

#pragma once

#include <functional>
#include <ibiswall/settings.hpp>

namespace ibiswall {

/// Runs an agent until SIGTERM or SIGINT.
/// @param started called with the health port once it accepts connections
/// @return Ok after a graceful stop, Failed when a second signal aborted running calls, CannotListen when the port is unavailable
Exit runAgent(const AgentSettings &settings, const std::function<void(std::uint16_t)> &started);

} // namespace ibiswall
