// Resource usage of running processes, from kernel counters.

#pragma once

#include <cstdint>
#include <sys/types.h>

namespace ibiswall::bench {

/// Processor time and memory of one process.
struct Usage
{
    double cpuSeconds_ = 0;
    std::uint64_t residentBytes_ = 0;
};

/// Reads the usage of a process.
Usage readUsage(pid_t pid);

/// Traffic of the open TCP connections accepted on a local port, since each was opened.
struct LinkBytes
{
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
    /// TCP segments in both directions, acknowledgements included.
    std::uint64_t segments_ = 0;
};

/// Reads the traffic of the connections accepted on a local port, using `ss`.
LinkBytes readLinkBytes(std::uint16_t port);

} // namespace ibiswall::bench
