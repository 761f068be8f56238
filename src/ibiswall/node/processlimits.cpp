// Shares of the memory and of the file descriptors of a process.

#include "processlimits.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace ibiswall::node {

namespace {

// Assumed if the settings do not state the memory: twice that of the smallest process in use (120 MB).
constexpr std::size_t defaultMemoryMb = 256;
// Shares of the memory. Together 7/8, if stored jobs come on top of ephemeral ones; the rest is for code, links, the store client, logs and
// fragmentation.
constexpr std::size_t connectionsDivisor = 4;
constexpr std::size_t jobsDivisor = 8;
constexpr std::size_t tasksDivisor = 4;
// Tasks of stored jobs are taken over whatever a leader holds, so they are limited where they are accepted.
constexpr std::size_t durableTasksDivisor = 4;
constexpr std::size_t linksDivisor = 8;
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
    constexpr std::size_t bytesPerMb = 1U << 20U;
    const std::size_t bytes = (memory == 0 ? defaultMemoryMb : memory) * bytesPerMb;
    const std::size_t system = systemDescriptors();
    const std::size_t descriptors = maxDescriptors == 0 ? system : std::min(maxDescriptors, system);
    ProcessLimits limits;
    limits.connections_ = std::make_shared<Budget>(bytes / connectionsDivisor);
    limits.jobs_ = std::make_shared<Budget>(bytes / jobsDivisor);
    limits.durableTasks_ = std::make_shared<Budget>(bytes / durableTasksDivisor);
    limits.tasks_ = std::make_shared<Budget>(bytes / tasksDivisor);
    limits.links_ = std::make_shared<Budget>(bytes / linksDivisor);
    limits.maxConnections_ = std::min(maxCallers, descriptors - std::min(reservedDescriptors, descriptors / reservedDivisor));
    limits.maxLookups_ = std::min(maxLookups, std::max<std::size_t>(descriptors / lookupsDivisor, 1));
    return limits;
}

std::size_t recordBytes(const cell::JobSpec &spec)
{
    // An entry of the map of jobs, its record and the callback of one caller.
    constexpr std::size_t bytesPerJob = 1024;
    std::size_t bytes = bytesPerJob + spec.queue_.size() + spec.payload_.size();
    for (const cell::Step &step : spec.steps_) {
        bytes += sizeof(step) + step.after_.size() * sizeof(step.after_.front()) + step.requiredLabel_.size() + step.dataRack_.size()
            + step.image_.size();
    }
    return bytes;
}

std::string methodLabel(const std::string &method)
{
    return method == "POST" || method == "GET" || method == "DELETE" ? method : "other";
}

} // namespace ibiswall::node
