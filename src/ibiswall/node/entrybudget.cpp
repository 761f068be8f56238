// Memory that an entry takes for the jobs of its callers.

#include "entrynode.hpp"

namespace ibiswall::node {

// Takes the bytes of a new job from the limits of the process. The tasks of a stored job are limited here, since a leader cannot
// refuse them; those of others are limited by the leader.
std::optional<EntryNode::JobShares> EntryNode::acquireShares(const cell::JobSpec &spec) const
{
    JobShares shares{BudgetShare(limits_.jobs_), BudgetShare(limits_.durableTasks_)};
    if (!shares.record_.tryResize(recordBytes(spec))) {
        return std::nullopt;
    }
    if (!spec.ephemeral_) {
        const std::size_t bytes = cell::taskCount(spec) * cell::taskBytes;
        const std::size_t part = limits_.durableTasks_->limit() / (entries_.size() + 1);
        if (limits_.durableTasks_->used() + bytes > part) {
            return std::nullopt;
        }
        shares.durableTasks_.resize(bytes);
    }
    return shares;
}

} // namespace ibiswall::node
