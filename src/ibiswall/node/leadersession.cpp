// Start of a leader session, and handling of frames from entries.

#include "leadersession.hpp"

#include "keys.hpp"
#include "metrics.hpp"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

LeaderSession::LeaderSession(boost::asio::io_context &io,
                             platform::StoreClient &store,
                             LeaderSessionHooks hooks,
                             std::uint64_t epoch,
                             Millis acquiredAt,
                             bool first,
                             Millis stateRetention)
    : io_(io)
    , store_(store)
    , hooks_(std::move(hooks))
    , epoch_(epoch)
    , isFirstEpoch_(first)
    , stateRetention_(stateRetention)
    , dispatcher_(epoch)
    , timer_(io)
    , storeTimer_(io)
    , loadTimer_(io)
    , withdrawTimer_(io)
    , startedAt_(bootClock())
    , confirmedAt_(acquiredAt)
{
}

void LeaderSession::start(const std::optional<RegisteredAgents> &agents)
{
    count("ibiswall_lead_taken_total");
    logEvent("lead.taken", {{"epoch", logNumber(epoch_)}, {"prepared", agents ? 1 : 0}});
    load();
    if (agents) {
        for (const auto &[name, revision] : *agents) {
            addAgent(name, revision);
        }
        loaded_ = true;
        loadedAt_ = bootClock();
        contactAgents();
    }
    tick();
}

void LeaderSession::stop()
{
    stopped_ = true;
    timer_.cancel();
    storeTimer_.cancel();
    loadTimer_.cancel();
    withdrawTimer_.cancel();
}

void LeaderSession::setConfig(const cell::CellConfig &config, const std::set<std::string> &domainsOut)
{
    dispatcher_.setConfig(config, domainsOut);
    scheduleDispatch();
}

void LeaderSession::setJobBudget(std::shared_ptr<Budget> budget)
{
    dispatcher_.setJobBudget(std::move(budget));
}

void LeaderSession::setScheduling(const cell::SchedulingSettings &settings)
{
    dispatcher_.setScheduling(settings);
}

void LeaderSession::containQueues(const std::set<std::string> &queues)
{
    dispatcher_.containQueues(queues, bootClock());
}

const std::set<std::string> &LeaderSession::containedQueues() const
{
    return dispatcher_.containedQueues();
}

void LeaderSession::logContainment()
{
    const std::set<std::string> &contained = dispatcher_.containedQueues();
    if (contained == loggedContained_) {
        return;
    }
    for (const std::string &queue : contained) {
        if (loggedContained_.count(queue) == 0) {
            count("ibiswall_containments_total");
            logEvent("queue.contained", {{"queue", std::string_view(queue)}});
        }
    }
    for (const std::string &queue : loggedContained_) {
        if (contained.count(queue) == 0) {
            logEvent("queue.released", {{"queue", std::string_view(queue)}});
        }
    }
    loggedContained_ = contained;
}

void LeaderSession::adoptInterference(Span<const cell::InterferingPair> pairs)
{
    dispatcher_.adoptInterference(pairs, bootClock());
}

std::vector<cell::InterferingPair> LeaderSession::interferingPairs() const
{
    return dispatcher_.interferingPairs(maxHandedOverPairs);
}

void LeaderSession::logInterference()
{
    constexpr double percent = 100;
    for (const cell::InterferenceChange &change : dispatcher_.takeInterferenceChanges()) {
        logEvent(change.believed_ ? "interference.believed" : "interference.forgotten",
                 {{"kind", std::string_view(change.pair_.victim_)},
                  {"beside", std::string_view(change.pair_.neighbour_)},
                  {"factor_percent", static_cast<std::int64_t>(change.pair_.factor_ * percent)},
                  {"samples_with", static_cast<std::int64_t>(change.samplesWith_)},
                  {"samples_without", static_cast<std::int64_t>(change.samplesWithout_)}});
    }
}

std::size_t LeaderSession::interferingPairCount() const
{
    return dispatcher_.interferingPairCount();
}

