// The agents of a leader session: registration, reports, leases and timeouts.

#include "keys.hpp"
#include "leadersession.hpp"
#include "metrics.hpp"
#include <algorithm>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

// An agent is removed from the store after its target has accepted no starts and had no runs for this long; longer than any
// lease.
constexpr Millis idleAgentTimeout{3000};
// Longest wait for reports of reachable agents before offers are handled. A lease granted by the previous leader and the
// margin after it have expired by then.
constexpr Millis agentReportTimeout{1200};

const char *runOutcomeName(cell::RunOutcome kind)
{
    constexpr const char *names[] = {"done", "failed", "stopped", "lapsed", "lost"};
    return names[static_cast<std::size_t>(kind)];
}

} // namespace

// Announces this leader to an agent and asks it for a full report.
void LeaderSession::sendLead(const std::string &agent)
{
    AgentState &state = agents_[agent];
    hooks_.send_(agent, LeadFrame{epoch_, state.reports_.lastAccepted().number_, ++state.leadsSent_});
}

void LeaderSession::requestFullReport(const std::string &agent)
{
    agents_[agent].reports_.expectFullReport();
    dispatcher_.pausePlacement(agent);
    if (loaded_) {
        sendLead(agent);
    }
}

void LeaderSession::onPing(const std::string &from, const PingFrame &frame)
{
    if (frame.epoch_ != epoch_) {
        if (loaded_) {
            sendLead(from);
        }
        return;
    }
    const auto found = agents_.find(from);
    const Millis now = bootClock();
    const Millis remaining = leaseUntil() - now;
    if (found != agents_.end() && found->second.deregistered_) {
        return;
    }
    const bool hasReported = found != agents_.end() && found->second.registered_ && found->second.reports_.isComplete();
    if (!hasReported) {
        // The agent considers its report delivered, but the report was lost or its lease has been revoked here.
        sendLead(from);
        return;
    }
    const Millis lease{std::min(remaining.count_, leaseSettings_.duration_.count_)};
    if (lease > Millis{0}) {
        found->second.leaseGrantedAt_ = now;
        hooks_.send_(from, PongFrame{epoch_, frame.sentAt_, lease});
    }
}

void LeaderSession::onReport(const std::string &from, ReportFrame &&frame)
{
    if (frame.epoch_ != epoch_) {
        return;
    }
    AgentState &agent = agents_[from];
    const bool usable = frame.report_.info_ && frame.report_.info_->responsive_ && !frame.report_.info_->draining_;
    if (agent.deregistered_ && !usable) {
        return;
    }
    if (agent.deregistered_ && !frame.report_.full_) {
        // Its target is usable again: a full report is needed.
        sendLead(from);
        return;
    }
    if (!agent.registered_) {
        const bool registering = !agent.deferredReports_.empty();
        agent.deferredReports_.push_back(std::move(frame));
        if (!registering) {
            registerAgent(from);
        }
        return;
    }
    applyReport(from, frame);
}

