// Follows the incarnations of a supervised target, which keeps its id and its address when it restarts.

#include <ibiswall/cell/targetsupervisor.hpp>

#include <algorithm>

namespace ibiswall::cell {

// The target has restarted: result numbers and clock start again, and no run of an earlier incarnation exists any more. Calls cannot
// name an incarnation, so the new one may have carried out any that it could have received: a run is lost once it certainly was
// started in an earlier incarnation, or the new one does not list it.
void TargetSupervisor::onTargetRestarted(std::int64_t incarnation, Millis now)
{
    const bool restarted = targetIncarnation_ != 0;
    if (restarted) {
        recordCrash(true, now);
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
    dropRunsOfEarlierIncarnations(now);
    stopUnansweredStarts(now);
    // Leases were requested by the clock of an earlier incarnation. The new one grants the longest lease at most.
    strayLeaseUntil_ = restarted ? now + settings_.maxLease_ : Millis{};
    leaseUntil_ = runs_.empty() ? Millis{} : now + settings_.maxLease_;
    listDue_ = !runs_.empty();
    renewRetryAt_ = {};
}

void TargetSupervisor::dropRunsOfEarlierIncarnations(Millis now)
{
    for (auto each = runs_.begin(); each != runs_.end();) {
        LocalRun &run = each->second;
        if (run.startedBy_ != 0 && run.unansweredIn_ == 0) {
            each = loseRun(each, now);
        } else {
            run.startedBy_ = 0;
            ++each;
        }
    }
}

void TargetSupervisor::rememberUnansweredStart(const TargetCall &call, Millis now)
{
    if (const auto found = runs_.find(call.run_.task_); found != runs_.end() && found->second.number_ == call.run_.number_) {
        found->second.unansweredIn_ = call.targetIncarnation_;
        found->second.unansweredAt_ = now;
    }
    while (!unansweredStarts_.empty()
           && (unansweredStarts_.size() >= settings_.maxUnansweredStarts_
               || now > unansweredStarts_.front().first + settings_.lateCallPeriod_)) {
        unansweredStarts_.pop_front();
    }
    if (call.retries_ == 0) {
        unansweredStarts_.emplace_back(now, call.run_);
    }
}

// A new incarnation has forgotten which runs have been stopped or have ended, and would carry out their starts.
void TargetSupervisor::stopUnansweredStarts(Millis now)
{
    for (auto &[task, run] : runs_) {
        if (run.phase_ == Phase::Stopping || run.phase_ == Phase::Stopped) {
            sendStop(task, run, now);
        }
    }
    // The latest run of a task first: its stop prevents all earlier ones.
    for (auto each = unansweredStarts_.rbegin(); each != unansweredStarts_.rend(); ++each) {
        const auto &[at, run] = *each;
        if (now <= at + settings_.lateCallPeriod_ && runs_.count(run.task_) == 0) {
            LocalRun &local = runs_[run.task_];
            local.number_ = run.number_;
            local.unansweredIn_ = targetIncarnation_;
            local.unansweredAt_ = at;
            local.reported_ = true;
            sendStop(run.task_, local, now);
        }
    }
}

// The lease of the agent has ended, so another agent may soon be told to start the same tasks.
void TargetSupervisor::stopRunsWithStrayLease(Millis now)
{
    if (now < agentLeaseUntil_ || now >= strayLeaseUntil_) {
        return;
    }
    for (auto &[task, run] : runs_) {
        if (run.phase_ == Phase::Running) {
            sendStop(task, run, now);
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