void LeaderSession::logStalls(Span<const cell::StallChange> changes)
{
    for (const cell::StallChange &change : changes) {
        const char *name = change.kind_ == cell::StallChange::Kind::Stalled ? "stalled"
            : change.kind_ == cell::StallChange::Kind::Probed               ? "probed"
                                                                            : "recovered";
        count("ibiswall_target_stalls_total", name);
        logEvent(std::string("target.") + name, {{"agent", std::string_view(change.agent_)}, {"overdue", logNumber(change.overdue_)}});
    }
}

void LeaderSession::onFrame(const std::string &from, Frame &&frame)
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
    } else if (const auto *request = std::get_if<HandoverRequestFrame>(&frame)) {
        onHandoverRequest(from, *request);
    }
}

void LeaderSession::onOffers(const std::string &from, OffersFrame &&frame)
{
    if (!agentsReported_) {
        earlyOffers_.emplace_back(from, std::move(frame));
        return;
    }
    if (!storeRead_) {
        const auto stored = std::stable_partition(frame.offers_.begin(), frame.offers_.end(),
                                                  [](const cell::JobOffer &offer) { return offer.record_.spec_.ephemeral_; });
        OffersFrame deferred;
        std::move(stored, frame.offers_.end(), std::back_inserter(deferred.offers_));
        frame.offers_.erase(stored, frame.offers_.end());
        if (!deferred.offers_.empty()) {
            earlyStoredOffers_.emplace_back(from, std::move(deferred));
        }
    }
    NoticesFrame ended{epoch_, false, {}};
    NoticesFrame endedEphemeral{epoch_, true, {}};
    for (cell::JobOffer &offer : frame.offers_) {
        const std::string id = offer.id_;
        offer.origin_ = from;
        NoticesFrame &notices = offer.record_.spec_.ephemeral_ ? endedEphemeral : ended;
        if (const auto state = dispatcher_.addJob(std::move(offer), bootClock())) {
            notices.notices_.push_back({id, *state, {}});
        }
    }
    for (const NoticesFrame &notices : {std::cref(ended), std::cref(endedEphemeral)}) {
        if (!notices.notices_.empty()) {
            hooks_.send_(from, notices);
        }
    }
    scheduleDispatch();
}

void LeaderSession::onCancel(const std::string &from, const CancelFrame &frame)
{
    const Millis now = bootClock();
    if (frame.abandoned_) {
        dispatcher_.abandon(frame.job_, from, now);
        dispatch();
        return;
    }
    switch (dispatcher_.cancel(frame.job_, now)) {
    case cell::CancelOutcome::Accepted:
        dispatch();
        break;
    case cell::CancelOutcome::AlreadyFinal:
        if (const cell::JobState state = *dispatcher_.finalState(frame.job_); state == cell::JobState::Withdrawn) {
            hooks_.send_(from, UnknownJobFrame{frame.job_});
        } else {
            hooks_.send_(from, NoticesFrame{epoch_, false, {{frame.job_, state, {}}}});
        }
        break;
    case cell::CancelOutcome::Unknown:
        lookUp(frame.job_, [self = shared_from_this(), from, frame](bool found) {
            if (found) {
                self->onCancel(from, frame);
            } else {
                self->withdraw(frame.job_, from);
            }
        });
        break;
    }
}

// Reads one job from the store and passes on whether the dispatcher has it now. The callback is not called if the store does
// not answer.
void LeaderSession::lookUp(const std::string &job, std::function<void(bool)> callback)
{
    store_.get(keys::job(job), [self = shared_from_this(), job, callback = std::move(callback)](const platform::StoreResult &answer) {
        if (self->stopped_) {
            return;
        }
        if (answer.outcome_ == platform::StoreOutcome::Ok && !answer.items_.empty()) {
            self->addStored(answer.items_.front());
            callback(self->dispatcher_.hasJob(job));
        } else if (answer.outcome_ == platform::StoreOutcome::NotFound) {
            callback(false);
        } else if (self->lookingUp_.erase(job) > 0) {
            self->lookupRetries_.insert(job);
        }
        self->scheduleDispatch();
    });
}

