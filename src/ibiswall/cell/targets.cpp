// Scores targets and chooses one for a task.

#include <ibiswall/cell/targets.hpp>

#include <algorithm>
#include <array>

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
// Penalty for additional run time by interference of as much as one run of the task, as a share of the target's capacity. Free
// capacity is worth little while it is not short, so that a quiet target is preferred unless it is much fuller.
constexpr double interferenceWeight = 1.0;
constexpr double maxInterferencePenalty = 2.0;
// Only targets with a lower failure rate are preferred for being quiet: one failed run counts for 12 runs.
constexpr double maxFailureRateToPrefer = 0.03;

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

bool isAwayFromData(const Target &target, const Placement &placement)
{
    return !placement.step_.dataRack_.empty() && !hasLabel(target.info_, placement.step_.dataRack_);
}

double score(const Target &target, const Placement &placement)
{
    const auto cpuCapacity = static_cast<double>(std::max<std::int64_t>(target.info_.capacity_.cpu_, 1));
    double score = static_cast<double>(target.info_.capacity_.cpu_ - target.allocated_.cpu_) / cpuCapacity;
    score
        += placement.end_ != nullptr ? endScore(*placement.end_, target.logFactor_) : -slownessWeight * std::max(0.0, target.slowness_ - 1);
    score -= failureWeight * target.failureRate_;
    if (isAwayFromData(target, placement)) {
        score -= remoteDataWeight;
    }
    if (placement.contained_ && hasRunsOf(target.runs_, placement.job_)) {
        // Tasks of one job stay together, so that one that crashes its target exposes no more targets than needed.
        score += sameJobWeight;
    }
    return score;
}

struct Candidate
{
    Target *target_ = nullptr;
    double score_ = 0;

    void replaceIfBetter(Target &target, double score)
    {
        if (target_ == nullptr || score > score_) {
            *this = {&target, score};
        }
    }
};

bool separates(const Placement &placement)
{
    return placement.interference_ != nullptr && placement.separation_ > 0 && !placement.contained_;
}

// Penalty for interference, as a share of the target's capacity.
double interferencePenalty(const Target &target, const Placement &placement)
{
    const double extra = interferenceCost(*placement.interference_, placement.kind_, target.kinds_);
    return placement.separation_ * std::min(interferenceWeight * extra, maxInterferencePenalty);
}

} // namespace

Target *chooseTarget(Targets &targets, const Placement &placement, Millis now)
{
    Candidate best;
    // Those with the least interference, with and without the data.
    std::array<Candidate, 2> quiet;
    const bool avoids = separates(placement);
    for (auto &[agent, target] : targets) {
        if (!fits(placement.step_.need_, target.info_.capacity_ - target.allocated_) || !isCandidate(target, placement, now)) {
            continue;
        }
        const double candidate = score(target, placement);
        best.replaceIfBetter(target, candidate);
        if (avoids && target.failureRate_ < maxFailureRateToPrefer) {
            quiet[isAwayFromData(target, placement) ? 1 : 0].replaceIfBetter(target, candidate - interferencePenalty(target, placement));
        }
    }
    if (!avoids || best.target_ == nullptr) {
        return best.target_;
    }
    const Candidate &other = quiet[isAwayFromData(*best.target_, placement) ? 1 : 0];
    const bool isQuieter = other.target_ != nullptr && other.score_ > best.score_ - interferencePenalty(*best.target_, placement);
    return isQuieter ? other.target_ : best.target_;
}

double utilizationOf(const Targets &targets, std::string_view service)
{
    std::int64_t used = 0;
    std::int64_t capacity = 0;
    for (const auto &[agent, target] : targets) {
        const TargetInfo &info = target.info_;
        if (target.present_ && info.responsive_ && !info.draining_ && !target.contained_ && info.service_ == service) {
            used += target.allocated_.cpu_;
            capacity += info.capacity_.cpu_;
        }
    }
    return capacity <= 0 ? 1 : static_cast<double>(used) / static_cast<double>(capacity);
}

void addRun(Target &target, Interference &model, const TaskId &id, PlacedRun run)
{
    removeRun(target, model, id);
    run.beside_.clear();
    for (const KindCount &each : target.kinds_) {
        run.beside_.push_back(each.kind_);
    }
    const auto count
        = std::find_if(target.kinds_.begin(), target.kinds_.end(), [&run](const KindCount &each) { return each.kind_ == run.kind_; });
    if (count == target.kinds_.end()) {
        target.kinds_.push_back({run.kind_, 1});
    } else {
        ++count->count_;
    }
    ++model.kinds_[run.kind_].running_;
    target.allocated_ = target.allocated_ + run.need_;
    target.runs_.emplace(id, std::move(run));
}

std::optional<PlacedRun> removeRun(Target &target, Interference &model, const TaskId &id)
{
    const auto found = target.runs_.find(id);
    if (found == target.runs_.end()) {
        return std::nullopt;
    }
    PlacedRun run = std::move(found->second);
    target.runs_.erase(found);
    target.allocated_ = target.allocated_ - run.need_;
    --model.kinds_[run.kind_].running_;
    const auto count
        = std::find_if(target.kinds_.begin(), target.kinds_.end(), [&run](const KindCount &each) { return each.kind_ == run.kind_; });
    if (--count->count_ == 0) {
        target.kinds_.erase(count);
    }
    return run;
}

void clearRuns(Target &target, Interference &model)
{
    for (const KindCount &each : target.kinds_) {
        model.kinds_[each.kind_].running_ -= each.count_;
    }
    target.kinds_.clear();
    target.runs_.clear();
    target.allocated_ = {};
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
