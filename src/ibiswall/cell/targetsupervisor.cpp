// Decides beside a target.

#include <ibiswall/cell/targetsupervisor.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Right that must be left for a start to be worth sending.
constexpr Millis minLease{50};

} // namespace

TargetSupervisor::TargetSupervisor(TargetSupervisorSettings settings, std::int64_t firstReport)
    : settings_(settings)
    , reports_(firstReport)
{
}

bool TargetSupervisor::follow(std::uint64_t epoch, std::int64_t lastReport, Millis now)
{
    if (epoch < epoch_) {
        return false;
    }
    epoch_ = epoch;
    reports_ = std::max(reports_, lastReport);
    reportAll();
    tick(now);
    return true;
}

void TargetSupervisor::reportAll()
{
    report_ = {};
    ++reports_;
    reportDue_ = true;
    reportHoldSent_ = false;
    holdRetryAt_ = {};
}

void TargetSupervisor::grant(Millis until)
{
    grantUntil_ = std::max(grantUntil_.count_, until.count_) == until.count_ ? until : grantUntil_;
}

void TargetSupervisor::announced(const TargetInfo &info, std::int64_t clock, Millis now)
{
    if (info.born_ < born_) {
        return;
    }
    if (info.born_ > born_) {
        reborn(info.born_);
    }
    if (!clock_) {
        clock_ = clock;
        clockAt_ = now;
    }
    heardAt_ = now;
    TargetInfo told = info;
    told.answering_ = answering_;
    if (!info_ || !(*info_ == told)) {
        info_ = told;
        report_.info_ = told;
    }
}

void TargetSupervisor::leave()
{
    leaving_ = true;
    if (info_) {
        report_.info_ = info_;
        report_.info_->draining_ = true;
    }
}

void TargetSupervisor::departed(const std::string &id, Millis now)
{
    if (info_ && info_->id_ == id && !info_->draining_) {
        info_->draining_ = true;
        report_.info_ = info_;
    }
    tick(now);
}

// The target lives anew: nothing of the earlier life runs, and its numbers and clock begin again.
void TargetSupervisor::reborn(std::int64_t born)
{
    for (End &end : report_.ends_) {
        // The report will be read as one of the new life, whose numbers begin again.
        end.number_ = 0;
    }
    loseAll();
    answering_ = true;
    if (info_ && info_->born_ != born) {
        // The new life has not announced itself yet.
        info_.reset();
        report_.info_.reset();
    }
    born_ = born;
    clock_.reset();
    leaseUntil_ = {};
    kept_.clear();
    listed_ = 0;
    forgotten_ = 0;
}

// Gives up every run, but for those whose start is under way: a new life may have taken it.
void TargetSupervisor::loseAll()
{
    for (auto each = runs_.begin(); each != runs_.end();) {
        const LocalRun &run = each->second;
        if (run.phase_ == Phase::Starting && run.calling_) {
            ++each;
            continue;
        }
        report_.ends_.push_back({0, {each->first, run.number_}, EndKind::Lost, {}});
        each = runs_.erase(each);
    }
}

bool TargetSupervisor::isReady(Millis now) const
{
    return info_ && !leaving_ && !info_->draining_ && clock_ && now + minLease < grantUntil_ && !reportDue_;
}

bool TargetSupervisor::losesAnswers(Millis now) const
{
    return unansweredAt_ != Millis{0} && now < unansweredAt_ + settings_.lossMemory_;
}

bool TargetSupervisor::mayLease(Millis now) const
{
    return clock_ && now + minLease < grantUntil_ && answering_ && (runs_.empty() || now <= heardAt_ + settings_.silence_);
}

TargetCall TargetSupervisor::makeCall(TargetCall::Kind kind, const Run &run, Millis now) const
{
    TargetCall call;
    call.kind_ = kind;
    call.run_ = run;
    call.epoch_ = epoch_;
    call.born_ = born_;
    call.sentAt_ = now;
    return call;
}

// Lets a call ask for the longest lease that the right allows.
void TargetSupervisor::lease(TargetCall &call, Millis now)
{
    call.leaseUntil_ = {std::min((now + settings_.maxLease_).count_, grantUntil_.count_)};
    call.leaseEnd_ = *clock_ + (call.leaseUntil_ - clockAt_).count_;
    ++leasesInFlight_;
}

// Notes what a call's outcome says about the target and its lease.
void TargetSupervisor::answered(const TargetCall &call, CallOutcome outcome, Millis now)
{
    if (call.leaseEnd_) {
        --leasesInFlight_;
        if (outcome != CallOutcome::NotSent) {
            leaseUntil_ = {std::max(leaseUntil_.count_, call.leaseUntil_.count_)};
        }
    }
    if (outcome == CallOutcome::Unknown) {
        unansweredAt_ = now;
    }
    if (outcome == CallOutcome::NotSent || outcome == CallOutcome::Unknown) {
        if (outcome == CallOutcome::NotSent || now > heardAt_ + settings_.silence_) {
            setAnswering(false);
        }
        return;
    }
    heardAt_ = now;
    setAnswering(true);
}

