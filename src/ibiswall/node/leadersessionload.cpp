// What a leader session reads from the store or takes over from the former leader, and hands over at its end.

#include "keys.hpp"
#include "leadersession.hpp"
#include <algorithm>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis loadRetryDelay{100};
constexpr Millis sweepRetryDelay{50};

} // namespace

// Both reads are sent after the leadership was acquired, so they return all that earlier leaders have stored. There may be more records
// than fit into memory beside the jobs, so each page is applied when it arrives.
void LeaderSession::load()
{
    readJobs([self = shared_from_this()](platform::StoreOutcome outcome) {
        self->jobsRead_ = outcome;
        self->onRead();
    });
    store_.readAll(keys::agents, false, [self = shared_from_this()](const platform::StoreResult &answer) {
        self->agentsRead_ = answer;
        self->onRead();
    });
}

// Adds stored jobs that the dispatcher does not have.
void LeaderSession::readJobs(std::function<void(platform::StoreOutcome)> done)
{
    jobsReadCount_ = 0;
    const auto add = [self = shared_from_this()](const platform::Item &item) {
        ++self->jobsReadCount_;
        if (!self->stopped_ && !self->dispatcher_.hasJob(keys::nameOf(item.key_, keys::jobs))) {
            self->addStored(item);
        }
    };
    store_.readEach(keys::jobs, add, std::move(done));
}

// Finds stored jobs that no entry has offered, for example because theirs failed before it could.
void LeaderSession::sweep()
{
    sweeping_ = true;
    readJobs([self = shared_from_this()](platform::StoreOutcome outcome) {
        self->sweeping_ = false;
        if (self->stopped_) {
            return;
        }
        if (outcome != platform::StoreOutcome::Ok) {
            self->sweeps_.push_back(bootClock() + sweepRetryDelay);
            return;
        }
        self->scheduleDispatch();
    });
}

void LeaderSession::onRead()
{
    if (stopped_ || !jobsRead_ || !agentsRead_) {
        return;
    }
    const platform::StoreOutcome jobs = *std::exchange(jobsRead_, std::nullopt);
    const platform::StoreResult agents = *std::exchange(agentsRead_, std::nullopt);
    if (jobs != platform::StoreOutcome::Ok || agents.outcome_ != platform::StoreOutcome::Ok) {
        loadTimer_.expires_after(std::chrono::milliseconds(loadRetryDelay.count_));
        loadTimer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->load();
            }
        });
        return;
    }
    logEvent("lead.loaded",
             {{"epoch", logNumber(epoch_)},
              {"jobs", logNumber(jobsReadCount_)},
              {"agents", logNumber(agents.items_.size())},
              {"after_ms", (bootClock() - startedAt_).count_}});
    storeRead_ = true;
    for (const platform::Item &item : agents.items_) {
        addAgent(keys::nameOf(item.key_, keys::agents), item.revision_);
    }
    if (!std::exchange(loaded_, true)) {
        loadedAt_ = bootClock();
    }
    for (const std::string &job : std::exchange(earlyLookups_, {})) {
        if (!dispatcher_.hasJob(job)) {
            lookUpOrphan(job);
        }
    }
    contactAgents();
}

// Records that an agent is registered in the store.
void LeaderSession::addAgent(const std::string &name, std::int64_t revision)
{
    AgentState &agent = agents_[name];
    agent.registered_ = true;
    agent.revision_ = std::max(agent.revision_, revision);
    for (const ReportFrame &report : std::exchange(agent.deferredReports_, {})) {
        applyReport(name, report);
    }
}

void LeaderSession::addStored(const platform::Item &item)
{
    auto record = cell::parseRecord(item.value_);
    if (record.has_error()) {
        logEvent("job.unreadable", {{"key", std::string_view(item.key_)}, {"reason", std::string_view(record.error().text_)}});
        return;
    }
    dispatcher_.addJob({keys::nameOf(item.key_, keys::jobs), std::move(record.value()), item.revision_, false, {}, {}, {}}, bootClock());
}

void LeaderSession::contactAgents()
{
    for (const std::string &agent : hooks_.reachableAgents_()) {
        if (!agents_[agent].reports_.isComplete()) {
            sendLead(agent);
        }
    }
    // An entry that failed while the jobs were loaded may have stored one that was not read.
    scheduleSweeps();
    dispatch();
}

void LeaderSession::handOver(const std::string &successor)
{
    if (successor != handover_.successor()) {
        handover_.designate(successor, bootClock());
        logEvent("lead.handover", {{"epoch", logNumber(epoch_)}, {"successor", std::string_view(successor)}});
    }
}

void LeaderSession::cancelHandover()
{
    logEvent("lead.handover", {{"epoch", logNumber(epoch_)}, {"successor", ""}});
    handover_.end();
}

const std::string &LeaderSession::successor() const
{
    return handover_.successor();
}

bool LeaderSession::isHandoverOverdue(Millis now) const
{
    return handover_.isOverdue(now);
}

// Sends the registered agents to the designated successor. An agent without a registration has neither a lease nor runs of this leader.
void LeaderSession::onHandoverRequest(const std::string &from, const HandoverRequestFrame &frame)
{
    if (frame.epoch_ != epoch_ || from != handover_.successor() || !storeRead_) {
        return;
    }
    RegisteredAgents agents;
    for (const auto &[name, agent] : agents_) {
        if (agent.registered_) {
            agents.emplace(name, agent.revision_);
        }
    }
    handover_.onListSent(bootClock());
    hooks_.send_(from, HandoverFrame{epoch_, frame.requestedAt_, std::move(agents)});
}

} // namespace ibiswall::node