void LeaderSession::applyReport(const std::string &from, const ReportFrame &frame)
{
    const cell::AgentReport &report = frame.report_;
    const Millis now = bootClock();
    AgentState &agent = agents_[from];
    const cell::ReportPosition last = agent.reports_.lastAccepted();
    const cell::ReportVerdict verdict = agent.reports_.classify(report);
    if (verdict != cell::ReportVerdict::Accept) {
        logEvent(verdict == cell::ReportVerdict::Incomplete ? "agent.report_lost" : "agent.report_stale",
                 {{"agent", std::string_view(from)},
                  {"report", report.number_},
                  {"part", report.part_},
                  {"last_report", last.number_},
                  {"last_part", last.part_}});
        if (verdict == cell::ReportVerdict::Incomplete) {
            requestFullReport(from);
        }
        return;
    }
    for (const cell::RunCrash &crash : report.crashes_) {
        count("ibiswall_run_crashes_total", crash.suspected_ ? "suspected" : "beside");
        logEvent("run.crashed",
                 {{"job", std::string_view(crash.run_.task_.job_)},
                  {"task", crash.run_.task_.index_},
                  {"run", logNumber(crash.run_.number_)},
                  {"agent", std::string_view(from)},
                  {"suspected", crash.suspected_ ? 1 : 0},
                  {"started", crash.started_ ? 1 : 0},
                  {"age_ms", crash.age_.count_}});
    }
    for (const cell::TaskId &task : dispatcher_.recordCrashes(report.crashes_, now)) {
        count("ibiswall_jobs_given_up_total");
        logEvent("job.given_up", {{"job", std::string_view(task.job_)}, {"task", task.index_}});
    }
    if (report.full_) {
        logEvent("agent.reported",
                 {{"agent", std::string_view(from)},
                  {"epoch", logNumber(epoch_)},
                  {"running", logNumber(report.running_.size())},
                  {"ends", logNumber(report.results_.size())},
                  {"unlisted", report.unlistedResults_.value_or(false) ? 1 : 0}});
        agent.mayHoldLease_ = true;
        agent.leaseGrantedAt_ = now;
        if (report.info_ && report.info_->responsive_ && !report.info_->draining_) {
            hooks_.reached_(RecoveryStage::FirstTarget);
        }
        dispatcher_.setUnlistedResults(from, report.unlistedResults_.value_or(false), now);
        dispatcher_.applyFullReport(from, report.info_, report.targetIncarnation_, report.running_, report.results_, now);
        hooks_.send_(from, PongFrame{epoch_, {}, {}});
    } else {
        // Before the results, since they may be numbered by a new incarnation of the target.
        if (report.info_) {
            logEvent("target.changed",
                     {{"agent", std::string_view(from)},
                      {"target", std::string_view(report.info_->id_)},
                      {"born", report.info_->targetIncarnation_},
                      {"draining", report.info_->draining_ ? 1 : 0}});
            dispatcher_.updateTarget(from, *report.info_);
        }
        dispatcher_.followIncarnation(from, report.targetIncarnation_);
        for (const cell::RunResult &result : report.results_) {
            count("ibiswall_ends_total", runOutcomeName(result.kind_));
            if (result.kind_ != cell::RunOutcome::Done) {
                logEvent("run.ended",
                         {{"job", std::string_view(result.run_.task_.job_)},
                          {"task", result.run_.task_.index_},
                          {"run", logNumber(result.run_.number_)},
                          {"agent", std::string_view(from)},
                          {"how", runOutcomeName(result.kind_)}});
            }
            dispatcher_.applyResult(from, result, now);
        }
        for (const auto &[run, noRoom] : report.rejected_) {
            count("ibiswall_rejections_total", noRoom ? "room" : "other");
            logEvent("run.refused",
                     {{"job", std::string_view(run.task_.job_)},
                      {"task", run.task_.index_},
                      {"run", logNumber(run.number_)},
                      {"agent", std::string_view(from)},
                      {"for_room", noRoom ? 1 : 0}});
            dispatcher_.onStartRejected(from, run, noRoom, now);
        }
        if (report.unlistedResults_) {
            logEvent("target.results_unlisted", {{"agent", std::string_view(from)}, {"unlisted", *report.unlistedResults_ ? 1 : 0}});
            dispatcher_.setUnlistedResults(from, *report.unlistedResults_, now);
        }
    }
    scheduleDispatch();
}

// No agent gets a lease before it is registered in the store, so that the next leader can wait for it.
void LeaderSession::registerAgent(const std::string &agent)
{
    platform::Transaction transaction = leaderTransaction();
    transaction.writes_.push_back({keys::agents + agent, {}});
    const Millis sentAt = bootClock();
    store_.commit(transaction, [self = shared_from_this(), agent, sentAt](const platform::StoreResult &answer) {
        if (self->stopped_) {
            return;
        }
        AgentState &state = self->agents_[agent];
        if (answer.outcome_ == platform::StoreOutcome::Conflict) {
            self->loseLeadership();
        } else if (answer.outcome_ == platform::StoreOutcome::Ok) {
            self->recordConfirmation(sentAt);
            state.registered_ = true;
            state.revision_ = answer.revision_;
            state.deregistered_ = false;
            for (const ReportFrame &report : std::exchange(state.deferredReports_, {})) {
                self->applyReport(agent, report);
            }
        } else {
            count("ibiswall_registrations_failed_total");
            logEvent("agent.unregistered", {{"agent", std::string_view(agent)}});
            state.deferredReports_.clear();
            // Its next ping is answered with a request for a full report, which is another attempt.
            state.deregistered_ = false;
        }
    });
}

