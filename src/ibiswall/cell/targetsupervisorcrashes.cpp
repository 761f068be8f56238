// Records crashes of a supervised target with the runs that were active.

#include <ibiswall/cell/targetsupervisor.hpp>

#include <algorithm>

namespace ibiswall::cell {

// Records the crash of the current incarnation, unless it was leaving, for the runs that were lost before and those that were active on
// it. The next incarnation may have a run instead whose start had no reply when connections were refused, or that is not known to have
// been started before a restart; then the crash counts when the run is lost.
void TargetSupervisor::recordCrash(bool restarted, Millis now)
{
    if (!info_ || info_->leaving_ || std::exchange(crashRecorded_, true)) {
        return;
    }
    for (const auto &[run, started] : std::exchange(unexplainedLosses_, {})) {
        addCrash({run, false, started, {}}, now, now);
    }
    for (auto &[task, run] : runs_) {
        if (run.reported_) {
            continue;
        }
        const bool open = run.phase_ == Phase::Starting && run.calling_;
        if (restarted ? run.startedBy_ == 0 : open) {
            run.crash_ = {now, mayHaveCausedCrash(run)};
        } else {
            addCrash({{task, run.number_}, mayHaveCausedCrash(run), run.started_, {}}, now, now);
        }
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
