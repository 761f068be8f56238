// Wires an entry together, and stops it in order.

#include "entrynode.hpp"

#include "../../../platform/callers.hpp"
#include <csignal>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

// Calls to the store normally end within milliseconds; when it is slow they may take some hundreds.
constexpr Millis storeTimeout{1000};
// The balancer notices within two of its checks, a second each, that the entry takes no more connections.
constexpr Millis balancerDelay{2200};
// Time kept free before the end of the grace for jobs in progress, when callers have nowhere else to go until then.
constexpr Millis drainReserve{2200};
// Time kept free at the end of the grace for the last answers.
constexpr Millis stopReserve{400};
constexpr Millis lastAnswers{100};

HttpLimits callerLimits()
{
    HttpLimits limits;
    limits.maxBody_ = 1U << 20U;
    limits.maxHeader_ = 16384;
    limits.maxConnections_ = 3500;
    limits.idleTimeout_ = {60000};
    limits.extraHeader_ = platform::callerTimeoutHeader;
    limits.detectPeerClose_ = true;
    return limits;
}

// Processor that the entry may use, in thousandths of a core.
std::int64_t powerOf(const CellEntrySettings &settings)
{
    constexpr double thousandths = 1000;
    return static_cast<std::int64_t>(settings.cores_ * thousandths);
}

} // namespace

EntryNode::EntryNode(boost::asio::io_context &io, const CellEntrySettings &settings)
    : io_(io)
    , settings_(settings)
    , self_{settings.name_, wallClock().count_, true}
    , store_(io, settings.store_, storeTimeout)
    , mesh_(io,
            {self_, settings.links_},
            {[this](const Peer &peer) { peerUp(peer); }, [this](const std::string &name) { peerDown(name); },
             [this](const std::string &from, std::string_view bytes) {
                 receive(from, bytes);
             }})
    , leadership_(settings.name_, powerOf(settings), {})
    , acceptor_(io, store_, [this](const std::string &id, const AcceptedJob &job) { onAccepted(id, job); })
    , callers_(io, callerLimits(), [this](HttpRequest request, Respond respond) { serve(std::move(request), std::move(respond)); })
    , ready_(io, {}, [this](const HttpRequest &, const Respond &respond) { respond(jsonReply(isReady() ? 200 : 503, "{}")); })
    , metrics_(io)
    , timer_(io)
    , configTimer_(io)
    , signals_(io, SIGTERM, SIGINT)
{
}

Result<void> EntryNode::start()
{
    BOOST_OUTCOME_TRY(callers_.listen(settings_.callers_));
    BOOST_OUTCOME_TRY(ready_.listen(settings_.ready_));
    BOOST_OUTCOME_TRY(metrics_.listen(settings_.metrics_));
    BOOST_OUTCOME_TRY(mesh_.listen());
    store_.setObserver(observeStore);
    logEvent("process.started", {{"role", "entry"}, {"incarnation", self_.incarnation_}});
    signals_.async_wait([this](boost::system::error_code error, int) {
        if (!error) {
            stop();
        }
    });
    publishEntry();
    readConfig();
    tick();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void EntryNode::apply(const CellEntrySettings &settings)
{
    const bool moved = !(settings.callers_ == settings_.callers_) || !(settings.ready_ == settings_.ready_)
        || !(settings.links_ == settings_.links_) || settings.name_ != settings_.name_;
    if (moved) {
        logEvent("settings.restart_needed", {{"reason", "name or listening addresses have changed"}});
    }
    if (!(settings.store_ == settings_.store_)) {
        store_.setServer(settings.store_);
    }
    settings_.store_ = settings.store_;
    settings_.grace_ = settings.grace_;
    settings_.keepStates_ = settings.keepStates_;
}

void EntryNode::tick()
{
    const Millis now = bootClock();
    beat();
    considerLead();
    readEntries();
    giveUp(now);
    gauge("ibiswall_leading", duty_ && leadership_.isMine() ? 1 : 0);
    if (stoppingSince_) {
        finishStop();
    }
    timer_.expires_after(std::chrono::milliseconds(tickPeriod.count_));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

// Without another entry that stays, callers have nowhere else to go, so this one goes on for them.
bool EntryNode::isReady() const
{
    return configured_ && !closingSince_ && (!stoppingSince_ || !leadership_.hasHeir(bootClock()));
}

// Callers go on until the balancer sends them elsewhere; another entry takes the lead meanwhile.
void EntryNode::stop()
{
    if (stoppingSince_) {
        io_.stop();
        return;
    }
    logEvent("process.stopping", {{"pending", static_cast<std::int64_t>(callers_.pending())}, {"leading", duty_ ? 1 : 0}});
    stoppingSince_ = bootClock();
    signals_.async_wait([this](boost::system::error_code error, int) {
        if (!error) {
            io_.stop();
        }
    });
}

void EntryNode::finishStop()
{
    const Millis now = bootClock();
    const Millis passed = now - *stoppingSince_;
    if (!closingSince_) {
        const bool elsewhere = passed >= balancerDelay && leadership_.hasHeir(now);
        if (elsewhere || passed + drainReserve > settings_.grace_) {
            logEvent("process.closing", {{"pending", static_cast<std::int64_t>(callers_.pending())}, {"heir", elsewhere ? 1 : 0}});
            closingSince_ = now;
        }
        return;
    }
    callers_.closeIdle();
    const bool over = passed + stopReserve > settings_.grace_;
    if (over) {
        answerRest();
    }
    const bool done = callers_.pending() == 0 && acceptor_.pending() == 0 && !duty_;
    if (done || passed + stopReserve > settings_.grace_ + lastAnswers) {
        logEvent("process.stopped", {{"pending", static_cast<std::int64_t>(callers_.pending())}, {"leading", duty_ ? 1 : 0}});
        io_.stop();
    }
}

bool EntryNode::isStoreLost() const
{
    constexpr int failures = 3;
    constexpr Millis silence{1200};
    const platform::StoreHealth &health = store_.health();
    return health.failures_ >= failures && bootClock() > health.lastAnsweredSentAt_ + silence;
}

} // namespace ibiswall::node
