// Records crashes of a supervised target with the runs that were active.

#include <ibiswall/cell/targetsupervisor.hpp>

#include <algorithm>

namespace ibiswall::cell {

// Records the crash of the current incarnation for the runs that were lost before. Returns false if it is known already, or the
// target was leaving.
bool TargetSupervisor::beginCrash(Millis now)
{
    if (!info_ || info_->leaving_ || std::exchange(crashRecorded_, true)) {
        return false;
    }
    for (const auto &[run, started] : std::exchange(unexplainedLosses_, {})) {
        addCrash({run, false, started, {}}, now, now);
    }
    return true;
}

// The target does not exist any more, nor does any run that was active on it.
void TargetSupervisor::recordCrash(Millis now)
{
    if (!beginCrash(now)) {
        return;
    }
    for (auto &[task, run] : runs_) {
        recordCrashOf(task, run, run.phase_ != Phase::Starting || !run.calling_, now);
    }
}

// The current incarnation has crashed and the next one has begun, in which any run that is not known to have been started before may
// be active instead.
void TargetSupervisor::recordRestart(Millis now)
{
    if (!beginCrash(now)) {
        return;
    }
    for (auto &[task, run] : runs_) {
        recordCrashOf(task, run, run.startedBy_ != 0, now);
    }
}

// @param certain whether the run cannot be active in the next incarnation; otherwise the crash counts when the run is lost
void TargetSupervisor::recordCrashOf(const TaskId &task, LocalRun &run, bool certain, Millis now)
{
    if (run.reported_) {
        return;
    }
    if (certain) {
        addCrash({{task, run.number_}, mayHaveCausedCrash(run), run.started_, {}}, now, now);
    } else {
        run.crash_ = {now, mayHaveCausedCrash(run)};
    }
}

void TargetSupervisor::addCrash(RunCrash crash, Millis at, Millis now)
{
    crash.age_ = now - at;
    const auto later
        = std::upper_bound(crashes_.begin(), crashes_.end(), at, [](Millis time, const auto &each) { return time < each.first; });
    crashes_.emplace(later, at, crash);
    report_.crashes_.push_back(crash);
    expireCrashes(now);
}

bool TargetSupervisor::mayHaveCausedCrash(const LocalRun &run) const
{
    return run.phase_ == Phase::Starting
        || (run.startSentAt_ != Millis{0} && run.startSentAt_ + settings_.crashSuspicionWindow_ >= lastContactAt_);
}

void TargetSupervisor::expireCrashes(Millis now)
{
    while (!crashes_.empty() && (crashes_.size() > settings_.maxCrashes_ || now > crashes_.front().first + settings_.crashRetention_)) {
        crashes_.pop_front();
    }
}

} // namespace ibiswall::cell
