// Public header of the entry library: the process that accepts jobs and operators' intents over HTTP.

#pragma once

#include <functional>
#include <ibiswall/settings.hpp>

namespace ibiswall {

/// Ports that a running entry listens on.
struct EntryPorts
{
    std::uint16_t callersPort_ = 0;
    std::uint16_t linksPort_ = 0;
};

/// Runs an entry until SIGTERM or SIGINT.
/// @param started called once both ports accept connections
/// @return Ok after a graceful stop, Failed when a second signal aborted pending requests, CannotListen when a port is unavailable
Exit runEntry(const EntrySettings &settings, const std::function<void(EntryPorts)> &started);

} // namespace ibiswall
