// Shares of the memory and of the file descriptors of a process.

#include "processlimits.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace ibiswall::node {

namespace {

// Assumed if the settings do not state the memory: twice that of the smallest process in use (120 MB).
constexpr std::size_t defaultMemoryMb = 256;
// Shares of the memory, in sixteenths. The last one is for code, the store client, logs and fragmentation.
constexpr std::size_t parts = 16;
constexpr std::size_t connectionParts = 4;
constexpr std::size_t jobParts = 2;
constexpr std::size_t linkParts = 2;
// Stored jobs are taken over whatever a leader holds, so they are limited where they are accepted, to less than what a leader may hold,
// so that they leave room for ephemeral ones.
constexpr std::size_t leaderJobParts = 4;
constexpr std::size_t durableJobParts = 3;
// 200 for files, and 512 for links (two to each of 70 agents and 12 entries, while one replaces the other), the store, readiness
// and metrics.
constexpr std::size_t reservedDescriptors = 712;
// Of a small number of descriptors half are reserved.
constexpr std::size_t reservedDivisor = 2;
// Connections to the store for reads, and for cancels of this and other entries at the leader, fit into the reserved descriptors. A call to
// the store takes 4 ms, so that 128 at a time are more than its 6,000 reads/s.
constexpr std::size_t lookupsDivisor = 24;
constexpr std::size_t maxLookups = 128;
// Callers of one entry in the largest known deployment.
constexpr std::size_t maxCallers = 3500;

// A sixteenth of the memory, in bytes.
std::size_t partOf(std::size_t memory)
{
    constexpr std::size_t bytesPerMb = 1U << 20U;
    return (memory == 0 ? defaultMemoryMb : memory) * bytesPerMb / parts;
}

std::size_t systemDescriptors()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return 2 * reservedDescriptors;
    }
    return limit.rlim_cur;
}

} // namespace

ProcessLimits processLimits(std::size_t memory, std::size_t maxDescriptors)
{
    const std::size_t part = partOf(memory);
    const std::size_t system = systemDescriptors();
    const std::size_t descriptors = maxDescriptors == 0 ? system : std::min(maxDescriptors, system);
    ProcessLimits limits;
    limits.connections_ = std::make_shared<Budget>(part * connectionParts);
    limits.jobs_ = std::make_shared<Budget>(part * jobParts);
    limits.durableJobs_ = std::make_shared<Budget>(durableJobLimit(memory));
    limits.leaderJobs_ = std::make_shared<Budget>(part * leaderJobParts);
    limits.links_ = std::make_shared<Budget>(part * linkParts);
    limits.maxConnections_ = std::min(maxCallers, descriptors - std::min(reservedDescriptors, descriptors / reservedDivisor));
    limits.maxLookups_ = std::min(maxLookups, std::max<std::size_t>(descriptors / lookupsDivisor, 1));
    return limits;
}

std::size_t durableJobLimit(std::size_t memory)
{
    return partOf(memory) * durableJobParts;
}

std::string methodLabel(const std::string &method)
{
    return method == "POST" || method == "GET" || method == "DELETE" ? method : "other";
}

} // namespace ibiswall::node