void TargetSupervisor::setAnswering(bool answering)
{
    answering_ = answering;
    if (info_ && info_->answering_ != answering) {
        info_->answering_ = answering;
        report_.info_ = info_;
    }
}

void TargetSupervisor::start(
    const Run &run, const std::string &payload, const std::string &checkpoint, bool ephemeral, std::int64_t report, Millis now)
{
    const auto known = runs_.find(run.task_);
    if (known != runs_.end() && known->second.number_ == run.number_) {
        return;
    }
    if (report != reports_ || !isReady(now) || known != runs_.end() || !mayLease(now)) {
        report_.refused_.emplace_back(run, false);
        return;
    }
    if (runs_.empty()) {
        // Nothing ran that the target would have been asked about, so its silence means nothing.
        heardAt_ = now;
    }
    runs_[run.task_] = {run.number_, Phase::Starting, now, {}, true, ephemeral};
    TargetCall call = makeCall(TargetCall::Kind::Start, run, now);
    call.payload_ = payload;
    call.checkpoint_ = checkpoint;
    lease(call, now);
    calls_.push_back(std::move(call));
}

void TargetSupervisor::stop(const Run &run, Millis now)
{
    auto [entry, added] = runs_.try_emplace(run.task_);
    LocalRun &local = entry->second;
    if (added) {
        local.number_ = run.number_;
    }
    if (local.number_ == run.number_ && local.phase_ != Phase::Stopping && local.phase_ != Phase::Stopped) {
        callStop(run.task_, local, now);
    }
}

void TargetSupervisor::callStop(const TaskId &task, LocalRun &run, Millis now)
{
    run.phase_ = Phase::Stopping;
    run.since_ = now;
    run.retryAt_ = now + settings_.retryPause_;
    run.calling_ = true;
    calls_.push_back(makeCall(TargetCall::Kind::Stop, {task, run.number_}, now));
}

void TargetSupervisor::acknowledge(std::int64_t born, std::uint64_t through)
{
    if (born != born_) {
        return;
    }
    kept_.erase(kept_.begin(), kept_.upper_bound(through));
}

void TargetSupervisor::keepEnd(const End &end)
{
    const auto found = runs_.find(end.run_.task_);
    const bool known = found != runs_.end() && found->second.number_ == end.run_.number_;
    if (end.number_ > listed_) {
        listed_ = end.number_;
        kept_[end.number_] = {end, known && found->second.ephemeral_};
        report_.ends_.push_back(end);
    }
    if (known) {
        runs_.erase(found);
    }
}

// Highest number up to which the target need not list ends again.
std::uint64_t TargetSupervisor::forgettable() const
{
    for (const auto &[number, kept] : kept_) {
        if (!kept.ephemeral_) {
            return number - 1;
        }
    }
    return listed_;
}

void TargetSupervisor::started(const TargetCall &call, CallOutcome outcome, Millis now)
{
    answered(call, outcome, now);
    const auto found = runs_.find(call.run_.task_);
    if (found == runs_.end() || found->second.number_ != call.run_.number_ || found->second.phase_ != Phase::Starting) {
        return;
    }
    LocalRun &run = found->second;
    run.calling_ = false;
    switch (outcome) {
    case CallOutcome::Ok:
        run.phase_ = Phase::Running;
        run.since_ = now;
        break;
    case CallOutcome::Unknown:
        if (call.repeats_ < settings_.startRepeats_ && call.born_ == born_ && mayLease(now)) {
            // The target takes the same run once, however often it arrives.
            TargetCall again = call;
            ++again.repeats_;
            again.sentAt_ = now;
            lease(again, now);
            run.calling_ = true;
            calls_.push_back(std::move(again));
        } else {
            // A stop keeps a start that is still under way from being carried out.
            callStop(call.run_.task_, run, now);
        }
        break;
    case CallOutcome::NoRoom:
    case CallOutcome::Rejected:
    case CallOutcome::NotSent:
        report_.refused_.emplace_back(call.run_, outcome == CallOutcome::NoRoom);
        runs_.erase(found);
        break;
    }
    tick(now);
}

void TargetSupervisor::stopped(const TargetCall &call, CallOutcome outcome, Millis now)
{
    answered(call, outcome, now);
    const auto found = runs_.find(call.run_.task_);
    if (found == runs_.end() || found->second.number_ != call.run_.number_) {
        return;
    }
    LocalRun &run = found->second;
    run.calling_ = false;
    run.since_ = now;
    if (outcome == CallOutcome::Ok) {
        run.phase_ = Phase::Stopped;
        holdRetryAt_ = {};
    } else {
        run.retryAt_ = now + settings_.retryPause_;
    }
    tick(now);
}

