// Sends and stores what the dispatcher decides, and keeps the proof of the lead fresh.

#include "dispatchduty.hpp"
#include "keys.hpp"
#include "metrics.hpp"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis proveAfter{600};
// Each record takes a condition and a write, and the lead one condition.
constexpr std::size_t maxRecords = (platform::maxTransactionSize - 1) / 2;
// Least time between two transactions, so that ends gather: a call to the store costs more than this wait.
constexpr Millis gather{12};
// Time that entries have to offer a job that a target runs: a caller asks again within it.
constexpr Millis offerGrace{2500};
// How long the end of an ephemeral job is kept for a caller who lost the answer and asks again.
constexpr Millis keepEphemeral{10000};
// Longest time for which an acknowledgement waits for orders to travel with.
constexpr Millis ackPeriod{400};
// Wait before a transaction without a known outcome is repeated.
constexpr Millis repeat{50};

} // namespace

void DispatchDuty::actLater()
{
    if (std::exchange(acting_, true)) {
        return;
    }
    boost::asio::post(io_, [self = shared_from_this()] {
        self->acting_ = false;
        self->act();
    });
}

void DispatchDuty::act()
{
    if (stopped_ || !loaded_) {
        return;
    }
    const Millis now = bootClock();
    if (!settled_ && isSettled(now)) {
        settled_ = true;
        for (auto &[from, frame] : std::exchange(earlyOffers_, {})) {
            onOffers(from, std::move(frame));
        }
    }
    if (!gathered_ && isGathered(now)) {
        gathered_ = true;
        logEvent("lead.gathered", {{"epoch", logNumber(epoch_)}, {"after_ms", (now - tookOverAt_).count_}});
        dispatcher_.gathered(now);
    }
    dispatcher_.confirmLost(now < outlets_.promisedUntil_() ? now : provedAt_);
    // Without a fresh proof of the lead another entry may be placing the same tasks.
    if (now < rightUntil()) {
        dispatcher_.schedule(now);
    }
    send(dispatcher_.takeEffects());
    store();
}

void DispatchDuty::send(cell::Effects &&effects)
{
    std::map<std::string, OrdersFrame> orders;
    for (cell::StartOrder &start : effects.starts_) {
        count("ibiswall_placements_total");
        logEvent("run.placed",
                 {{"job", std::string_view(start.run_.task_.job_)},
                  {"task", start.run_.task_.index_},
                  {"run", logNumber(start.run_.number_)},
                  {"agent", std::string_view(start.agent_)}});
        std::string agent = start.agent_;
        orders[std::move(agent)].starts_.push_back(std::move(start));
    }
    for (cell::StopOrder &stop : effects.stops_) {
        std::string agent = stop.agent_;
        orders[std::move(agent)].stops_.push_back(std::move(stop));
    }
    for (const cell::AckOrder &ack : effects.acks_) {
        agents_[ack.agent_].acknowledge_ = ack;
    }
    const Millis now = bootClock();
    if (now > acknowledgedAt_ + ackPeriod) {
        acknowledgedAt_ = now;
        for (const auto &[name, agent] : agents_) {
            if (agent.acknowledge_) {
                orders.try_emplace(name);
            }
        }
    }
    for (auto &[agent, frame] : orders) {
        AgentState &state = agents_[agent];
        frame.epoch_ = epoch_;
        frame.report_ = state.reports_.last().number_;
        if (const auto ack = std::exchange(state.acknowledge_, std::nullopt)) {
            frame.acknowledged_ = ack->through_;
            frame.acknowledgedBorn_ = ack->born_;
        }
        outlets_.send_(agent, frame);
    }
    NoticesFrame forAll{epoch_, false, {}};
    std::map<std::string, NoticesFrame> forOrigins;
    for (const cell::Notice &notice : effects.notices_) {
        if (notice.origins_.empty()) {
            forAll.notices_.push_back(notice);
        }
        for (const std::string &origin : notice.origins_) {
            forOrigins.try_emplace(origin, NoticesFrame{epoch_, true, {}}).first->second.notices_.push_back(notice);
        }
    }
    if (!forAll.notices_.empty()) {
        outlets_.tellEntries_(forAll);
    }
    for (const auto &[origin, frame] : forOrigins) {
        outlets_.send_(origin, frame);
    }
    for (const std::string &job : effects.lookups_) {
        lookUpForeign(job);
    }
}

