// Graceful stop of an entry: what the load balancer is told, until when jobs are accepted, and when the process exits.

#pragma once

#include "leadership.hpp"

#include <ibiswall/base.hpp>
#include <optional>

namespace ibiswall::node {

/// Timing of a graceful stop.
struct GracefulStopSettings
{
    /// Longest time from the stop signal to the exit.
    Millis gracePeriod_{6000};
    /// The load balancer needs up to two health checks, one second apart, to notice that the entry accepts no more connections.
    Millis balancerDelay_{2200};
    /// Time reserved before the end of the grace period for jobs in progress, if callers have no other entry until then.
    Millis drainReserve_{2200};
    /// Time reserved at the end of the grace period for the last answers.
    Millis answerReserve_{400};
    /// Longest wait, from the start of that reserve, for the last answers to be sent.
    Millis lastAnswersTimeout_{100};
};

/// State machine of a graceful stop. It does no I/O. A stop goes through two phases: until it closes, the entry accepts jobs
/// from callers that the load balancer still sends; after that it refuses new jobs and waits for its last answers.
class GracefulStop
{
public:
    explicit GracefulStop(GracefulStopSettings settings);

    void setGracePeriod(Millis gracePeriod);

    /// Begins the stop; nothing changes if it has begun before.
    void begin(Millis now);

    bool hasBegun() const;

    /// Time since the stop has begun; empty without a stop.
    std::optional<Millis> elapsed(Millis now) const;

    /// Whether the health check succeeds. It fails from the begin of the stop to the exit, whatever the other entries do: if
    /// it depended on them, all of a series of stopping entries would become ready again at the last signal.
    /// @param configured whether the entry has a configuration
    bool isReady(bool configured) const;

    /// Whether new jobs are refused.
    bool isClosing() const;

    Departure departure() const;

    /// Closes the entry if it is time to.
    /// @param hasSuccessor whether callers can be sent to another entry
    /// @return true if it has closed now
    bool closeIfDue(bool hasSuccessor, Millis now);

    /// Whether all remaining callers must be answered now.
    bool mustAnswerNow(Millis now) const;

    /// @param idle whether there is nothing left to answer or to hand over
    bool mayExit(bool idle, Millis now) const;

private:
    GracefulStopSettings settings_;
    std::optional<Millis> begunAt_;
    /// Set only after begunAt_, and never reset.
    bool closing_ = false;
};

} // namespace ibiswall::node
