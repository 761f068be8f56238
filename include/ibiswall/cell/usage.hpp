// Cores in use by queue and by failure domain of the callers, and when they become free.

#pragma once

#include <ibiswall/cell/admission.hpp>

namespace ibiswall::cell {

/// What runs on the targets. Every sum equals that over the runs of all targets.
struct Usage
{
    /// Thousandths of a core by service.
    std::map<std::string, std::int64_t> services_;
    /// By queue.
    std::map<std::string, std::int64_t> queues_;
    /// By queue and failure domain of the callers.
    std::map<std::pair<std::string, std::string>, std::int64_t> domains_;
    /// By service.
    std::map<std::string, ExpectedEnds> ends_;
};

void addUsage(Usage &usage, const PlacedRun &run);
void removeUsage(Usage &usage, const PlacedRun &run);

/// Value of a key, 0 if there is none.
template<typename Map>
std::int64_t coresAt(const Map &map, const typename Map::key_type &key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

} // namespace ibiswall::cell
