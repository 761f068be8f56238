// Memory that an entry takes for the jobs of its callers.

#include "entrynode.hpp"

#include <algorithm>

namespace ibiswall::node {

// Takes the bytes of a new job from the limits of the process. What a leader holds for a stored job is limited here, since it cannot
// refuse one; other jobs are limited by the leader.
std::optional<EntryNode::JobShares> EntryNode::acquireShares(const cell::JobSpec &spec) const
{
    JobShares shares{BudgetShare(limits_.jobs_), BudgetShare(limits_.durableJobs_)};
    if (!shares.record_.tryResize(recordBytes(spec))) {
        return std::nullopt;
    }
    if (!spec.ephemeral_) {
        // Any entry may become the leader. The records of stored jobs also leave room for those of ephemeral ones at this entry.
        const std::size_t own = limits_.durableJobs_->limit();
        const std::size_t leader = smallestMemory_ == 0 ? own : std::min(own, durableJobLimit(smallestMemory_));
        const std::size_t part = std::min(leader / (entries_.size() + 1), limits_.jobs_->limit() / 2);
        const std::size_t bytes = jobBytes(spec);
        if (limits_.durableJobs_->used() + bytes > part) {
            return std::nullopt;
        }
        shares.durableJob_.resize(bytes);
    }
    return shares;
}

} // namespace ibiswall::node
