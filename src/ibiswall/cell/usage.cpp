// Sums over running tasks.

#include <ibiswall/cell/usage.hpp>

namespace ibiswall::cell {

namespace {

template<typename Map>
void addTo(Map &map, const typename Map::key_type &key, std::int64_t cores)
{
    const auto entry = map.try_emplace(key, 0).first;
    entry->second += cores;
    if (entry->second == 0) {
        map.erase(entry);
    }
}

void change(Usage &usage, const PlacedRun &run, std::int64_t cores)
{
    if (cores == 0) {
        return;
    }
    addTo(usage.services_, run.service_, cores);
    addTo(usage.queues_, run.queue_, cores);
    addTo(usage.domains_, {run.queue_, run.domain_}, cores);
    addEnd(usage.ends_[run.service_], run.end_, cores);
}

} // namespace

void addUsage(Usage &usage, const PlacedRun &run)
{
    change(usage, run, run.need_.cpu_);
}

void removeUsage(Usage &usage, const PlacedRun &run)
{
    change(usage, run, -run.need_.cpu_);
}

} // namespace ibiswall::cell
