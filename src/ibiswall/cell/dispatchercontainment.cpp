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
    if (containment_.contained().empty() && containedPools_.empty()) {
        // No target is contained either.
        return;
    }
    containedPools_.clear();
    for (const std::string &name : containment_.contained()) {
        const auto queue = config_.queues_.find(name);
        if (queue != config_.queues_.end() && containedPools_.count(queue->second.service_) == 0) {
            updateContainedPool(queue->second.service_);
        }
    }
    for (auto &[agent, target] : targets_) {
        target.contained_ = target.contained_ && containedPools_.count(target.info_.service_) != 0;
    }
}

// Chooses the targets of a service that contained queues use. A chosen target stays while it takes starts and is needed.
void Dispatcher::updateContainedPool(const std::string &service)
{
    std::vector<Target *> chosen;
    std::vector<Target *> others;
    std::int64_t capacity = 0;
    std::int64_t allocated = 0;
    for (auto &[agent, target] : targets_) {
        if (target.info_.service_ != service) {
            continue;
        }
        const bool usable = takesStarts(target, domainsOut_);
        target.contained_ = target.contained_ && usable;
        if (usable) {
            (target.contained_ ? chosen : others).push_back(&target);
        }
        if (usable && target.info_.responsive_) {
            capacity += target.info_.capacity_.cpu_;
            allocated += target.allocated_.cpu_;
        }
    }
    const double utilization = capacity > 0 ? static_cast<double>(allocated) / static_cast<double>(capacity) : 1;
    const std::size_t wanted = containedTargets(chosen.size() + others.size(), chosen.size(), utilization);
    if (wanted == 0) {
        return;
    }
    std::stable_sort(others.begin(), others.end(), [](const Target *a, const Target *b) { return isBetterForContainment(*a, *b); });
    for (std::size_t i = 0; i < others.size() && chosen.size() < wanted; ++i) {
        others[i]->contained_ = true;
        chosen.push_back(others[i]);
    }
    for (std::size_t i = 0, surplus = chosen.size() - wanted; i < chosen.size() && surplus > 0; ++i) {
        const bool idle = chosen[i]->info_.responsive_ && chosen[i]->runs_.empty();
        chosen[i]->contained_ = !idle;
        surplus -= idle ? 1 : 0;
    }
    ContainedPool &pool = containedPools_[service];
    pool.underused_ = utilization < underusedBelow;
    pool.up_ = static_cast<std::size_t>(
        std::count_if(chosen.begin(), chosen.end(), [](const Target *each) { return each->contained_ && each->info_.responsive_; }));
}

// Whether a job of a contained queue can only be placed too late, since the targets that it may use are down or busy.
bool Dispatcher::isBacklogged(const Job &job, std::size_t jobsAhead, Millis now) const
{
    const std::size_t up = containedPools_.at(queueOf(job)->service_).up_;
    const Millis chain = job.due_ - job.latestStart_;
    return up == 0 || now + Millis{chain.count_ * static_cast<std::int64_t>(jobsAhead / up)} > job.lastUsefulStart_;
}

} // namespace ibiswall::cell
