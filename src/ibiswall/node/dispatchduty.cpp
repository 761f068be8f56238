// Takes the lead over, and passes on what arrives.

#include "dispatchduty.hpp"

#include "keys.hpp"
#include "metrics.hpp"
#include <boost/asio/post.hpp>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis tickPeriod{50};
constexpr Millis loadRetry{100};
// A write whose answer was lost may take effect this late; jobs of a lost entry are looked for again then.
constexpr Millis lateWrites{7000};

const char *endName(cell::EndKind kind)
{
    constexpr const char *names[] = {"done", "failed", "stopped", "lapsed", "lost"};
    return names[static_cast<std::size_t>(kind)];
}

std::int64_t number(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

} // namespace

DispatchDuty::DispatchDuty(boost::asio::io_context &io,
                           platform::StoreClient &store,
                           DispatchOutlets outlets,
                           std::uint64_t epoch,
                           Millis takenAt,
                           bool first,
                           Millis keepStates)
    : io_(io)
    , store_(store)
    , outlets_(std::move(outlets))
    , epoch_(epoch)
    , first_(first)
    , keepStates_(keepStates)
    , dispatcher_(epoch)
    , timer_(io)
    , storeTimer_(io)
    , tookOverAt_(bootClock())
    , provedAt_(takenAt)
{
}

void DispatchDuty::start()
{
    count("ibiswall_lead_taken_total");
    logEvent("lead.taken", {{"epoch", number(epoch_)}});
    load();
    tick();
}

void DispatchDuty::stop()
{
    stopped_ = true;
    timer_.cancel();
    storeTimer_.cancel();
}

void DispatchDuty::load()
{
    store_.readAll(keys::jobs, false, [self = shared_from_this()](const platform::StoreAnswer &answer) { self->onLoaded(answer); });
}

void DispatchDuty::onLoaded(const platform::StoreAnswer &jobs)
{
    if (stopped_) {
        return;
    }
    if (jobs.outcome_ != platform::StoreOutcome::Ok) {
        storeTimer_.expires_after(std::chrono::milliseconds(loadRetry.count_));
        storeTimer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->load();
            }
        });
        return;
    }
    for (const platform::Item &item : jobs.items_) {
        addStored(item);
    }
    store_.readAll(keys::agents, false, [self = shared_from_this(), count = jobs.items_.size()](const platform::StoreAnswer &answer) {
        logEvent("lead.loaded", {{"epoch", number(self->epoch_)}, {"jobs", number(count)}, {"agents", number(answer.items_.size())}});
        self->onAgentsLoaded(answer);
    });
}

void DispatchDuty::addStored(const platform::Item &item)
{
    auto record = cell::parseRecord(item.value_);
    if (record.has_error()) {
        logEvent("job.unreadable", {{"key", std::string_view(item.key_)}, {"reason", std::string_view(record.error().text_)}});
        return;
    }
    dispatcher_.addJob({keys::nameOf(item.key_, keys::jobs), std::move(record.value()), item.revision_, false, {}, {}, {}}, bootClock());
}

void DispatchDuty::onAgentsLoaded(const platform::StoreAnswer &agents)
{
    if (stopped_) {
        return;
    }
    if (agents.outcome_ != platform::StoreOutcome::Ok) {
        load();
        return;
    }
    for (const platform::Item &item : agents.items_) {
        AgentState &agent = agents_[keys::nameOf(item.key_, keys::agents)];
        agent.registered_ = true;
        agent.revision_ = item.revision_;
    }
    loaded_ = true;
    loadedAt_ = bootClock();
    takeOver();
}

void DispatchDuty::takeOver()
{
    for (const std::string &agent : outlets_.agents_()) {
        introduce(agent);
    }
    // An entry that died during the take-over may have stored a job that was not read.
    sweepLater();
    act();
}

void DispatchDuty::setConfig(const cell::CellConfig &config, const std::set<std::string> &domainsOut)
{
    dispatcher_.setConfig(config, domainsOut);
    actLater();
}

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

void DispatchDuty::received(const std::string &from, Frame &&frame)
{
    if (stopped_) {
        return;
    }
    if (auto *offers = std::get_if<OffersFrame>(&frame)) {
        onOffers(from, std::move(*offers));
    } else if (const auto *ping = std::get_if<PingFrame>(&frame)) {
        onPing(from, *ping);
    } else if (auto *report = std::get_if<ReportFrame>(&frame)) {
        onReport(from, std::move(*report));
    } else if (const auto *cancel = std::get_if<CancelFrame>(&frame)) {
        onCancel(from, *cancel);
    }
}

