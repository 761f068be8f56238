// Chooses among targets.

#include <ibiswall/cell/targets.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Weight of the latest run in the running means; about eight runs decide.
constexpr double recentWeight = 0.12;
// A ratio above this says no more than "far too slow".
constexpr double maxRatio = 10;
// Share of a target's room that a slowness of twice the usual is worth.
constexpr double slownessWeight = 0.5;
// Share of a target's room that failing every run is worth.
constexpr double failingWeight = 2.0;
// Share of a target's room that running away from the data is worth.
constexpr double farWeight = 0.4;

bool hasLabel(const TargetInfo &info, std::string_view label)
{
    return std::find(info.labels_.begin(), info.labels_.end(), label) != info.labels_.end();
}

bool mayTake(const Target &target, const Placement &placement, Millis now)
{
    const TargetInfo &info = target.info_;
    if (!target.present_ || info.draining_ || !info.answering_ || info.service_ != placement.service_ || now < target.pausedUntil_) {
        return false;
    }
    if (placement.domainsOut_.count(info.failureDomain_) != 0 || !fits(placement.step_.need_, info.room_ - target.used_)) {
        return false;
    }
    if (!placement.step_.requiredLabel_.empty() && !hasLabel(info, placement.step_.requiredLabel_)) {
        return false;
    }
    if (placement.sameStep_ == nullptr) {
        return true;
    }
    const auto found = placement.sameStep_->find(target.agent_);
    return found == placement.sameStep_->end() || found->second < placement.step_.maxPerTarget_;
}

double score(const Target &target, const Placement &placement)
{
    const auto room = static_cast<double>(std::max<std::int64_t>(target.info_.room_.cpu_, 1));
    double score = static_cast<double>(target.info_.room_.cpu_ - target.used_.cpu_) / room;
    score -= slownessWeight * std::max(0.0, target.slowness_ - 1);
    score -= failingWeight * target.failing_;
    if (!placement.step_.dataRack_.empty() && !hasLabel(target.info_, placement.step_.dataRack_)) {
        score -= farWeight;
    }
    return score;
}

} // namespace

Target *chooseTarget(Targets &targets, const Placement &placement, Millis now)
{
    Target *best = nullptr;
    double bestScore = 0;
    for (auto &[agent, target] : targets) {
        if (!mayTake(target, placement, now)) {
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

void noteRun(Target &target, bool failed, double ratio)
{
    target.failing_ += recentWeight * ((failed ? 1.0 : 0.0) - target.failing_);
    if (!failed) {
        target.slowness_ += recentWeight * (std::min(ratio, maxRatio) - target.slowness_);
    }
}

} // namespace ibiswall::cell
