// Rendezvous hashing; the best entry of each failure domain comes first.

#include <ibiswall/core/subset.hpp>

#include <algorithm>
#include <map>
#include <tuple>
#include <xxhash.h>

namespace ibiswall {

namespace {

struct Candidate
{
    /// Number of entries of the same failure domain with a better score.
    std::size_t rank_ = 0;
    std::uint64_t score_ = 0;
    std::size_t index_ = 0;
};

std::uint64_t scoreOf(std::string_view agent, std::string_view entry)
{
    return XXH3_64bits_withSeed(entry.data(), entry.size(), XXH3_64bits(agent.data(), agent.size()));
}

bool hasBetterScore(const Candidate &a, const Candidate &b)
{
    return std::tie(b.score_, a.index_) < std::tie(a.score_, b.index_);
}

bool ranksBefore(const Candidate &a, const Candidate &b)
{
    return a.rank_ != b.rank_ ? a.rank_ < b.rank_ : hasBetterScore(a, b);
}

std::vector<Candidate> rankWithinDomains(std::string_view agent, Span<const EntryPoint> entries)
{
    std::vector<Candidate> candidates;
    candidates.reserve(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        candidates.push_back({0, scoreOf(agent, entries[i].name_), i});
    }
    std::sort(candidates.begin(), candidates.end(), hasBetterScore);
    std::map<std::string_view, std::size_t> countByDomain;
    for (Candidate &candidate : candidates) {
        candidate.rank_ = countByDomain[entries[candidate.index_].domain_]++;
    }
    return candidates;
}

} // namespace

std::vector<std::size_t> chooseEntries(std::string_view agent, Span<const EntryPoint> entries, std::size_t count)
{
    std::vector<Candidate> candidates = rankWithinDomains(agent, entries);
    std::sort(candidates.begin(), candidates.end(), ranksBefore);
    candidates.resize(std::min(count, candidates.size()));
    std::vector<std::size_t> chosen;
    chosen.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        chosen.push_back(candidate.index_);
    }
    return chosen;
}

} // namespace ibiswall
