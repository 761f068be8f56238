// Until when the work on a job is of use to its caller.

#pragma once

#include <ibiswall/cell/model.hpp>

namespace ibiswall::cell {

/// Times of a job, measured from its submission.
struct UsefulTime
{
    /// Estimated run time of the longest chain of steps.
    Millis chain_;
    /// When the job should end.
    Millis objective_;
    /// When it has to be started to end within usefulObjectiveFactor times the objective.
    Millis lastStart_;
};

/// @param queue null if the queue is not configured
UsefulTime usefulTime(const JobSpec &spec, const Queue *queue);

/// Whether an entry refuses a job that it could not offer to any leader, since it would be started too late.
/// @param deadline when the caller has to be answered
/// @param reserve time that a leader needs at least between the offer and the first start
bool isTooLateToOffer(const UsefulTime &useful, Millis submittedAt, Millis deadline, Millis reserve, Millis now);

} // namespace ibiswall::cell
