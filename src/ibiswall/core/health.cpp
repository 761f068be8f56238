// Weights failures by kind, so that a kind that fails on all targets does not affect the health of any one target.

#include <ibiswall/core/health.hpp>

#include <algorithm>

namespace ibiswall {

namespace {

constexpr double smoothingFactor = 0.1;
constexpr int maxConcurrency = 1 << 16;

void pause(Health &health, Millis now)
{
    health.failureScore_ = 0;
    health.concurrencyLimit_ = 1;
    health.pausedUntil_ = now + health.nextPause_;
    health.nextPause_ = std::min(health.nextPause_ + health.nextPause_, longestPause);
}

void recordSuccess(Health &health)
{
    health.failureScore_ = 0;
    health.concurrencyLimit_ = std::min(health.concurrencyLimit_ + 1, maxConcurrency);
    if (health.concurrencyLimit_ > 2) {
        health.nextPause_ = firstPause;
    }
}

// Updates the failure rate of the kind and returns the score attributed to the target.
double failureScoreFor(KindFailures &kinds, std::string_view kind, const TaskOutcome &outcome)
{
    if (outcome.state_ == TaskState::NotRun) {
        return outcome.code_ == Code::ConnectRefused ? 1 : rejectionScore;
    }
    double &share = kinds.failureShare_.emplace(kind, 0).first->second;
    const double score = 1 - share;
    share += smoothingFactor * score;
    return score;
}

} // namespace

void recordOutcome(Health &health, KindFailures &kinds, Millis now, std::string_view kind, const TaskOutcome &outcome)
{
    if (outcome.state_ == TaskState::Done) {
        const auto found = kinds.failureShare_.find(kind);
        if (found != kinds.failureShare_.end()) {
            found->second -= smoothingFactor * found->second;
        }
        recordSuccess(health);
        return;
    }
    const double score = failureScoreFor(kinds, kind, outcome);
    // Failures of tasks that were in flight when the pause began must not prolong it.
    if (now < health.pausedUntil_) {
        return;
    }
    health.failureScore_ += score;
    const bool onProbation = health.nextPause_ != firstPause;
    if (health.failureScore_ >= (onProbation ? probationScoreLimit : failureScoreLimit)) {
        pause(health, now);
    }
}

void beginSlowStart(Health &health)
{
    health.concurrencyLimit_ = slowStartLimit;
}

} // namespace ibiswall