platform::Transaction DispatchDuty::conditional() const
{
    platform::Transaction transaction;
    transaction.conditions_.push_back({keys::leader, static_cast<std::int64_t>(epoch_)});
    return transaction;
}

void DispatchDuty::store()
{
    const Millis now = bootClock();
    if (storing_) {
        return;
    }
    if (now < storedAt_ + gather) {
        storeTimer_.expires_after(std::chrono::milliseconds((storedAt_ + gather - now).count_));
        storeTimer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error && !self->stopped_) {
                self->store();
            }
        });
        return;
    }
    const std::vector<cell::JobWrite> writes = dispatcher_.takeWrites(maxRecords, now);
    if (writes.empty()) {
        removeEnded(now);
        return;
    }
    storing_ = true;
    storedAt_ = now;
    platform::Transaction transaction = conditional();
    std::vector<std::string> values;
    for (const cell::JobWrite &write : writes) {
        values.push_back(formatRecord(write.record_));
        transaction.conditions_.push_back({keys::job(write.job_), write.expectedRevision_});
        transaction.writes_.push_back({keys::job(write.job_), values.back()});
    }
    store_.commit(transaction, [self = shared_from_this(), writes, values, now](const platform::StoreResult &answer) {
        if (self->stopped_) {
            return;
        }
        if (answer.outcome_ == platform::StoreOutcome::Ok) {
            self->proved(now);
        }
        self->onStored(writes, values, answer);
    });
}

// Removes records whose time is over, while there is nothing else to store.
void DispatchDuty::removeEnded(Millis now)
{
    std::vector<cell::JobRemoval> removals = dispatcher_.takeRemovals(maxRecords);
    if (removals.empty()) {
        return;
    }
    storing_ = true;
    storedAt_ = now;
    platform::Transaction transaction = conditional();
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
            self->proved(now);
            logEvent("job.removed", {{"records", logNumber(removals.size())}});
        } else if (answer.outcome_ == StoreOutcome::Conflict) {
            self->onRemovalConflict(removals, answer);
        } else {
            self->storedAt_ = bootClock() + repeat;
            self->dispatcher_.notRemoved(removals);
        }
    });
}

// A record that is not as it was left has been removed before, by a call whose answer was lost.
void DispatchDuty::onRemovalConflict(const std::vector<cell::JobRemoval> &removals, const platform::StoreResult &answer)
{
    std::map<std::string, std::int64_t> stored;
    for (const platform::Item &item : answer.items_) {
        stored[item.key_] = item.revision_;
    }
    if (stored[keys::leader] != static_cast<std::int64_t>(epoch_)) {
        depose();
        return;
    }
    std::vector<cell::JobRemoval> left;
    std::copy_if(removals.begin(), removals.end(), std::back_inserter(left),
                 [&stored](const cell::JobRemoval &each) { return stored[keys::job(each.job_)] == each.revision_; });
    dispatcher_.notRemoved(std::move(left));
}

void DispatchDuty::onStored(const std::vector<cell::JobWrite> &writes,
                            const std::vector<std::string> &values,
                            const platform::StoreResult &answer)
{
    using platform::StoreOutcome;
    storing_ = false;
    const Millis now = bootClock();
    if (answer.outcome_ == StoreOutcome::Conflict) {
        const auto lead = std::find_if(answer.items_.begin(), answer.items_.end(),
                                       [](const platform::Item &item) { return item.key_ == keys::leader; });
        if (lead == answer.items_.end() || lead->revision_ != static_cast<std::int64_t>(epoch_)) {
            depose();
            return;
        }
    }
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const std::string &id = writes[i].job_;
        if (answer.outcome_ == StoreOutcome::Ok) {
            dispatcher_.written(id, answer.revision_, now);
            continue;
        }
        std::int64_t revision = writes[i].expectedRevision_;
        for (const platform::Item &item : answer.items_) {
            if (item.key_ == keys::job(id)) {
                revision = item.revision_;
            }
        }
        if (answer.outcome_ == StoreOutcome::Conflict && revision != writes[i].expectedRevision_) {
            // An earlier attempt of ours was carried out after all, or was read late. What is stored is ours alone.
            const auto same = std::find_if(answer.items_.begin(), answer.items_.end(), [&](const platform::Item &item) {
                return item.key_ == keys::job(id) && item.value_ == values[i];
            });
            if (same != answer.items_.end()) {
                dispatcher_.written(id, revision, now);
                continue;
            }
        }
        dispatcher_.notWritten(id, revision);
    }
    if (answer.outcome_ == StoreOutcome::Unknown || answer.outcome_ == StoreOutcome::Refused) {
        storedAt_ = now + repeat;
    }
    actLater();
}

