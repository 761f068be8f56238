// Memory that an entry takes for the jobs of its callers.

#include "entrynode.hpp"

#include <algorithm>

namespace ibiswall::node {

namespace {

// An entry of the map of jobs without a record, and its id in the order of final states.
constexpr std::size_t finalStateBytes = 320;

} // namespace

// Takes the bytes of a new job from the limits of the process. What a leader holds for a stored job is limited here, since it cannot
// refuse one; other jobs are limited by the leader.
std::optional<EntryNode::JobShares> EntryNode::acquireShares(const cell::JobSpec &spec)
{
    const std::size_t recordSize = recordBytes(spec);
    while (!limits_.jobs_->hasRoomFor(recordSize) && !finalStates_.empty()) {
        discardOldestFinalState();
    }
    JobShares shares{BudgetShare(limits_.jobs_), BudgetShare(limits_.durableJobs_)};
    if (!shares.record_.tryResize(recordSize)) {
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

// Keeps the state of a stored job that has ended, for callers that ask for it, in memory that open jobs leave. The store has the states
// that are discarded.
void EntryNode::keepFinalState(const std::string &id, KnownJob &job)
{
    job.endedAt_ = bootClock();
    job.record_.reset();
    job.shares_ = {BudgetShare(limits_.jobs_), {}};
    job.shares_.record_.resize(finalStateBytes);
    finalStates_.push_back(id);
    while (finalStates_.size() * finalStateBytes > limits_.jobs_->limit() / 2) {
        discardOldestFinalState();
    }
}

void EntryNode::discardOldestFinalState()
{
    // A job that was submitted again has a record.
    if (const auto oldest = jobs_.find(finalStates_.front()); oldest != jobs_.end() && !oldest->second.record_) {
        jobs_.erase(oldest);
    }
    finalStates_.pop_front();
}

void EntryNode::expireFinalStates(Millis now)
{
    while (!finalStates_.empty()) {
        const auto oldest = jobs_.find(finalStates_.front());
        if (oldest != jobs_.end() && now <= oldest->second.endedAt_ + settings_.stateRetention_) {
            return;
        }
        discardOldestFinalState();
    }
}

} // namespace ibiswall::node
