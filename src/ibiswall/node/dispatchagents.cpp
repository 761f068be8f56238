// What the leading entry knows of its agents: their rights, their reports, and which of them are gone.

#include "dispatchduty.hpp"
#include "keys.hpp"
#include "metrics.hpp"
#include <algorithm>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

// Time for which a target takes and runs nothing before its agent is taken out of the store; longer than any lease.
constexpr Millis idleAgent{3000};
// Longest wait for agents that can be reached but do not report, before new jobs are taken: the right that the former
// leader may have given them, and the slack after it, are over by then.
constexpr Millis settleLimit{1200};

const char *endName(cell::EndKind kind)
{
    constexpr const char *names[] = {"done", "failed", "stopped", "lapsed", "lost"};
    return names[static_cast<std::size_t>(kind)];
}

} // namespace

// Asks an agent to report all that it knows.
void DispatchDuty::introduce(const std::string &agent)
{
    outlets_.send_(agent, LeadFrame{epoch_, agents_[agent].reports_.last().number_});
}

void DispatchDuty::agentUp(const std::string &agent)
{
    agents_[agent].reports_.restart();
    dispatcher_.pause(agent);
    if (loaded_) {
        introduce(agent);
    }
}

void DispatchDuty::onPing(const std::string &from, const PingFrame &frame)
{
    if (frame.epoch_ != epoch_) {
        if (loaded_) {
            introduce(from);
        }
        return;
    }
    const auto found = agents_.find(from);
    const Millis now = bootClock();
    const Millis left = rightUntil() - now;
    if (found != agents_.end() && found->second.forgotten_) {
        return;
    }
    const bool known = found != agents_.end() && found->second.registered_ && found->second.reports_.isComplete();
    if (!known) {
        // The agent thinks that it has reported, but the report was lost or its right has been given up.
        introduce(from);
        return;
    }
    const Millis right{std::min(left.count_, rights_.agent_.count_)};
    if (right > Millis{0}) {
        found->second.grantedAt_ = now;
        outlets_.send_(from, PongFrame{epoch_, frame.sentAt_, right});
    }
}

void DispatchDuty::onReport(const std::string &from, ReportFrame &&frame)
{
    if (frame.epoch_ != epoch_) {
        return;
    }
    AgentState &agent = agents_[from];
    const bool usable = frame.report_.info_ && frame.report_.info_->answering_ && !frame.report_.info_->draining_;
    if (agent.forgotten_ && !usable) {
        return;
    }
    if (agent.forgotten_ && !frame.report_.whole_) {
        // Its target is back: all is to be reported anew.
        introduce(from);
        return;
    }
    if (!agent.registered_) {
        const bool asked = !agent.waiting_.empty();
        agent.waiting_.push_back(std::move(frame));
        if (!asked) {
            registerAgent(from);
        }
        return;
    }
    applyReport(from, frame);
}

void DispatchDuty::applyReport(const std::string &from, const ReportFrame &frame)
{
    const cell::AgentReport &report = frame.report_;
    const Millis now = bootClock();
    AgentState &agent = agents_[from];
    const cell::ReportPlace last = agent.reports_.last();
    const cell::ReportVerdict verdict = agent.reports_.judge(report);
    if (verdict != cell::ReportVerdict::TakeIn) {
        logEvent(verdict == cell::ReportVerdict::Incomplete ? "agent.report_lost" : "agent.report_stale",
                 {{"agent", std::string_view(from)},
                  {"report", report.number_},
                  {"part", report.part_},
                  {"last_report", last.number_},
                  {"last_part", last.part_}});
        if (verdict == cell::ReportVerdict::Incomplete) {
            agentUp(from);
        }
        return;
    }
    if (report.whole_) {
        logEvent("agent.reported",
                 {{"agent", std::string_view(from)},
                  {"epoch", logNumber(epoch_)},
                  {"running", logNumber(report.running_.size())},
                  {"ends", logNumber(report.ends_.size())}});
        agent.trusted_ = true;
        agent.grantedAt_ = now;
        dispatcher_.report(from, report.info_, report.born_, report.running_, report.ends_, now);
        outlets_.send_(from, PongFrame{epoch_, {}, {}});
    } else {
        // First, for the ends may be numbered by a new life of the target.
        if (report.info_) {
            logEvent("target.changed",
                     {{"agent", std::string_view(from)},
                      {"target", std::string_view(report.info_->id_)},
                      {"born", report.info_->born_},
                      {"draining", report.info_->draining_ ? 1 : 0}});
            dispatcher_.targetChanged(from, *report.info_);
        }
        for (const cell::End &end : report.ends_) {
            count("ibiswall_ends_total", endName(end.kind_));
            if (end.kind_ != cell::EndKind::Done) {
                logEvent("run.ended",
                         {{"job", std::string_view(end.run_.task_.job_)},
                          {"task", end.run_.task_.index_},
                          {"run", logNumber(end.run_.number_)},
                          {"agent", std::string_view(from)},
                          {"how", endName(end.kind_)}});
            }
            dispatcher_.ended(from, end, now);
        }
        for (const auto &[run, forRoom] : report.refused_) {
            count("ibiswall_rejections_total", forRoom ? "room" : "other");
            logEvent("run.refused",
                     {{"job", std::string_view(run.task_.job_)},
                      {"task", run.task_.index_},
                      {"run", logNumber(run.number_)},
                      {"agent", std::string_view(from)},
                      {"for_room", forRoom ? 1 : 0}});
            dispatcher_.refused(from, run, forRoom, now);
        }
    }
    actLater();
}

