// Learns the factors of kinds and targets from run times.

#include <ibiswall/cell/runtimes.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace ibiswall::cell {

namespace {

// Ratios beyond it carry no further information: a target is slow up to 8 times, a task up to 7 times as long.
constexpr double maxRatio = 8;
// Limit of a single deviation, twice the default spread, so that the 3 % of tasks that are 7 times as long raise a factor by 4 % only.
constexpr double maxDeviation = 1.2;
// Runs that count as evidence for factor 1 from the start: the variance of a run (0.33) over that between targets (about 0.1).
constexpr double priorRuns = 3;
// Lengths of the windows. A target gets about 40 runs a second: its factor follows a change within a second and has an error of 6 %.
constexpr double targetWindow = 40;
constexpr double kindWindow = 200;
// Time until half of the knowledge is lost. A target that was slow for some seconds is tried again, and kinds change with deployments.
constexpr Millis targetHalfLife{10000};
constexpr Millis kindHalfLife{60000};
constexpr Millis agePeriod{1000};
// Knowledge below this number of samples is discarded.
constexpr double leastSamples = 0.25;

using Factors = std::unordered_map<std::string, LearnedFactor>;

const LearnedFactor *findFactor(const Factors &factors, std::string_view name)
{
    const auto found = factors.find(std::string(name));
    return found == factors.end() ? nullptr : &found->second;
}

// Makes room by discarding the entry with the fewest samples, so that new names cannot displace known ones.
LearnedFactor &findOrAdd(Factors &factors, std::string_view name, std::size_t most)
{
    const auto found = factors.find(std::string(name));
    if (found != factors.end()) {
        return found->second;
    }
    if (factors.size() >= most) {
        factors.erase(std::min_element(factors.begin(), factors.end(),
                                       [](const auto &a, const auto &b) { return a.second.samples_ < b.second.samples_; }));
    }
    LearnedFactor &added = factors[std::string(name)];
    added.variance_ = defaultSpread * defaultSpread;
    return added;
}

void learn(LearnedFactor &factor, double deviation, double window, Millis now)
{
    factor.samples_ = std::min(factor.samples_ + 1, window);
    const double weight = 1 / (factor.samples_ + priorRuns);
    factor.log_ += weight * deviation;
    factor.variance_ += weight * (deviation * deviation - factor.variance_);
    factor.recordedAt_ = now;
}

// Reduces the entries without a recent run.
void age(Factors &factors, Millis now, Millis elapsed, Millis halfLife)
{
    for (auto each = factors.begin(); each != factors.end();) {
        LearnedFactor &factor = each->second;
        const Millis idle = now - factor.recordedAt_;
        if (idle >= agePeriod) {
            const std::int64_t outdated = std::min(idle.count_, elapsed.count_);
            const double kept = std::exp2(-static_cast<double>(outdated) / static_cast<double>(halfLife.count_));
            factor.log_ *= kept;
            factor.samples_ *= kept;
        }
        each = factor.samples_ < leastSamples ? factors.erase(each) : std::next(each);
    }
}

// Moves what all targets have in common to the kinds. Otherwise slower targets and longer kinds could not be told apart.
void normalize(RunTimes &runTimes)
{
    double sum = 0;
    double samples = 0;
    for (const auto &[agent, factor] : runTimes.targets_) {
        sum += factor.samples_ * factor.log_;
        samples += factor.samples_;
    }
    const double common = samples > 0 ? sum / samples : 0;
    for (auto &[agent, factor] : runTimes.targets_) {
        factor.log_ -= common;
    }
    for (auto &[kind, factor] : runTimes.kinds_) {
        factor.log_ += common;
    }
}

} // namespace

ExpectedRatio expectedRatio(const RunTimes &runTimes, std::string_view kind, std::string_view agent)
{
    ExpectedRatio expected;
    double log = 0;
    const LearnedFactor *ofKind = findFactor(runTimes.kinds_, kind);
    if (ofKind != nullptr) {
        log += ofKind->log_;
        expected.spread_ = std::sqrt(ofKind->variance_);
        expected.samples_ = ofKind->samples_;
    }
    if (!agent.empty()) {
        const LearnedFactor *ofTarget = findFactor(runTimes.targets_, agent);
        log += ofTarget == nullptr ? 0 : ofTarget->log_;
        expected.samples_ = std::min(expected.samples_, ofTarget == nullptr ? 0 : ofTarget->samples_);
    }
    expected.ratio_ = std::exp(log);
    return expected;
}

double logTargetFactor(const RunTimes &runTimes, const std::string &agent)
{
    const auto found = runTimes.targets_.find(agent);
    return found == runTimes.targets_.end() ? 0 : found->second.log_;
}

void recordRunTime(RunTimes &runTimes, std::string_view kind, std::string_view agent, double ratio, Millis now)
{
    ageRunTimes(runTimes, now);
    LearnedFactor &ofKind = findOrAdd(runTimes.kinds_, kind, maxKnownKinds);
    LearnedFactor &ofTarget = findOrAdd(runTimes.targets_, agent, maxKnownTargets);
    const double measured = std::log(std::clamp(ratio, 1 / maxRatio, maxRatio));
    const double deviation = std::clamp(measured - ofKind.log_ - ofTarget.log_, -maxDeviation, maxDeviation);
    learn(ofKind, deviation, kindWindow, now);
    learn(ofTarget, deviation, targetWindow, now);
}

void forgetTarget(RunTimes &runTimes, const std::string &agent)
{
    runTimes.targets_.erase(agent);
}

void ageRunTimes(RunTimes &runTimes, Millis now)
{
    const Millis elapsed = now - runTimes.agedAt_;
    if (elapsed < agePeriod) {
        return;
    }
    runTimes.agedAt_ = now;
    age(runTimes.kinds_, now, elapsed, kindHalfLife);
    age(runTimes.targets_, now, elapsed, targetHalfLife);
    normalize(runTimes);
}

} // namespace ibiswall::cell