// The target accepts no starts and has no runs, so the next leader need not wait for this agent.
void LeaderSession::deregisterAgent(const std::string &agent)
{
    AgentState &state = agents_[agent];
    platform::Transaction transaction = leaderTransaction();
    // A removal that takes effect late must not undo a later registration.
    transaction.conditions_.push_back({keys::agents + agent, state.revision_});
    transaction.removals_.push_back(keys::agents + agent);
    // The agent gets no lease from here on, whatever the outcome of the store call.
    state.registered_ = false;
    state.reports_.expectFullReport();
    state.mayHoldLease_ = false;
    state.deregistered_ = true;
    dispatcher_.pausePlacement(agent);
    logEvent("agent.idle", {{"agent", std::string_view(agent)}});
    store_.commit(transaction, [self = shared_from_this()](const platform::StoreResult &answer) {
        if (!self->stopped_ && answer.outcome_ == platform::StoreOutcome::Conflict) {
            self->confirmLeadership();
        }
    });
}

void LeaderSession::checkAgents(Millis now)
{
    std::vector<std::string> idle;
    for (auto &[name, agent] : agents_) {
        if (!agent.registered_ || !agent.reports_.isComplete() || !dispatcher_.isIdle(name)) {
            agent.idleSince_ = {};
        } else if (agent.idleSince_ == Millis{0}) {
            agent.idleSince_ = now;
        } else if (now > agent.idleSince_ + idleAgentTimeout) {
            idle.push_back(name);
        }
        if (agent.mayHoldLease_ && now > agent.leaseGrantedAt_ + leaseSettings_.duration_ + leaseSettings_.margin_) {
            count("ibiswall_agents_lost_total");
            logEvent("agent.lost", {{"agent", std::string_view(name)}, {"granted_ms_ago", (now - agent.leaseGrantedAt_).count_}});
            agent.reports_.expectFullReport();
            agent.mayHoldLease_ = false;
            dispatcher_.markTargetLost(name, now);
            hooks_.drop_(name);
            confirmLeadership();
        }
    }
    if (!storeRead_ || !handover_.mayRemoveAgents(now)) {
        return;
    }
    for (const std::string &name : idle) {
        deregisterAgent(name);
    }
}

bool LeaderSession::haveAgentsReported(Millis now) const
{
    if (isFirstEpoch_ || now > loadedAt_ + agentReportTimeout) {
        return true;
    }
    const std::vector<std::string> reachable = hooks_.reachableAgents_();
    return std::none_of(reachable.begin(), reachable.end(), [this](const std::string &name) { return isFirstReportNeeded(name); });
}

// Whether fresh jobs wait for the report of a reachable agent.
bool LeaderSession::isFirstReportNeeded(const std::string &agent) const
{
    const auto found = agents_.find(agent);
    if (found != agents_.end() && found->second.registered_) {
        return !found->second.reports_.isComplete();
    }
    if (storeRead_) {
        return false;
    }
    // It may have been registered after the former leader sent its list. A report without runs rules out that it runs anything.
    const bool hasNoRuns = found != agents_.end() && !found->second.deferredReports_.empty()
        && found->second.deferredReports_.front().report_.running_.empty()
        && found->second.deferredReports_.front().report_.results_.empty();
    return !hasNoRuns;
}

bool LeaderSession::isReconciled(Millis now) const
{
    if (!storeRead_ || dispatcher_.hasUnlistedResults()) {
        return false;
    }
    // After the wait for unreachable agents the leadership must be confirmed once more, since a newer leader may have renewed
    // their leases.
    const Millis waitEnd = startedAt_ + leaseSettings_.confirmationLimit_ + leaseSettings_.margin_;
    if (isFirstEpoch_ || confirmedAt_ > waitEnd || (now > waitEnd && now < heldOffUntil())) {
        return true;
    }
    return std::all_of(agents_.begin(), agents_.end(),
                       [](const auto &each) { return !each.second.registered_ || each.second.reports_.isComplete(); });
}

} // namespace ibiswall::node
