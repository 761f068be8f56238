// Scores targets and chooses one for a task.

#include <ibiswall/cell/targets.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Weight of the latest run in the moving averages, which makes them cover about eight runs.
constexpr double latestRunWeight = 0.12;
// Higher ratios carry no further information: the target is far too slow.
constexpr double maxRatio = 10;
// Penalty for running at half the expected speed, as a share of the target's capacity.
constexpr double slownessWeight = 0.5;
// Penalty for a target that fails every run, as a share of its capacity.
constexpr double failureWeight = 2.0;
// Penalty for running away from the data, as a share of the target's capacity.
constexpr double remoteDataWeight = 0.4;

// Preference for a target that already runs the same job, more than the sum of all penalties.
constexpr double sameJobWeight = 100;

// Jobs that found too little free capacity on a target, after which it takes no start of jobs behind them.
constexpr std::uint32_t maxMisses = 4;

bool hasLabel(const TargetInfo &info, std::string_view label)
{
    return std::find(info.labels_.begin(), info.labels_.end(), label) != info.labels_.end();
}

bool runsSuspectOfOtherJob(const Target &target, const Placement &placement)
{
    return std::any_of(target.runs_.begin(), target.runs_.end(), [&placement](const auto &run) {
        return run.first.job_ != placement.job_ && placement.suspects_->isSuspect(run.first);
    });
}

std::size_t countOtherJobs(const Target &target, std::string_view job)
{
    std::size_t count = 0;
    std::string_view previous = job;
    // In order of job.
    for (const auto &[task, need] : target.runs_) {
        count += task.job_ != previous && task.job_ != job ? 1 : 0;
        previous = task.job_;
    }
    return count;
}

// Whether a target is in use and of the kind that a task needs, and large enough. Changes only with what is known of the target.
bool matches(const Target &target, const Placement &placement)
{
    const TargetInfo &info = target.info_;
    const std::string &label = placement.step_.requiredLabel_;
    return target.present_ && info.responsive_ && !info.draining_ && placement.domainsOut_.count(info.failureDomain_) == 0
        && info.service_ == placement.service_ && (label.empty() || hasLabel(info, label)) && fits(placement.step_.need_, info.capacity_);
}

// Whether a target that matches can take starts now.
bool isOpen(const Target &target, Millis now)
{
    return !target.unlistedResults_ && now >= target.pausedUntil_ && target.misses_ < maxMisses && mayStart(target.stall_, now);
}

// Whether a target can take a task, given enough capacity.
bool isCandidate(const Target &target, const Placement &placement, Millis now)
{
    if (!isOpen(target, now) || !matches(target, placement)) {
        return false;
    }
    if (!placement.admissionControl_ && !target.unknownRuns_.empty()) {
        return false;
    }
    if (placement.avoidStalled_ && target.stall_.stalled_) {
        return false;
    }
    if (placement.contained_ != target.contained_
        || (placement.contained_ && countOtherJobs(target, placement.job_) >= placement.jobsAtOnce_)) {
        return false;
    }
    if (placement.suspects_ != nullptr && runsSuspectOfOtherJob(target, placement)) {
        return false;
    }
    if (placement.runsOfStep_ == nullptr) {
        return true;
    }
    const auto found = placement.runsOfStep_->find(target.agent_);
    return found == placement.runsOfStep_->end() || found->second < placement.step_.maxPerTarget_;
}

double score(const Target &target, const Placement &placement)
{
    const auto cpuCapacity = static_cast<double>(std::max<std::int64_t>(target.info_.capacity_.cpu_, 1));
    double score = static_cast<double>(target.info_.capacity_.cpu_ - target.allocated_.cpu_) / cpuCapacity;
    score
        += placement.end_ != nullptr ? endScore(*placement.end_, target.logFactor_) : -slownessWeight * std::max(0.0, target.slowness_ - 1);
    score -= failureWeight * target.failureRate_;
    if (!placement.step_.dataRack_.empty() && !hasLabel(target.info_, placement.step_.dataRack_)) {
        score -= remoteDataWeight;
    }
    if (placement.contained_ && hasRunsOf(target.runs_, placement.job_)) {
        // Tasks of one job stay together, so that one that crashes its target exposes no more targets than needed.
        score += sameJobWeight;
    }
    return score;
}

} // namespace

Target *chooseTarget(Targets &targets, const Placement &placement, Millis now)
{
    Target *best = nullptr;
    double bestScore = 0;
    for (auto &[agent, target] : targets) {
        if (!fits(placement.step_.need_, target.info_.capacity_ - target.allocated_) || !isCandidate(target, placement, now)) {
            continue;
        }
        const double candidate = score(target, placement);
        if (best == nullptr || candidate > bestScore) {
            best = &target;
            bestScore = candidate;
        }
    }
    return best;
}

void openTargets(Targets &targets)
{
    for (auto &[agent, target] : targets) {
        target.misses_ = 0;
        target.missedJob_ = 0;
    }
}

void forgetFewMisses(Targets &targets)
{
    for (auto &[agent, target] : targets) {
        target.misses_ = target.misses_ < maxMisses ? 0 : target.misses_;
    }
}

Shortage recordMiss(Targets &targets, const Placement &placement, std::uint64_t job, Millis now)
{
    bool open = false;
    for (auto &[agent, target] : targets) {
        if (!isOpen(target, now)) {
            continue;
        }
        // The limit of jobs at once on contained targets counts as a lack of capacity.
        const bool candidate = placement.contained_ ? target.contained_ && matches(target, placement) : isCandidate(target, placement, now);
        if (!candidate) {
            continue;
        }
        if (target.missedJob_ != job) {
            target.missedJob_ = job;
            ++target.misses_;
        }
        open = open || target.misses_ < maxMisses;
    }
    if (open) {
        return Shortage::Busy;
    }
    const bool matched
        = std::any_of(targets.begin(), targets.end(), [&placement](const auto &each) { return matches(each.second, placement); });
    return matched ? Shortage::Closed : Shortage::NoMatch;
}

bool isAnyOpen(const Targets &targets, Millis now)
{
    return std::any_of(targets.begin(), targets.end(), [now](const auto &each) {
        const Target &target = each.second;
        return target.present_ && target.info_.responsive_ && !target.info_.draining_ && isOpen(target, now);
    });
}

void recordRun(Target &target, bool failed, double ratio)
{
    target.failureRate_ += latestRunWeight * ((failed ? 1.0 : 0.0) - target.failureRate_);
    if (!failed) {
        target.slowness_ += latestRunWeight * (std::min(ratio, maxRatio) - target.slowness_);
    }
}

} // namespace ibiswall::cell