// No agent gets a right before the store names it, so that the next leader knows whom to wait for.
void DispatchDuty::registerAgent(const std::string &agent)
{
    platform::Transaction transaction = conditional();
    transaction.writes_.push_back({keys::agents + agent, {}});
    const Millis sentAt = bootClock();
    store_.commit(transaction, [self = shared_from_this(), agent, sentAt](const platform::StoreResult &answer) {
        if (self->stopped_) {
            return;
        }
        AgentState &state = self->agents_[agent];
        if (answer.outcome_ == platform::StoreOutcome::Conflict) {
            self->depose();
        } else if (answer.outcome_ == platform::StoreOutcome::Ok) {
            self->proved(sentAt);
            state.registered_ = true;
            state.revision_ = answer.revision_;
            state.forgotten_ = false;
            for (const ReportFrame &report : std::exchange(state.waiting_, {})) {
                self->applyReport(agent, report);
            }
        } else {
            state.waiting_.clear();
        }
    });
}

// The target takes and runs nothing, so the next leader need not wait for this agent.
void DispatchDuty::forgetAgent(const std::string &agent)
{
    AgentState &state = agents_[agent];
    platform::Transaction transaction = conditional();
    // A removal that arrives late must not undo a later registration.
    transaction.conditions_.push_back({keys::agents + agent, state.revision_});
    transaction.removals_.push_back(keys::agents + agent);
    // Without a right from here on, whatever becomes of the call.
    state.registered_ = false;
    state.reports_.restart();
    state.trusted_ = false;
    state.forgotten_ = true;
    dispatcher_.pause(agent);
    logEvent("agent.idle", {{"agent", std::string_view(agent)}});
    store_.commit(transaction, [self = shared_from_this()](const platform::StoreResult &answer) {
        if (!self->stopped_ && answer.outcome_ == platform::StoreOutcome::Conflict) {
            self->prove();
        }
    });
}

void DispatchDuty::checkAgents(Millis now)
{
    std::vector<std::string> idle;
    for (auto &[name, agent] : agents_) {
        if (!agent.registered_ || !agent.reports_.isComplete() || !dispatcher_.isIdle(name)) {
            agent.idleSince_ = {};
        } else if (agent.idleSince_ == Millis{0}) {
            agent.idleSince_ = now;
        } else if (now > agent.idleSince_ + idleAgent) {
            idle.push_back(name);
        }
        if (agent.trusted_ && now > agent.grantedAt_ + rights_.agent_ + rights_.slack_) {
            count("ibiswall_agents_lost_total");
            logEvent("agent.lost", {{"agent", std::string_view(name)}, {"granted_ms_ago", (now - agent.grantedAt_).count_}});
            agent.reports_.restart();
            agent.trusted_ = false;
            dispatcher_.targetLost(name, now);
            outlets_.drop_(name);
            prove();
        }
    }
    for (const std::string &name : idle) {
        forgetAgent(name);
    }
}

bool DispatchDuty::isSettled(Millis now) const
{
    if (first_ || now > loadedAt_ + settleLimit) {
        return true;
    }
    const std::vector<std::string> reachable = outlets_.agents_();
    return std::all_of(reachable.begin(), reachable.end(), [this](const std::string &name) {
        const auto found = agents_.find(name);
        return found == agents_.end() || !found->second.registered_ || found->second.reports_.isComplete();
    });
}

bool DispatchDuty::isGathered(Millis now) const
{
    // After the wait for agents that cannot be reached, the lead has to be proved once more: under a later leader they
    // may go on.
    const Millis waited = tookOverAt_ + rights_.leader_ + rights_.slack_;
    if (first_ || provedAt_ > waited || (now > waited && now < outlets_.promisedUntil_())) {
        return true;
    }
    return std::all_of(agents_.begin(), agents_.end(),
                       [](const auto &each) { return !each.second.registered_ || each.second.reports_.isComplete(); });
}

} // namespace ibiswall::node