void TargetSupervisor::held(const TargetCall &call, const HoldAnswer &answer, Millis now)
{
    --holdsInFlight_;
    answered(call, answer.outcome_, now);
    if (answer.outcome_ != CallOutcome::Ok) {
        const bool waited = answer.outcome_ == CallOutcome::Unknown;
        holdRetryAt_ = now + (!answering_ ? settings_.probePause_ : waited ? settings_.lossPause_ : settings_.retryPause_);
        reportHoldSent_ = false;
        tick(now);
        return;
    }
    if (answer.born_ > born_) {
        reborn(answer.born_);
    }
    if (answer.born_ == born_ && call.epoch_ == epoch_) {
        clock_ = answer.clock_;
        clockAt_ = now;
        forgotten_ = std::max(forgotten_, call.acknowledged_);
        compare(call, answer, now);
    } else {
        reportHoldSent_ = false;
    }
    tick(now);
}

// Brings runs_ in line with the target's lists.
void TargetSupervisor::compare(const TargetCall &call, const HoldAnswer &answer, Millis now)
{
    for (const End &end : answer.ends_) {
        keepEnd(end);
    }
    if (call.serial_ < listedBy_) {
        return;
    }
    listedBy_ = call.serial_;
    std::set<TaskId> running;
    for (const Run &run : answer.running_) {
        running.insert(run.task_);
        auto [entry, added] = runs_.try_emplace(run.task_);
        if (added) {
            entry->second = {run.number_, Phase::Running, now, {}, false, false};
            // Started by an earlier process, with a lease that is not known here.
            leaseUntil_ = {std::max(leaseUntil_.count_, (now + settings_.maxLease_).count_)};
            if (!reportDue_) {
                callStop(run.task_, entry->second, now);
            }
        }
    }
    for (auto each = runs_.begin(); each != runs_.end();) {
        const LocalRun &run = each->second;
        const bool settled = run.phase_ == Phase::Running || run.phase_ == Phase::Stopped;
        if (settled && run.since_ < call.sentAt_ && running.count(each->first) == 0) {
            report_.ends_.push_back({0, {each->first, run.number_}, EndKind::Lost, {}});
            each = runs_.erase(each);
        } else {
            ++each;
        }
    }
    if (reportDue_ && reportHoldSent_) {
        reportDue_ = false;
        report_.whole_ = true;
        report_.info_ = info_;
        report_.born_ = born_;
        report_.ends_.clear();
        for (const auto &[number, kept] : kept_) {
            report_.ends_.push_back(kept.end_);
        }
        if (leaving_ && report_.info_) {
            report_.info_->draining_ = true;
        }
        for (const auto &[task, run] : runs_) {
            report_.running_.push_back({task, run.number_});
        }
    }
}

void TargetSupervisor::hold(Millis wait, Millis now)
{
    ++holdsInFlight_;
    TargetCall call = makeCall(TargetCall::Kind::Hold, {}, now);
    call.serial_ = ++holds_;
    call.acknowledged_ = forgettable();
    call.wait_ = wait;
    if (mayLease(now)) {
        lease(call, now);
    }
    calls_.push_back(std::move(call));
}

void TargetSupervisor::tick(Millis now)
{
    if (!runs_.empty() && leasesInFlight_ == 0 && now > leaseUntil_ + settings_.lapseSlack_) {
        // Neither starts nor holds have kept anything alive.
        loseAll();
    }
    for (auto &[task, run] : runs_) {
        if (run.phase_ == Phase::Stopping && !run.calling_ && now >= run.retryAt_) {
            callStop(task, run, now);
        }
    }
    if (epoch_ == 0 || now < holdRetryAt_) {
        return;
    }
    if (reportDue_ && !reportHoldSent_) {
        reportHoldSent_ = true;
        hold({}, now);
        return;
    }
    const bool lossy = answering_ && losesAnswers(now);
    if (holdsInFlight_ >= (lossy ? settings_.holdsAtOnce_ : 1)) {
        return;
    }
    const bool settling = std::any_of(runs_.begin(), runs_.end(), [](const auto &each) { return each.second.phase_ == Phase::Stopped; });
    if (settling) {
        hold({}, now);
    } else if (!runs_.empty() || forgettable() > forgotten_ || !answering_) {
        const Millis wait = lossy ? settings_.shortHoldWait_ : settings_.holdWait_;
        hold(runs_.empty() || !answering_ ? Millis{} : wait, now);
        if (lossy && !runs_.empty() && holdsInFlight_ < settings_.holdsAtOnce_) {
            hold(wait, now);
        }
    }
}

std::vector<TargetCall> TargetSupervisor::takeCalls()
{
    return std::exchange(calls_, {});
}

AgentReport TargetSupervisor::takeReport()
{
    if (reportDue_ || report_.isEmpty()) {
        return {};
    }
    parts_ = report_.whole_ ? 0 : parts_ + 1;
    report_.number_ = reports_;
    report_.part_ = parts_;
    return std::exchange(report_, {});
}

std::size_t TargetSupervisor::runs() const
{
    return runs_.size();
}

bool TargetSupervisor::isAnswering() const
{
    return answering_;
}

std::int64_t TargetSupervisor::reports() const
{
    return reports_;
}

std::uint64_t TargetSupervisor::epoch() const
{
    return epoch_;
}

} // namespace ibiswall::cell
