// How long runs take compared with their estimates, learned per kind of work and per target.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ibiswall::cell {

/// What has been learned of one kind of work or of one target.
struct LearnedFactor
{
    /// Natural logarithm of run time over estimate; 0 until something is known.
    double log_ = 0;
    /// Variance of the logarithm of the run time around its expectation. Used of kinds only.
    double variance_ = 0;
    /// Confidence: recorded runs, up to the length of the window, less those that are outdated.
    double samples_ = 0;
    Millis recordedAt_;
};

/// Expected run times. A run is expected to take its estimate times the factor of its kind, which is that on an average target,
/// times the factor of its target, which is that for all kinds. Not thread-safe.
struct RunTimes
{
    /// At most maxKnownKinds.
    std::unordered_map<std::string, LearnedFactor> kinds_;
    /// By agent. At most maxKnownTargets.
    std::unordered_map<std::string, LearnedFactor> targets_;
    /// When outdated knowledge was last reduced.
    Millis agedAt_;
};

/// Bounds of the memory. Kinds are named by callers, so their number is limited; a cell has some hundreds.
constexpr std::size_t maxKnownKinds = 1024;
constexpr std::size_t maxKnownTargets = 32768;

/// Spread of the logarithm of run time over estimate until a kind is known: estimates and run times have a spread of 0.4 each.
constexpr double defaultSpread = 0.57;

/// What a run is expected to take.
struct ExpectedRatio
{
    /// Typical (geometric mean) run time over estimate. The arithmetic mean is higher by about exp(spread_^2 / 2).
    double ratio_ = 1;
    /// Standard deviation of the logarithm of a single run's ratio around it.
    double spread_ = defaultSpread;
    /// Runs that the less known of kind and target is based on; 0 if either is unknown, which then counts as 1.
    double samples_ = 0;
};

/// Returns what a run of a kind is expected to take on an agent's target.
/// @param agent empty for an average target; the samples are those of the kind then
ExpectedRatio expectedRatio(const RunTimes &runTimes, std::string_view kind, std::string_view agent);

/// Natural logarithm of the factor of an agent's target; 0 if unknown.
double logTargetFactor(const RunTimes &runTimes, const std::string &agent);

/// Learns from a run that ended as done. Also reduces outdated knowledge, about once a second.
/// @param ratio run time over estimate
void recordRunTime(RunTimes &runTimes, std::string_view kind, std::string_view agent, double ratio, Millis now);

/// Forgets a target: it has restarted or left.
void forgetTarget(RunTimes &runTimes, const std::string &agent);

/// Reduces knowledge that no run has confirmed lately, and restores the convention that an average target has factor 1. At most once a
/// second; takes time proportional to the known kinds and targets.
void ageRunTimes(RunTimes &runTimes, Millis now);

} // namespace ibiswall::cell
