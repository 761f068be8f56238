// Weighs failures by kind, so that a kind that fails everywhere makes no target look ill.

#include <ibiswall/core/health.hpp>

#include <algorithm>

namespace ibiswall {

namespace {

constexpr double smoothing = 0.1;
constexpr int manyTasks = 1 << 16;

void pause(Health &health, Millis now)
{
    health.blame_ = 0;
    health.limit_ = 1;
    health.pausedUntil_ = now + health.pause_;
    health.pause_ = std::min(health.pause_ + health.pause_, longestPause);
}

void succeed(Health &health)
{
    health.blame_ = 0;
    health.limit_ = std::min(health.limit_ + 1, manyTasks);
    if (health.limit_ > 2) {
        health.pause_ = firstPause;
    }
}

// Counts a failure for its kind and returns how much of it is the target's.
double blameFor(KindFailures &kinds, std::string_view kind, const TaskOutcome &outcome)
{
    if (outcome.state_ == TaskState::NotRun) {
        return outcome.code_ == Code::ConnectRefused ? 1 : refusalBlame;
    }
    double &share = kinds.share_.emplace(kind, 0).first->second;
    const double blame = 1 - share;
    share += smoothing * blame;
    return blame;
}

} // namespace

void noteOutcome(Health &health, KindFailures &kinds, Millis now, std::string_view kind, const TaskOutcome &outcome)
{
    if (outcome.state_ == TaskState::Done) {
        const auto known = kinds.share_.find(kind);
        if (known != kinds.share_.end()) {
            known->second -= smoothing * known->second;
        }
        succeed(health);
        return;
    }
    const double blame = blameFor(kinds, kind, outcome);
    // Tasks that were under way when the pause began do not prolong it.
    if (now < health.pausedUntil_) {
        return;
    }
    health.blame_ += blame;
    const bool onTrial = health.pause_ != firstPause;
    if (health.blame_ >= (onTrial ? trialBlameLimit : blameLimit)) {
        pause(health, now);
    }
}

void startGently(Health &health)
{
    health.limit_ = gentleLimit;
}

} // namespace ibiswall
