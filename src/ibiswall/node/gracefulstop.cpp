// State machine of the graceful stop of an entry.

#include "gracefulstop.hpp"

namespace ibiswall::node {

GracefulStop::GracefulStop(GracefulStopSettings settings)
    : settings_(settings)
{
}

void GracefulStop::setGracePeriod(Millis gracePeriod)
{
    settings_.gracePeriod_ = gracePeriod;
}

void GracefulStop::begin(Millis now)
{
    if (!begunAt_) {
        begunAt_ = now;
    }
}

bool GracefulStop::hasBegun() const
{
    return begunAt_.has_value();
}

std::optional<Millis> GracefulStop::elapsed(Millis now) const
{
    return begunAt_ ? std::optional(now - *begunAt_) : std::nullopt;
}

bool GracefulStop::isReady(bool configured) const
{
    return configured && !begunAt_;
}

bool GracefulStop::isClosing() const
{
    return closing_;
}

Departure GracefulStop::departure() const
{
    return closing_ ? Departure::Closing : begunAt_ ? Departure::Accepting : Departure::None;
}

bool GracefulStop::closeIfDue(bool hasSuccessor, Millis now)
{
    if (!begunAt_ || closing_) {
        return false;
    }
    const Millis elapsed = now - *begunAt_;
    closing_ = (hasSuccessor && elapsed >= settings_.balancerDelay_) || elapsed + settings_.drainReserve_ > settings_.gracePeriod_;
    return closing_;
}

bool GracefulStop::mustAnswerNow(Millis now) const
{
    return closing_ && now - *begunAt_ + settings_.answerReserve_ > settings_.gracePeriod_;
}

bool GracefulStop::mayExit(bool idle, Millis now) const
{
    const bool expired = closing_ && now - *begunAt_ + settings_.answerReserve_ > settings_.gracePeriod_ + settings_.lastAnswersTimeout_;
    return closing_ && (idle || expired);
}

} // namespace ibiswall::node