void DispatchDuty::proved(Millis sentAt)
{
    provedAt_ = {std::max(provedAt_.count_, sentAt.count_)};
    unansweredSince_ = {};
}

void DispatchDuty::prove()
{
    if (proving_) {
        return;
    }
    proving_ = true;
    const Millis sentAt = bootClock();
    if (unansweredSince_ == Millis{0}) {
        unansweredSince_ = sentAt;
    }
    store_.get(keys::leader, [self = shared_from_this(), sentAt](const platform::StoreResult &answer) {
        self->proving_ = false;
        if (self->stopped_ || answer.outcome_ != platform::StoreOutcome::Ok || answer.items_.empty()) {
            return;
        }
        if (answer.items_.front().revision_ == static_cast<std::int64_t>(self->epoch_)) {
            self->proved(sentAt);
            self->actLater();
        } else {
            self->depose();
        }
    });
}

void DispatchDuty::depose()
{
    if (!stopped_) {
        count("ibiswall_lead_lost_total");
        logEvent("lead.lost", {{"epoch", logNumber(epoch_)}, {"proof_age_ms", proofAge().count_}});
        stop();
        outlets_.deposed_();
    }
}
void DispatchDuty::sweep()
{
    sweeping_ = true;
    store_.readAll(keys::jobs, false, [self = shared_from_this()](const platform::StoreResult &answer) {
        self->sweeping_ = false;
        if (self->stopped_) {
            return;
        }
        if (answer.outcome_ != platform::StoreOutcome::Ok) {
            self->sweeps_.push_back(bootClock() + repeat);
            return;
        }
        for (const platform::Item &item : answer.items_) {
            if (!self->dispatcher_.knows(keys::nameOf(item.key_, keys::jobs))) {
                self->addStored(item);
            }
        }
        self->actLater();
    });
}

void DispatchDuty::tick()
{
    if (stopped_) {
        return;
    }
    const Millis now = bootClock();
    if (proofAge() > proveAfter) {
        prove();
    }
    checkAgents(now);
    dispatcher_.forgetEnded(now - keepEphemeral, now - keepStates_);
    const auto due = std::remove_if(sweeps_.begin(), sweeps_.end(), [now](Millis at) { return at <= now; });
    if (due != sweeps_.end() && loaded_ && !sweeping_) {
        sweeps_.erase(due, sweeps_.end());
        sweep();
    }
    for (auto each = unoffered_.begin(); each != unoffered_.end();) {
        if (now <= each->second + offerGrace) {
            ++each;
            continue;
        }
        if (!dispatcher_.knows(each->first)) {
            logEvent("job.unoffered", {{"job", std::string_view(each->first)}});
            dispatcher_.forgetJob(each->first);
        }
        each = unoffered_.erase(each);
    }
    for (const std::string &job : std::exchange(lookUpAgain_, {})) {
        lookUpForeign(job);
    }
    if (now < rightUntil()) {
        dispatcher_.turnAway(now);
    }
    gauge("ibiswall_open_jobs", static_cast<double>(dispatcher_.openJobs()));
    act();
    timer_.expires_after(std::chrono::milliseconds(tickPeriod.count_));
    timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->tick();
        }
    });
}

} // namespace ibiswall::node
