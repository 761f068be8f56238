// Public header of the entry library: the process that takes jobs and operators' intents.

#pragma once

#include <functional>
#include <ibiswall/settings.hpp>

namespace ibiswall {

/// Ports that a started entry listens on.
struct EntryPorts
{
    std::uint16_t callers_ = 0;
    std::uint16_t links_ = 0;
};

/// Runs an entry until it is told to stop.
/// @param started called once the entry listens
/// @return Ok after a graceful stop, Failed when requests in flight were abandoned
Exit runEntry(const EntrySettings &settings, const std::function<void(EntryPorts)> &started);

} // namespace ibiswall
