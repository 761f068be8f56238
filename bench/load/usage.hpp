// Resource usage of running processes, as the kernel counts it.

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

/// Bytes that the open TCP connections accepted on a local port have received and sent.
struct LinkBytes
{
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
    /// TCP segments both ways, acknowledgements included.
    std::uint64_t segments_ = 0;
};

/// Reads the byte counts of a listening port's connections with `ss`.
LinkBytes readLinkBytes(std::uint16_t port);

} // namespace ibiswall::bench
