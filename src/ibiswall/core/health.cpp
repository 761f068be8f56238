// Weighs failures by kind, so that a kind that fails everywhere makes no target look ill.

#include <ibiswall/core/health.hpp>

#include <algorithm>

namespace ibiswall {

namespace {

constexpr double smoothing = 0.1;
constexpr int manyTasks = 1 << 16;

void pause(Health &health, Millis now)
{
    health.failureScore_ = 0;
    health.concurrencyLimit_ = 1;
    health.pausedUntil_ = now + health.pause_;
    health.pause_ = std::min(health.pause_ + health.pause_, longestPause);
}

void succeed(Health &health)
{
    health.failureScore_ = 0;
    health.concurrencyLimit_ = std::min(health.concurrencyLimit_ + 1, manyTasks);
    if (health.concurrencyLimit_ > 2) {
        health.pause_ = firstPause;
    }
}

// Counts a failure for its kind and returns how much of it is the target's.
double failureScoreFor(KindFailures &kinds, std::string_view kind, const TaskOutcome &outcome)
{
    if (outcome.state_ == TaskState::NotRun) {
        return outcome.code_ == Code::ConnectRefused ? 1 : rejectionScore;
    }
    double &share = kinds.share_.emplace(kind, 0).first->second;
    const double blame = 1 - share;
    share += smoothing * blame;
    return blame;
}

} // namespace

void recordOutcome(Health &health, KindFailures &kinds, Millis now, std::string_view kind, const TaskOutcome &outcome)
{
    if (outcome.state_ == TaskState::Done) {
        const auto known = kinds.share_.find(kind);
        if (known != kinds.share_.end()) {
            known->second -= smoothing * known->second;
        }
        succeed(health);
        return;
    }
    const double blame = failureScoreFor(kinds, kind, outcome);
    // Tasks that were under way when the pause began do not prolong it.
    if (now < health.pausedUntil_) {
        return;
    }
    health.failureScore_ += blame;
    const bool onTrial = health.pause_ != firstPause;
    if (health.failureScore_ >= (onTrial ? probationScoreLimit : failureScoreLimit)) {
        pause(health, now);
    }
}

void beginSlowStart(Health &health)
{
    health.concurrencyLimit_ = slowStartLimit;
}

} // namespace ibiswall
