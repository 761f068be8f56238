// Sends and stores the decisions of the dispatcher, and keeps the leadership confirmed by the store.

#include "keys.hpp"
#include "leadersession.hpp"
#include "metrics.hpp"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis confirmationInterval{600};
// Least time between two transactions, so that results are batched: a call to the store takes longer than this wait.
constexpr Millis batchInterval{12};
// Time in which entries can offer a job that a target already runs; callers retry within it.
constexpr Millis offerGrace{2500};
// How long the final state of an ephemeral job is kept for a caller that lost the answer and retries.
constexpr Millis ephemeralRetention{10000};
// Longest time for which an acknowledgement waits for orders to be sent with.
constexpr Millis ackPeriod{400};
// Delay before a transaction whose outcome is unknown is retried.
constexpr Millis retryDelay{50};

} // namespace

void LeaderSession::scheduleDispatch()
{
    if (std::exchange(dispatchScheduled_, true)) {
        return;
    }
    boost::asio::post(io_, [self = shared_from_this()] {
        self->dispatchScheduled_ = false;
        self->dispatch();
    });
}

void LeaderSession::dispatch()
{
    if (stopped_ || !loaded_) {
        return;
    }
    const Millis now = bootClock();
    if (!agentsReported_ && haveAgentsReported(now)) {
        agentsReported_ = true;
        for (auto &[from, frame] : std::exchange(earlyOffers_, {})) {
            onOffers(from, std::move(frame));
        }
    }
    if (agentsReported_ && storeRead_) {
        for (auto &[from, frame] : std::exchange(earlyStoredOffers_, {})) {
            onOffers(from, std::move(frame));
        }
    }
    if (!reconciled_ && isReconciled(now)) {
        reconciled_ = true;
        logEvent("lead.gathered", {{"epoch", logNumber(epoch_)}, {"after_ms", (now - startedAt_).count_}});
        dispatcher_.markReconciled(now);
        hooks_.reached_(RecoveryStage::AllTargets);
    }
    dispatcher_.requeueLostTasks(now < heldOffUntil() ? now : confirmedAt_);
    // Without a recent confirmation of the leadership, another entry may be placing the same tasks.
    if (now < leaseUntil()) {
        dispatcher_.schedule(now);
    }
    logContainment();
    logInterference();
    send(dispatcher_.takeActions());
    store();
}

void LeaderSession::send(cell::DispatcherActions &&actions)
{
    if (!actions.starts_.empty()) {
        hooks_.reached_(RecoveryStage::FirstStart);
    }
    logRefusals(actions.refusals_);
    for (const cell::MissingRun &missing : actions.missingRuns_) {
        count("ibiswall_missing_runs_total");
        logEvent("run.missing",
                 {{"job", std::string_view(missing.run_.task_.job_)},
                  {"task", missing.run_.task_.index_},
                  {"run", logNumber(missing.run_.number_)},
                  {"agent", std::string_view(missing.agent_)}});
    }
    std::map<std::string, OrdersFrame> orders;
    for (cell::StartOrder &start : actions.starts_) {
        count("ibiswall_placements_total");
        logEvent("run.placed",
                 {{"job", std::string_view(start.run_.task_.job_)},
                  {"task", start.run_.task_.index_},
                  {"run", logNumber(start.run_.number_)},
                  {"agent", std::string_view(start.agent_)}});
        std::string agent = start.agent_;
        orders[std::move(agent)].starts_.push_back(std::move(start));
    }
    logStalls(actions.stalls_);
    for (cell::StopOrder &stop : actions.stops_) {
        std::string agent = stop.agent_;
        orders[std::move(agent)].stops_.push_back(std::move(stop));
    }
    for (const cell::AckOrder &ack : actions.acks_) {
        agents_[ack.agent_].pendingAck_ = ack;
        if (ack.awaited_) {
            orders.try_emplace(ack.agent_);
        }
    }
    const Millis now = bootClock();
    if (now > acknowledgedAt_ + ackPeriod) {
        acknowledgedAt_ = now;
        for (const auto &[name, agent] : agents_) {
            if (agent.pendingAck_) {
                orders.try_emplace(name);
            }
        }
    }
    for (auto &[agent, frame] : orders) {
        AgentState &state = agents_[agent];
        frame.epoch_ = epoch_;
        frame.report_ = state.reports_.lastAccepted().number_;
        if (const auto ack = std::exchange(state.pendingAck_, std::nullopt)) {
            frame.acknowledged_ = ack->through_;
            frame.acknowledgedIncarnation_ = ack->targetIncarnation_;
        }
        hooks_.send_(agent, frame);
    }
    NoticesFrame forAll{epoch_, false, {}};
    std::map<std::string, NoticesFrame> forOrigins;
    for (const cell::Notice &notice : actions.notices_) {
        if (notice.origins_.empty()) {
            forAll.notices_.push_back(notice);
        }
        for (const std::string &origin : notice.origins_) {
            forOrigins.try_emplace(origin, NoticesFrame{epoch_, true, {}}).first->second.notices_.push_back(notice);
        }
    }
    if (!forAll.notices_.empty()) {
        hooks_.broadcast_(forAll);
    }
    for (const auto &[origin, frame] : forOrigins) {
        hooks_.send_(origin, frame);
    }
    for (const std::string &job : actions.lookups_) {
        lookUpOrphan(job);
    }
}

