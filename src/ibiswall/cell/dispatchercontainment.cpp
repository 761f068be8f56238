// Divides the targets between contained queues and all others.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// A stored job that has waited for this long uses any target while the service is underused.
constexpr Millis maxContainedWait{2000};

bool takesStarts(const Target &target, const std::set<std::string> &domainsOut)
{
    return target.present_ && !target.info_.draining_ && domainsOut.count(target.info_.failureDomain_) == 0;
}

// Targets that are down anyway come first, then the idle ones.
bool isBetterForContainment(const Target &a, const Target &b)
{
    return std::tuple(a.info_.responsive_, a.runs_.size()) < std::tuple(b.info_.responsive_, b.runs_.size());
}

} // namespace

bool Dispatcher::isContained(const Job &job, Millis now) const
{
    const Queue *queue = queueOf(job);
    if (queue == nullptr || !containment_.isContained(queue->name_)) {
        return false;
    }
    const auto found = containedPools_.find(queue->service_);
    if (found == containedPools_.end()) {
        return false;
    }
    return job.isEphemeral() || !found->second.underused_ || now < job.activeAt_ + maxContainedWait;
}

void Dispatcher::updateContainment(Millis now)
{
    containment_.update(now);
    containedPools_.clear();
    for (const std::string &name : containment_.contained()) {
        if (const auto queue = config_.queues_.find(name); queue != config_.queues_.end()) {
            updateContainedPool(queue->second.service_);
        }
    }
    for (auto &[agent, target] : targets_) {
        target.contained_ = target.contained_ && containedPools_.count(target.info_.service_) != 0;
    }
}

// Chooses the targets of a service that contained queues use. A chosen target stays while it takes starts.
void Dispatcher::updateContainedPool(const std::string &service)
{
    std::vector<Target *> candidates;
    std::size_t chosen = 0;
    std::size_t total = 0;
    ContainedPool pool;
    std::int64_t capacity = 0;
    std::int64_t allocated = 0;
    for (auto &[agent, target] : targets_) {
        if (target.info_.service_ != service) {
            continue;
        }
        const bool usable = takesStarts(target, domainsOut_);
        target.contained_ = target.contained_ && usable;
        total += usable ? 1 : 0;
        chosen += target.contained_ ? 1 : 0;
        pool.up_ += target.contained_ && target.info_.responsive_ ? 1 : 0;
        if (usable && target.info_.responsive_) {
            capacity += target.info_.capacity_.cpu_;
            allocated += target.allocated_.cpu_;
        }
        if (usable && !target.contained_) {
            candidates.push_back(&target);
        }
    }
    pool.underused_ = 2 * allocated < capacity;
    const std::size_t wanted = containedTargets(total, pool.underused_);
    if (wanted == 0) {
        return;
    }
    if (chosen < wanted) {
        std::stable_sort(candidates.begin(), candidates.end(),
                         [](const Target *a, const Target *b) { return isBetterForContainment(*a, *b); });
        for (Target *target : candidates) {
            if (chosen++ == wanted) {
                break;
            }
            target->contained_ = true;
            pool.up_ += target->info_.responsive_ ? 1 : 0;
        }
    }
    containedPools_[service] = pool;
}

// Whether a job of a contained queue can only be placed too late, since the targets that it may use are down or busy.
bool Dispatcher::isBacklogged(const Job &job, std::size_t jobsAhead, Millis now) const
{
    const std::size_t up = containedPools_.at(queueOf(job)->service_).up_;
    const Millis chain = job.due_ - job.latestStart_;
    return up == 0 || now + Millis{chain.count_ * static_cast<std::int64_t>(jobsAhead / up)} > job.lastUsefulStart_;
}

} // namespace ibiswall::cell
