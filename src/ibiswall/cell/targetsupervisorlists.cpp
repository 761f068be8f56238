// Applies the target's lists of runs and results to a supervisor, and reports them.

#include <ibiswall/cell/targetsupervisor.hpp>

#include <algorithm>

namespace ibiswall::cell {

void TargetSupervisor::acknowledge(std::int64_t incarnation, std::uint64_t through)
{
    if (incarnation != targetIncarnation_) {
        return;
    }
    unacknowledgedResults_.erase(unacknowledgedResults_.begin(), unacknowledgedResults_.upper_bound(through));
}

void TargetSupervisor::recordResult(const RunResult &result)
{
    const auto found = runs_.find(result.run_.task_);
    const bool known = found != runs_.end() && found->second.number_ == result.run_.number_;
    if (result.number_ > highestResult_) {
        highestResult_ = result.number_;
        unacknowledgedResults_[result.number_] = {result, known && found->second.ephemeral_};
        report_.results_.push_back(result);
    }
    if (known) {
        runs_.erase(found);
    }
}

// Whether the current incarnation may still carry out the start of a run: a call for it has no reply, and neither a list nor a stop shows
// that the target would reject it.
bool TargetSupervisor::mayStartLate(const LocalRun &run, Millis now) const
{
    const bool ended = refusedSince_ != Millis{0} && now >= refusedSince_ + settings_.crashConfirmation_;
    return run.unansweredIn_ != 0 && !ended && run.startedBy_ != targetIncarnation_ && run.phase_ != Phase::Stopped
        && now <= run.unansweredAt_ + settings_.lateCallPeriod_;
}

// Neither starts nor renewals have extended the lease: all runs have ended, but for those that may still be started.
void TargetSupervisor::expireRuns(Millis now)
{
    for (auto each = runs_.begin(); each != runs_.end();) {
        const auto &[task, run] = *each;
        if ((run.phase_ == Phase::Starting && run.calling_) || mayStartLate(run, now)) {
            ++each;
            continue;
        }
        if (!run.reported_ && !run.crash_) {
            unexplainedLosses_.emplace_back(Run{task, run.number_}, run.started_);
        }
        each = loseRun(each, now);
    }
}

// Removes a run that has ended without a result.
std::map<TaskId, TargetSupervisor::LocalRun>::iterator TargetSupervisor::loseRun(std::map<TaskId, LocalRun>::iterator lost, Millis now)
{
    const auto &[task, run] = *lost;
    if (run.crash_) {
        addCrash({{task, run.number_}, run.crash_->suspected_, run.started_, {}}, run.crash_->at_, now);
    }
    if (!run.reported_) {
        report_.results_.push_back({0, {task, run.number_}, RunOutcome::Lost, {}});
    }
    return runs_.erase(lost);
}

void TargetSupervisor::setUnlistedResults(bool unlisted)
{
    if (std::exchange(unlistedResults_, unlisted) != unlisted) {
        report_.unlistedResults_ = unlisted;
    }
}

// Whether a renewal can make the target list results that it has not listed yet.
bool TargetSupervisor::canListMoreResults() const
{
    return !unlistedResults_ || releasable() > releasedThrough_;
}

// Highest number up to which the target may discard results.
std::uint64_t TargetSupervisor::releasable() const
{
    for (const auto &[number, unacknowledged] : unacknowledgedResults_) {
        if (!unacknowledged.ephemeral_) {
            return number - 1;
        }
    }
    return highestResult_;
}

// A renewal that reaches an incarnation which the agent does not know of yet discards results there by the numbers of the former one.
// The new incarnation has no result that it has not listed unless it has started a run.
bool TargetSupervisor::mayRelease() const
{
    return std::all_of(runs_.begin(), runs_.end(),
                       [](const auto &each) { return each.second.startedBy_ != 0 || each.second.startSentAt_ == Millis{0}; });
}

void TargetSupervisor::onRenewalReply(const TargetCall &call, const RenewalReply &reply, Millis now)
{
    --renewalsInFlight_;
    if (reply.outcome_ == CallOutcome::Ok && reply.targetIncarnation_ > targetIncarnation_) {
        // First, since the contact of the earlier incarnation tells which run may have caused its crash.
        onTargetRestarted(reply.targetIncarnation_, now);
    }
    recordOutcome(call, reply.outcome_, now);
    if (reply.outcome_ != CallOutcome::Ok) {
        const bool timedOut = reply.outcome_ == CallOutcome::Unknown;
        renewRetryAt_ = now + (!responsive_ ? settings_.probeInterval_ : timedOut ? settings_.lossRetryDelay_ : settings_.retryDelay_);
        reportRenewalSent_ = false;
        tick(now);
        return;
    }
    if (reply.targetIncarnation_ == targetIncarnation_ && call.epoch_ == epoch_) {
        readClock(reply.clock_, now);
        if (call.targetIncarnation_ == targetIncarnation_) {
            releasedThrough_ = std::max(releasedThrough_, call.acknowledged_);
        }
        reconcileRuns(call, reply, now);
    } else {
        reportRenewalSent_ = false;
    }
    tick(now);
}

// Reconciles runs_ with the target's lists.
void TargetSupervisor::reconcileRuns(const TargetCall &call, const RenewalReply &reply, Millis now)
{
    for (const RunResult &result : reply.results_) {
        recordResult(result);
    }
    if (call.serial_ < latestAppliedRenewal_) {
        return;
    }
    latestAppliedRenewal_ = call.serial_;
    listApplied_ = true;
    setUnlistedResults(reply.hasMoreResults_);
    confirmIncarnation(call);
    std::set<TaskId> running;
    for (const Run &run : reply.running_) {
        running.insert(run.task_);
        auto [entry, added] = runs_.try_emplace(run.task_);
        LocalRun &local = entry->second;
        if (added) {
            local.number_ = run.number_;
            local.phase_ = Phase::Running;
            local.since_ = now;
        }
        if (local.number_ == run.number_) {
            local.started_ = true;
            local.startedBy_ = targetIncarnation_;
            local.crash_.reset();
        }
        if (added) {
            // Started by an earlier agent process, with a lease that is unknown here.
            leaseUntil_ = {std::max(leaseUntil_.count_, (now + settings_.maxLease_).count_)};
            if (!fullReportDue_) {
                sendStop(run.task_, local, now);
            }
        }
    }
    for (auto each = runs_.begin(); each != runs_.end() && !unlistedResults_;) {
        LocalRun &run = each->second;
        const bool listable = run.phase_ == Phase::Running || run.phase_ == Phase::Stopped;
        if (!listable || run.since_ >= call.sentAt_ || running.count(each->first) != 0) {
            ++each;
            continue;
        }
        if (run.phase_ == Phase::Running && run.unansweredIn_ != 0 && run.unansweredIn_ < targetIncarnation_) {
            // The start that an earlier incarnation has confirmed was sent more than once, and may be carried out again.
            sendStop(each->first, run, now);
            ++each;
            continue;
        }
        each = loseRun(each, now);
    }
    if (fullReportDue_ && reportRenewalSent_) {
        completeFullReport(now);
    }
}

// Whether a full report needs no list of the target: the target has crashed, and either all runs that may have been active on
// it are known, or any lease that an earlier agent process had requested has expired.
bool TargetSupervisor::isStateKnownWithoutTarget(Millis now) const
{
    const bool leasesExpired = now >= refusedSince_ + settings_.maxLease_ + settings_.leaseExpiryMargin_;
    return refusedSince_ != Millis{0} && (listApplied_ || leasesExpired);
}

void TargetSupervisor::completeFullReport(Millis now)
{
    fullReportDue_ = false;
    report_.full_ = true;
    reportTarget();
    report_.unlistedResults_ = unlistedResults_;
    report_.results_.clear();
    for (const auto &[number, unacknowledged] : unacknowledgedResults_) {
        report_.results_.push_back(unacknowledged.result_);
    }
    for (const auto &[task, run] : runs_) {
        if (!run.reported_) {
            report_.running_.push_back({task, run.number_});
        }
    }
    expireCrashes(now);
    report_.crashes_.clear();
    for (const auto &[at, crash] : crashes_) {
        report_.crashes_.push_back({crash.run_, crash.suspected_, crash.started_, now - at});
    }
}

AgentReport TargetSupervisor::takeReport()
{
    if (fullReportDue_ || report_.isEmpty()) {
        return {};
    }
    incrementalReports_ = report_.full_ ? 0 : incrementalReports_ + 1;
    report_.number_ = reportNumber_;
    report_.part_ = incrementalReports_;
    report_.targetIncarnation_ = targetIncarnation_;
    return std::exchange(report_, {});
}

} // namespace ibiswall::cell