// Looks up a job that no entry has offered and of which a target reports runs or results.
void LeaderSession::lookUpOrphan(const std::string &job)
{
    if (!storeRead_) {
        earlyLookups_.insert(job);
        return;
    }
    if (!lookingUp_.insert(job).second) {
        return;
    }
    lookUp(job, [self = shared_from_this(), job](bool found) {
        self->lookingUp_.erase(job);
        if (!found) {
            // Ephemeral jobs are not stored; the entry of this one may still offer it.
            self->unstoredOrphans_.try_emplace(job, bootClock());
        }
    });
}

void LeaderSession::scheduleSweeps()
{
    const Millis now = bootClock();
    sweeps_.push_back(now + tickPeriod);
    // Writes of a lost entry may take effect this late.
    sweeps_.push_back(now + platform::lateWriteDelay);
}

void LeaderSession::stepDown()
{
    if (!hasSteppedDown()) {
        steppedDownAt_ = bootClock();
        handover_.end();
        logEvent("lead.yielded", {{"epoch", logNumber(epoch_)}, {"proof_age_ms", confirmationAge().count_}});
    }
}

void LeaderSession::resume()
{
    logEvent(
        "lead.resumed",
        {{"epoch", logNumber(epoch_)}, {"proof_age_ms", confirmationAge().count_}, {"yielded_ms", (bootClock() - steppedDownAt_).count_}});
    steppedDownAt_ = {};
    scheduleDispatch();
}

bool LeaderSession::hasSteppedDown() const
{
    return steppedDownAt_ != Millis{0};
}

Millis LeaderSession::steppedDownAt() const
{
    return steppedDownAt_;
}

StoreContact LeaderSession::storeContact() const
{
    return {confirmationAge(), unansweredSince_};
}

Millis LeaderSession::leaseUntil() const
{
    if (hasSteppedDown()) {
        return {0};
    }
    return std::max(confirmedAt_ + leaseSettings_.confirmationLimit_, heldOffUntil());
}

// Until when no other entry can have become the leader, judging by their hold-offs. The designated successor campaigns in spite of its
// own; those given before the handover have expired when this leader resumes after it.
Millis LeaderSession::heldOffUntil() const
{
    if (handover_.isActive()) {
        return {0};
    }
    return std::min(hooks_.heldOffUntil_(), confirmedAt_ + leaseSettings_.holdOffLimit_);
}

void LeaderSession::recordConfirmation(Millis sentAt)
{
    confirmedAt_ = {std::max(confirmedAt_.count_, sentAt.count_)};
    unansweredSince_ = {};
}

void LeaderSession::confirmLeadership()
{
    if (confirming_) {
        return;
    }
    confirming_ = true;
    const Millis sentAt = bootClock();
    if (unansweredSince_ == Millis{0}) {
        unansweredSince_ = sentAt;
    }
    store_.get(keys::leader, [self = shared_from_this(), sentAt](const platform::StoreResult &answer) {
        self->confirming_ = false;
        if (self->stopped_ || answer.outcome_ != platform::StoreOutcome::Ok || answer.items_.empty()) {
            return;
        }
        if (answer.items_.front().revision_ == static_cast<std::int64_t>(self->epoch_)) {
            self->recordConfirmation(sentAt);
            self->scheduleDispatch();
        } else {
            self->loseLeadership();
        }
    });
}

Millis LeaderSession::confirmationAge() const
{
    return bootClock() - confirmedAt_;
}

std::map<std::string, std::size_t> LeaderSession::waitingJobs() const
{
    return dispatcher_.waitingJobs();
}

std::map<std::string, Millis> LeaderSession::predictedWaits() const
{
    return dispatcher_.predictedWaits(bootClock());
}

void LeaderSession::logRefusals(Span<const cell::Refusal> refusals)
{
    for (const cell::Refusal &refusal : refusals) {
        count("ibiswall_unservable_total", refusal.reason_);
        logEvent("job.unservable",
                 {{"job", std::string_view(refusal.job_)},
                  {"queue", std::string_view(refusal.queue_)},
                  {"reason", refusal.reason_},
                  {"held_ms", refusal.held_.count_},
                  {"wait_ms", refusal.wait_.count_}});
    }
}

} // namespace ibiswall::node