platform::Transaction LeaderSession::leaderTransaction() const
{
    platform::Transaction transaction;
    transaction.conditions_.push_back({keys::leader, static_cast<std::int64_t>(epoch_)});
    return transaction;
}

// Whether the leader key is unchanged, according to the conflict of a transaction of leaderTransaction().
bool LeaderSession::isStillLeader(const platform::StoreResult &conflict) const
{
    return std::any_of(conflict.items_.begin(), conflict.items_.end(), [this](const platform::Item &item) {
        return item.key_ == keys::leader && item.revision_ == static_cast<std::int64_t>(epoch_);
    });
}

void LeaderSession::store()
{
    const Millis now = bootClock();
    if (storing_) {
        return;
    }
    if (now < storedAt_ + batchInterval) {
        storeTimer_.expires_after(std::chrono::milliseconds((storedAt_ + batchInterval - now).count_));
        storeTimer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error && !self->stopped_) {
                self->store();
            }
        });
        return;
    }
    std::vector<cell::JobWrite> writes = dispatcher_.takeWrites(separateWrites_ > 0 ? 1 : maxRecords, now);
    if (writes.empty()) {
        removeExpiredRecords(now);
        return;
    }
    storing_ = true;
    storedAt_ = now;
    platform::Transaction transaction = leaderTransaction();
    std::vector<std::string> values;
    std::size_t bytes = 0;
    for (const cell::JobWrite &write : writes) {
        std::string value = formatRecord(write.record_);
        bytes += value.size();
        if (!values.empty() && bytes > platform::maxBatchBytes) {
            break;
        }
        transaction.conditions_.push_back({keys::job(write.job_), write.expectedRevision_});
        transaction.writes_.push_back({keys::job(write.job_), value});
        values.push_back(std::move(value));
    }
    for (std::size_t i = values.size(); i < writes.size(); ++i) {
        dispatcher_.onWriteFailed(writes[i].job_, writes[i].expectedRevision_);
    }
    writes.resize(values.size());
    store_.commit(transaction, [self = shared_from_this(), writes, values, now](const platform::StoreResult &answer) {
        if (self->stopped_) {
            return;
        }
        if (answer.outcome_ == platform::StoreOutcome::Ok) {
            self->recordConfirmation(now);
        }
        self->onStored(writes, values, answer);
    });
}

// Removes expired records while there is nothing else to store.
void LeaderSession::removeExpiredRecords(Millis now)
{
    std::vector<cell::JobRemoval> removals = dispatcher_.takeRemovals(maxRecords);
    if (removals.empty()) {
        return;
    }
    storing_ = true;
    storedAt_ = now;
    platform::Transaction transaction = leaderTransaction();
    for (const cell::JobRemoval &removal : removals) {
        transaction.conditions_.push_back({keys::job(removal.job_), removal.revision_});
        transaction.removals_.push_back(keys::job(removal.job_));
    }
    store_.commit(transaction, [self = shared_from_this(), removals = std::move(removals), now](const platform::StoreResult &answer) {
        using platform::StoreOutcome;
        if (self->stopped_) {
            return;
        }
        self->storing_ = false;
        if (answer.outcome_ == StoreOutcome::Ok) {
            self->recordConfirmation(now);
            logEvent("job.removed", {{"records", logNumber(removals.size())}});
        } else if (answer.outcome_ == StoreOutcome::Conflict) {
            self->onRemovalConflict(removals, answer);
        } else {
            self->storedAt_ = bootClock() + retryDelay;
            self->dispatcher_.requeueRemovals(removals);
        }
    });
}

// A record whose revision differs was removed by an earlier call whose answer was lost.
void LeaderSession::onRemovalConflict(const std::vector<cell::JobRemoval> &removals, const platform::StoreResult &answer)
{
    if (!isStillLeader(answer)) {
        loseLeadership();
        return;
    }
    std::map<std::string, std::int64_t> stored;
    for (const platform::Item &item : answer.items_) {
        stored[item.key_] = item.revision_;
    }
    std::vector<cell::JobRemoval> remaining;
    std::copy_if(removals.begin(), removals.end(), std::back_inserter(remaining),
                 [&stored](const cell::JobRemoval &each) { return stored[keys::job(each.job_)] == each.revision_; });
    dispatcher_.requeueRemovals(std::move(remaining));
}

