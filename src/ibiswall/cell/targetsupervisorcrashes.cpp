// Records crashes of a supervised target with the runs that were active.

#include <ibiswall/cell/targetsupervisor.hpp>

namespace ibiswall::cell {

// Records the crash of the current incarnation for each run that was active on it, unless it was leaving.
void TargetSupervisor::recordCrash(Millis now)
{
    if (!info_ || info_->leaving_ || std::exchange(crashRecorded_, true)) {
        return;
    }
    for (const auto &[run, started] : std::exchange(unexplainedLosses_, {})) {
        addCrash({run, false, started, {}}, now);
    }
    for (const auto &[task, run] : runs_) {
        // A start without a reply yet may have reached the next incarnation.
        if (run.phase_ != Phase::Starting || !run.calling_) {
            addCrash({{task, run.number_}, mayHaveCausedCrash(run), run.started_, {}}, now);
        }
    }
}

void TargetSupervisor::addCrash(const RunCrash &crash, Millis now)
{
    crashes_.emplace_back(now, crash);
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
