// Decides whether a target has stalled: its tasks hang or run many times slower.

#pragma once

#include <ibiswall/cell/model.hpp>
#include <ibiswall/cell/runtimes.hpp>

namespace ibiswall::cell {

/// A run that takes longer than the spread of its kind explains, and longer than its job allows.
struct OverdueRun
{
    Run run_;
    /// When it became overdue.
    Millis since_;
    /// Time after its start at which it was longer than the spread of its kind explains.
    Millis limit_;
};

/// What is known of stalls of a target.
struct StallState
{
    bool stalled_ = false;
    /// While stalled: the run that tries the target; has the number 0 if there is none.
    Run probe_;
    /// While stalled: no probe before this time.
    Millis probeAt_;
    /// Pause after the next failed probe.
    Millis pause_;
    /// When a run that was not overdue last ended as done.
    Millis latestTimely_;
    std::vector<OverdueRun> overdue_;
};

/// Whether a target may be given a start, as far as stalls go.
inline bool mayStart(const StallState &state, Millis now)
{
    return !state.stalled_ || (state.probe_.number_ == 0 && now >= state.probeAt_);
}

/// Time after which a run takes longer than the spread of its kind explains.
/// @param expected expectation for its kind on its target
Millis overdueLimit(Millis estimate, const ExpectedRatio &expected);

/// Whether the overdue runs of a target cannot be explained by long tasks.
/// @param runs runs on the target, including those that are overdue
bool hasStalled(const StallState &state, std::size_t runs, Millis now);

/// Whether another target of a service may be taken out of use. If many seem to stall, the cause is elsewhere: a lost link, a slow leader.
/// @param stalled targets that are stalled already
/// @param present targets in use, including stalled ones
bool maySuspectAnother(std::size_t stalled, std::size_t present);

void beginStall(StallState &state, Millis now);

/// The probe did not end in time.
void failProbe(StallState &state, Millis now);

/// A run on the target has ended.
/// @param done whether it ended as done
/// @param timely whether it was not overdue then
/// @return whether the target has recovered
bool recordEnd(StallState &state, std::uint64_t run, bool done, bool timely, Millis now);

} // namespace ibiswall::cell
