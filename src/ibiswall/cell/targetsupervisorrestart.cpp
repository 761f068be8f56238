// Follows the incarnations of a supervised target, which keeps its id and its address when it restarts.

#include <ibiswall/cell/targetsupervisor.hpp>

#include <algorithm>

namespace ibiswall::cell {

// The target has restarted: result numbers and clock start again, and no run of an earlier incarnation exists any more. Calls cannot
// name an incarnation, so the new one may have carried out any that it could have received: a run is lost once it certainly was
// started in an earlier incarnation, or the new one does not list it.
void TargetSupervisor::onTargetRestarted(std::int64_t incarnation, Millis now)
{
    if (targetIncarnation_ != 0) {
        recordRestart(now);
    }
    for (RunResult &result : report_.results_) {
        // The report will be read as one of the new incarnation, whose numbers start again.
        result.number_ = 0;
    }
    targetIncarnation_ = incarnation;
    responsive_ = true;
    departed_ = false;
    refusedSince_ = {};
    crashRecorded_ = false;
    if (info_ && info_->targetIncarnation_ != incarnation) {
        // The new incarnation has not announced itself yet.
        info_.reset();
        report_.info_.reset();
    }
    clock_.reset();
    unacknowledgedResults_.clear();
    highestResult_ = 0;
    releasedThrough_ = 0;
    setUnlistedResults(false);
    dropRunsOfEarlierIncarnations();
    // Leases were requested by the clock of an earlier incarnation. The new one grants the longest lease at most.
    leaseUntil_ = runs_.empty() ? Millis{} : now + settings_.maxLease_;
    listDue_ = !runs_.empty();
    renewRetryAt_ = {};
}

void TargetSupervisor::dropRunsOfEarlierIncarnations()
{
    for (auto each = runs_.begin(); each != runs_.end();) {
        LocalRun &run = each->second;
        if (run.startedBy_ != 0) {
            report_.results_.push_back({0, {each->first, run.number_}, RunOutcome::Lost, {}});
            each = runs_.erase(each);
        } else {
            ++each;
        }
    }
}

// After a reply to a call that was sent when the run had been started or stopped already, no later incarnation has started it.
void TargetSupervisor::confirmIncarnation(const TargetCall &call)
{
    for (auto &[task, run] : runs_) {
        if ((run.phase_ == Phase::Running || run.phase_ == Phase::Stopped) && run.since_ < call.sentAt_) {
            run.startedBy_ = targetIncarnation_;
        }
    }
}

} // namespace ibiswall::cell
