// State machine that supervises one target.

#include <ibiswall/cell/targetsupervisor.hpp>

#include <algorithm>

namespace ibiswall::cell {

TargetSupervisor::TargetSupervisor(TargetSupervisorSettings settings, std::int64_t firstReport)
    : settings_(settings)
    , reportNumber_(firstReport)
{
}

bool TargetSupervisor::follow(const Lead &lead, Millis now)
{
    if (lead.epoch_ < epoch_) {
        return false;
    }
    epoch_ = lead.epoch_;
    // Announcements of one epoch may arrive out of order.
    fence_ = std::max(fence_, fenceOf(lead));
    fenced_ = false;
    reportNumber_ = std::max(reportNumber_, lead.lastReport_);
    scheduleFullReport();
    tick(now);
    return true;
}

void TargetSupervisor::scheduleFullReport()
{
    report_ = {};
    ++reportNumber_;
    fullReportDue_ = true;
    reportRenewalSent_ = false;
    renewRetryAt_ = {};
}

void TargetSupervisor::renewAgentLease(Millis until)
{
    agentLeaseUntil_ = std::max(agentLeaseUntil_.count_, until.count_) == until.count_ ? until : agentLeaseUntil_;
}

void TargetSupervisor::onAnnouncement(const TargetInfo &info, std::int64_t clock, Millis now)
{
    if (info.targetIncarnation_ < targetIncarnation_) {
        return;
    }
    if (info.targetIncarnation_ > targetIncarnation_) {
        onTargetRestarted(info.targetIncarnation_, now);
    }
    readClock(clock, now);
    lastContactAt_ = now;
    TargetInfo current = info;
    current.responsive_ = responsive_;
    current.leaving_ = current.draining_ || departed_;
    current.draining_ = current.leaving_;
    if (!info_ || !(*info_ == current)) {
        info_ = current;
        reportTarget();
    }
}

void TargetSupervisor::drain()
{
    agentDraining_ = true;
    if (info_) {
        reportTarget();
    }
}

// Adds the state of the target to the next report. While the agent is draining, the target is draining for the leader.
void TargetSupervisor::reportTarget()
{
    report_.info_ = info_;
    if (report_.info_ && agentDraining_) {
        report_.info_->draining_ = true;
    }
}

void TargetSupervisor::onDeparture(const std::string &id, std::int64_t incarnation, Millis now)
{
    if (info_ && info_->id_ == id && (incarnation == 0 || incarnation == info_->targetIncarnation_)) {
        departed_ = departed_ || incarnation != 0;
        if (!info_->draining_) {
            info_->draining_ = true;
            info_->leaving_ = true;
            reportTarget();
        }
    }
    tick(now);
}

bool TargetSupervisor::isLossy(Millis now) const
{
    return lastTimeoutAt_ != Millis{0} && now < lastTimeoutAt_ + settings_.lossyPeriod_;
}

TargetCall TargetSupervisor::makeCall(TargetCall::Kind kind, const Run &run, Millis now) const
{
    TargetCall call;
    call.kind_ = kind;
    call.run_ = run;
    call.epoch_ = epoch_;
    call.fence_ = fence_;
    call.targetIncarnation_ = targetIncarnation_;
    call.sentAt_ = now;
    return call;
}

// Updates the state of the connection and of the lease from the outcome of a call.
void TargetSupervisor::recordOutcome(const TargetCall &call, CallOutcome outcome, Millis now)
{
    if (call.leaseEnd_) {
        --leasesInFlight_;
        if (outcome != CallOutcome::NotSent) {
            // Another incarnation grants the longest lease at most, by its own clock.
            const bool restarted = call.targetIncarnation_ != targetIncarnation_;
            const Millis until = restarted ? now + settings_.maxLease_ : call.leaseUntil_;
            leaseUntil_ = {std::max(leaseUntil_.count_, until.count_)};
        }
    }
    if (outcome == CallOutcome::Unknown) {
        lastTimeoutAt_ = now;
    }
    const bool refused = outcome == CallOutcome::Refused;
    if (outcome == CallOutcome::NotSent || outcome == CallOutcome::Unknown || refused) {
        refusedSince_ = refused && refusedSince_ == Millis{0} ? now : refusedSince_;
        if (outcome != CallOutcome::Unknown || now > lastContactAt_ + settings_.unresponsiveAfter_) {
            setResponsive(false);
        }
        return;
    }
    if (call.fence_ == fence_) {
        fenced_ = outcome == CallOutcome::Fenced;
    }
    refusedSince_ = {};
    crashRecorded_ = false;
    unexplainedLosses_.clear();
    lastContactAt_ = now;
    setResponsive(true);
}

void TargetSupervisor::setResponsive(bool responsive)
{
    responsive_ = responsive;
    if (info_ && info_->responsive_ != responsive) {
        info_->responsive_ = responsive;
        reportTarget();
    }
}

void TargetSupervisor::start(
    const Run &run, const std::string &payload, const std::string &checkpoint, bool ephemeral, std::int64_t report, Millis now)
{
    const auto known = runs_.find(run.task_);
    if (known != runs_.end() && known->second.number_ == run.number_) {
        return;
    }
    if (report != reportNumber_ || !isReady(now) || known != runs_.end() || !mayRequestLease(now)) {
        report_.rejected_.emplace_back(run, false);
        return;
    }
    if (runs_.empty()) {
        // No calls were due while nothing ran, so the time without contact says nothing about the target.
        lastContactAt_ = now;
    }
    LocalRun &local = runs_[run.task_];
    local.number_ = run.number_;
    local.since_ = now;
    local.calling_ = true;
    local.ephemeral_ = ephemeral;
    local.startSentAt_ = now;
    lastRunAt_ = now;
    TargetCall call = makeCall(TargetCall::Kind::Start, run, now);
    call.payload_ = payload;
    call.checkpoint_ = checkpoint;
    requestLease(call, now);
    calls_.push_back(std::move(call));
}

void TargetSupervisor::stop(const Run &run, Millis now)
{
    auto [entry, added] = runs_.try_emplace(run.task_);
    LocalRun &local = entry->second;
    if (added) {
        local.number_ = run.number_;
    }
    local.reported_ = false;
    if (local.number_ == run.number_ && local.phase_ != Phase::Stopping && local.phase_ != Phase::Stopped) {
        sendStop(run.task_, local, now);
    }
}

void TargetSupervisor::sendStop(const TaskId &task, LocalRun &run, Millis now)
{
    run.phase_ = Phase::Stopping;
    run.since_ = now;
    run.retryAt_ = now + settings_.retryDelay_;
    run.calling_ = true;
    calls_.push_back(makeCall(TargetCall::Kind::Stop, {task, run.number_}, now));
}

void TargetSupervisor::onStartReply(const TargetCall &call, CallOutcome outcome, Millis now)
{
    recordOutcome(call, outcome, now);
    if (outcome == CallOutcome::Unknown) {
        rememberUnansweredStart(call, now);
    }
    const auto found = runs_.find(call.run_.task_);
    if (found == runs_.end() || found->second.number_ != call.run_.number_ || found->second.phase_ != Phase::Starting) {
        return;
    }
    LocalRun &run = found->second;
    run.calling_ = false;
    switch (outcome) {
    case CallOutcome::Ok:
        run.phase_ = Phase::Running;
        run.started_ = true;
        run.since_ = now;
        break;
    case CallOutcome::Unknown:
        if (call.retries_ < settings_.maxStartRetries_ && call.targetIncarnation_ == targetIncarnation_ && mayRequestLease(now)) {
            // The target starts a run only once, however often the start arrives.
            TargetCall retry = call;
            ++retry.retries_;
            retry.sentAt_ = now;
            requestLease(retry, now);
            run.calling_ = true;
            run.startSentAt_ = now;
            calls_.push_back(std::move(retry));
        } else {
            // The stop prevents a start that is still in flight from being carried out.
            sendStop(call.run_.task_, run, now);
        }
        break;
    case CallOutcome::NoRoom:
    case CallOutcome::Rejected:
    case CallOutcome::Fenced:
    case CallOutcome::NotSent:
    case CallOutcome::Refused:
        if (call.retries_ > 0) {
            // An earlier call for the same start had no reply and may have been carried out, or may still be.
            sendStop(call.run_.task_, run, now);
            break;
        }
        report_.rejected_.emplace_back(call.run_, outcome == CallOutcome::NoRoom);
        runs_.erase(found);
        break;
    }
    tick(now);
}

void TargetSupervisor::onStopReply(const TargetCall &call, CallOutcome outcome, Millis now)
{
    recordOutcome(call, outcome, now);
    const auto found = runs_.find(call.run_.task_);
    if (found == runs_.end() || found->second.number_ != call.run_.number_) {
        return;
    }
    LocalRun &run = found->second;
    run.calling_ = false;
    run.since_ = now;
    if (outcome != CallOutcome::Ok) {
        run.retryAt_ = now + settings_.retryDelay_;
    } else if (call.targetIncarnation_ == targetIncarnation_) {
        run.phase_ = Phase::Stopped;
        renewRetryAt_ = {};
    } else {
        // An earlier incarnation may have replied, and the current one would carry out the start.
        run.retryAt_ = now;
    }
    tick(now);
}

void TargetSupervisor::renew(Millis wait, Millis now)
{
    ++renewalsInFlight_;
    renewedAt_ = now;
    TargetCall call = makeCall(TargetCall::Kind::Renew, {}, now);
    call.serial_ = ++renewalsSent_;
    const std::uint64_t through = releasable();
    call.acknowledged_ = through > releasedThrough_ && mayRelease() ? through : 0;
    call.wait_ = wait;
    if (mayRequestLease(now)) {
        requestLease(call, now);
    }
    calls_.push_back(std::move(call));
}

void TargetSupervisor::tick(Millis now)
{
    lastRunAt_ = runs_.empty() ? lastRunAt_ : now;
    if (refusedSince_ != Millis{0} && now >= refusedSince_ + settings_.crashConfirmation_) {
        recordCrash(false, now);
    }
    const bool leaseExpired = leasesInFlight_ == 0 && now > leaseUntil_ + settings_.leaseExpiryMargin_;
    if (leaseExpired && !responsive_) {
        // Nobody can wait for results of a target that may never reply again.
        setUnlistedResults(false);
    }
    if (leaseExpired) {
        expireRuns(now);
    }
    stopRunsWithStrayLease(now);
    for (auto &[task, run] : runs_) {
        if (run.phase_ == Phase::Stopping && !run.calling_ && now >= run.retryAt_) {
            sendStop(task, run, now);
        }
    }
    if (epoch_ != 0 && fullReportDue_ && isStateKnownWithoutTarget(now)) {
        completeFullReport(now);
    }
    if (epoch_ == 0 || now < renewRetryAt_) {
        return;
    }
    if (fullReportDue_ && !reportRenewalSent_) {
        reportRenewalSent_ = true;
        renew({}, now);
        return;
    }
    if (std::exchange(listDue_, false)) {
        renew({}, now);
    }
    const bool lossy = responsive_ && isLossy(now);
    if (renewalsInFlight_ >= (lossy ? settings_.maxLossyRenewals_ : 1)) {
        return;
    }
    if (responsive_ && !canListMoreResults() && now < renewedAt_ + settings_.unlistedPollInterval_) {
        return;
    }
    const bool awaitingResults
        = std::any_of(runs_.begin(), runs_.end(), [](const auto &each) { return each.second.phase_ == Phase::Stopped; });
    if (awaitingResults) {
        renew({}, now);
    } else if (!runs_.empty() || unlistedResults_ || releasable() > releasedThrough_ || !responsive_) {
        const Millis wait = lossy ? settings_.lossyLongPollWait_ : settings_.longPollWait_;
        renew(runs_.empty() || !responsive_ ? Millis{} : wait, now);
        if (lossy && !runs_.empty() && renewalsInFlight_ < settings_.maxLossyRenewals_) {
            renew(wait, now);
        }
    }
}

std::vector<TargetCall> TargetSupervisor::takeCalls()
{
    return std::exchange(calls_, {});
}

std::int64_t TargetSupervisor::targetIncarnation() const
{
    return targetIncarnation_;
}

std::size_t TargetSupervisor::runs() const
{
    return runs_.size();
}

bool TargetSupervisor::isDrained(Millis now) const
{
    return runs_.empty() && (unacknowledgedResults_.empty() || now > lastRunAt_ + settings_.acknowledgementTimeout_);
}

bool TargetSupervisor::isResponsive() const
{
    return responsive_;
}

bool TargetSupervisor::isFenced() const
{
    return fenced_;
}

std::int64_t TargetSupervisor::reportNumber() const
{
    return reportNumber_;
}

std::uint64_t TargetSupervisor::epoch() const
{
    return epoch_;
}

} // namespace ibiswall::cell
