// Takes the lead over, and passes on what arrives.

#include "dispatchduty.hpp"

#include "keys.hpp"
#include "metrics.hpp"
#include <boost/asio/post.hpp>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis loadRetry{100};
// A write whose answer was lost may take effect this late; jobs of a lost entry are looked for again then.
constexpr Millis lateWrites{7000};

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
    logEvent("lead.taken", {{"epoch", logNumber(epoch_)}});
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
    store_.readAll(keys::jobs, false, [self = shared_from_this()](const platform::StoreResult &answer) { self->onLoaded(answer); });
}

void DispatchDuty::onLoaded(const platform::StoreResult &jobs)
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
    store_.readAll(keys::agents, false, [self = shared_from_this(), count = jobs.items_.size()](const platform::StoreResult &answer) {
        logEvent("lead.loaded",
                 {{"epoch", logNumber(self->epoch_)}, {"jobs", logNumber(count)}, {"agents", logNumber(answer.items_.size())}});
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

void DispatchDuty::onAgentsLoaded(const platform::StoreResult &agents)
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
            outlets_.send_(from, notices);
        }
    }
    actLater();
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
        outlets_.send_(from, NoticesFrame{epoch_, false, {{frame.job_, *dispatcher_.finalState(frame.job_), {}}}});
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
    store_.get(keys::job(job), [self = shared_from_this(), job, then = std::move(then)](const platform::StoreResult &answer) {
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
        logEvent("lead.yielded", {{"epoch", logNumber(epoch_)}, {"proof_age_ms", proofAge().count_}});
    }
}

void DispatchDuty::resume()
{
    logEvent("lead.resumed",
             {{"epoch", logNumber(epoch_)}, {"proof_age_ms", proofAge().count_}, {"yielded_ms", (bootClock() - yieldedAt_).count_}});
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