void LeaderSession::onStored(const std::vector<cell::JobWrite> &writes,
                             const std::vector<std::string> &values,
                             const platform::StoreResult &answer)
{
    using platform::StoreOutcome;
    storing_ = false;
    const Millis now = bootClock();
    separateWrites_ -= separateWrites_ > 0 ? 1 : 0;
    if (answer.outcome_ == StoreOutcome::Rejected) {
        onWritesRejected(writes);
        scheduleDispatch();
        return;
    }
    if (answer.outcome_ == StoreOutcome::Conflict && !isStillLeader(answer)) {
        loseLeadership();
        return;
    }
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const std::string &id = writes[i].job_;
        if (answer.outcome_ == StoreOutcome::Ok) {
            dispatcher_.onWritten(id, answer.revision_, now);
            continue;
        }
        std::int64_t revision = writes[i].expectedRevision_;
        for (const platform::Item &item : answer.items_) {
            if (item.key_ == keys::job(id)) {
                revision = item.revision_;
            }
        }
        if (answer.outcome_ == StoreOutcome::Conflict && revision != writes[i].expectedRevision_) {
            // An earlier write took effect after all, or the revision was read before it did. Only this leader writes the
            // record, so a record with the same value is the one written here.
            const auto same = std::find_if(answer.items_.begin(), answer.items_.end(), [&](const platform::Item &item) {
                return item.key_ == keys::job(id) && item.value_ == values[i];
            });
            if (same != answer.items_.end()) {
                dispatcher_.onWritten(id, revision, now);
                continue;
            }
        }
        dispatcher_.onWriteFailed(id, revision);
    }
    if (answer.outcome_ == StoreOutcome::Unknown || answer.outcome_ == StoreOutcome::Refused) {
        storedAt_ = now + retryDelay;
    }
    scheduleDispatch();
}

// Finds the record that the store does not take by storing each record of the transaction alone. While such a record is written again
// and again, no other one is stored, and its targets keep their results until they take no more starts, so its job ends.
void LeaderSession::onWritesRejected(const std::vector<cell::JobWrite> &writes)
{
    if (writes.size() > 1) {
        separateWrites_ = writes.size();
        for (const cell::JobWrite &write : writes) {
            dispatcher_.onWriteFailed(write.job_, write.expectedRevision_);
        }
        return;
    }
    const cell::JobWrite &write = writes.front();
    count("ibiswall_unstorable_jobs_total");
    logEvent("job.unstorable", {{"job", std::string_view(write.job_)}});
    dispatcher_.onWriteRejected(write.job_, write.expectedRevision_, bootClock());
    storedAt_ = bootClock() + retryDelay;
}

void LeaderSession::loseLeadership()
{
    if (!stopped_) {
        count("ibiswall_lead_lost_total");
        logEvent("lead.lost", {{"epoch", logNumber(epoch_)}, {"proof_age_ms", confirmationAge().count_}});
        stop();
        hooks_.leadershipLost_();
    }
}

void LeaderSession::tick()
{
    if (stopped_) {
        return;
    }
    // First, so that an exception in the work below does not end the ticks.
    timer_.expires_after(std::chrono::milliseconds(tickPeriod.count_));
    timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->tick();
        }
    });
    const Millis now = bootClock();
    if (confirmationAge() > confirmationInterval) {
        confirmLeadership();
    }
    checkAgents(now);
    dispatcher_.expireFinalJobs(now - ephemeralRetention, now - stateRetention_, now - withdrawnRetention);
    dispatcher_.expireCrashes(now - cell::crashRetention);
    const auto due = std::remove_if(sweeps_.begin(), sweeps_.end(), [now](Millis at) { return at <= now; });
    if (due != sweeps_.end() && storeRead_ && !sweeping_) {
        sweeps_.erase(due, sweeps_.end());
        sweep();
    }
    for (auto each = unstoredOrphans_.begin(); each != unstoredOrphans_.end();) {
        if (now <= each->second + offerGrace) {
            ++each;
            continue;
        }
        if (!dispatcher_.hasJob(each->first)) {
            logEvent("job.unoffered", {{"job", std::string_view(each->first)}});
            dispatcher_.discardUnknownJob(each->first);
        }
        each = unstoredOrphans_.erase(each);
    }
    for (const std::string &job : std::exchange(lookupRetries_, {})) {
        lookUpOrphan(job);
    }
    if (now < leaseUntil()) {
        dispatcher_.refuseUnservable(now);
    }
    gauge("ibiswall_open_jobs", static_cast<double>(dispatcher_.openJobs()));
    dispatch();
}

} // namespace ibiswall::node