void DispatchDuty::onOffers(const std::string &from, OffersFrame &&frame)
{
    if (!settled_) {
        earlyOffers_.emplace_back(from, std::move(frame));
        return;
    }
    NoticesFrame ended;
    for (cell::JobOffer &offer : frame.offers_) {
        const std::string id = offer.id_;
        offer.origin_ = from;
        if (const auto state = dispatcher_.addJob(std::move(offer), bootClock())) {
            ended.notices_.push_back({id, *state, {}});
        }
    }
    if (!ended.notices_.empty()) {
        outlets_.send_(from, ended);
    }
    actLater();
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
                  {"epoch", number(epoch_)},
                  {"running", number(report.running_.size())},
                  {"ends", number(report.ends_.size())}});
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
                          {"run", number(end.run_.number_)},
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
                      {"run", number(run.number_)},
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
    store_.commit(transaction, [self = shared_from_this(), agent, sentAt](const platform::StoreAnswer &answer) {
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
    store_.commit(transaction, [self = shared_from_this()](const platform::StoreAnswer &answer) {
        if (!self->stopped_ && answer.outcome_ == platform::StoreOutcome::Conflict) {
            self->prove();
        }
    });
}

void DispatchDuty::onCancel(const std::string &from, const CancelFrame &frame)
{
    const Millis now = bootClock();
    if (frame.abandoned_) {
        dispatcher_.abandon(frame.job_, from, now);
        act();
        return;
    }
    switch (dispatcher_.cancel(frame.job_, now)) {
    case cell::CancelOutcome::Accepted:
        act();
        break;
    case cell::CancelOutcome::AlreadyFinal:
        outlets_.send_(from, NoticesFrame{{{frame.job_, *dispatcher_.finalState(frame.job_), {}}}});
        break;
    case cell::CancelOutcome::Unknown:
        lookUp(frame.job_, [self = shared_from_this(), from, frame](bool found) {
            if (found) {
                self->onCancel(from, frame);
            } else {
                self->outlets_.send_(from, UnknownJobFrame{frame.job_});
            }
        });
        break;
    }
}

// Reads one job from the store, and tells whether it is known now; nothing follows when the store does not say.
void DispatchDuty::lookUp(const std::string &job, std::function<void(bool)> then)
{
    store_.get(keys::job(job), [self = shared_from_this(), job, then = std::move(then)](const platform::StoreAnswer &answer) {
        if (self->stopped_) {
            return;
        }
        if (answer.outcome_ == platform::StoreOutcome::Ok && !answer.items_.empty()) {
            self->addStored(answer.items_.front());
            then(self->dispatcher_.knows(job));
        } else if (answer.outcome_ == platform::StoreOutcome::NotFound) {
            then(false);
        } else if (self->lookingUp_.erase(job) > 0) {
            self->lookUpAgain_.insert(job);
        }
        self->actLater();
    });
}

// Finds out about a job of which a target reports runs or ends, and that no entry has offered.
void DispatchDuty::lookUpForeign(const std::string &job)
{
    if (!lookingUp_.insert(job).second) {
        return;
    }
    lookUp(job, [self = shared_from_this(), job](bool found) {
        self->lookingUp_.erase(job);
        if (!found) {
            // An ephemeral job is not in the store; its entry may be about to offer it.
            self->unoffered_.try_emplace(job, bootClock());
        }
    });
}

void DispatchDuty::sweepLater()
{
    const Millis now = bootClock();
    sweeps_.push_back(now + tickPeriod);
    sweeps_.push_back(now + lateWrites);
}

void DispatchDuty::yield()
{
    if (!hasYielded()) {
        yieldedAt_ = bootClock();
        logEvent("lead.yielded", {{"epoch", number(epoch_)}, {"proof_age_ms", proofAge().count_}});
    }
}

void DispatchDuty::resume()
{
    logEvent("lead.resumed",
             {{"epoch", number(epoch_)}, {"proof_age_ms", proofAge().count_}, {"yielded_ms", (bootClock() - yieldedAt_).count_}});
    yieldedAt_ = {};
    actLater();
}

bool DispatchDuty::hasYielded() const
{
    return yieldedAt_ != Millis{0};
}

Millis DispatchDuty::yieldedAt() const
{
    return yieldedAt_;
}

StoreContact DispatchDuty::storeContact() const
{
    return {proofAge(), unansweredSince_};
}

Millis DispatchDuty::rightUntil() const
{
    if (hasYielded()) {
        return {0};
    }
    return {std::max((provedAt_ + rights_.leader_).count_, outlets_.promisedUntil_().count_)};
}

Millis DispatchDuty::proofAge() const
{
    return bootClock() - provedAt_;
}

std::map<std::string, std::size_t> DispatchDuty::waitingJobs() const
{
    return dispatcher_.waitingJobs();
}

} // namespace ibiswall::node
