// Construction, settings and graceful shutdown of an entry.

#include "entrynode.hpp"

#include "../../../platform/callers.hpp"
#include <csignal>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

// Calls to the store normally take a few milliseconds, and some hundreds when it is slow.
constexpr Millis storeTimeout{1000};
// The load balancer needs up to two health checks, one second apart, to notice that the entry accepts no more connections.
constexpr Millis balancerDelay{2200};
// Time reserved before the end of the grace period for jobs in progress, if callers have no other entry until then.
constexpr Millis drainReserve{2200};
// Time reserved at the end of the grace period for the last answers.
constexpr Millis stopReserve{400};
// Longest wait, from the start of that reserve, for the last answers to be sent.
constexpr Millis lastAnswersTimeout{100};

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

// CPU share of the entry, in thousandths of a core.
std::int64_t millicoresOf(const CellEntrySettings &settings)
{
    constexpr double millicoresPerCore = 1000;
    return static_cast<std::int64_t>(settings.cores_ * millicoresPerCore);
}

} // namespace

EntryNode::EntryNode(boost::asio::io_context &io, const CellEntrySettings &settings)
    : io_(io)
    , settings_(settings)
    , self_{settings.name_, wallClock().count_, true}
    , store_(io, settings.storeAddress_, storeTimeout)
    , mesh_(io,
            {self_, settings.linksAddress_},
            {[this](const Peer &peer) { onPeerUp(peer); }, [this](const std::string &name) { onPeerDown(name); },
             [this](const std::string &from, std::string_view bytes) {
                 receive(from, bytes);
             }})
    , leadership_(settings.name_, millicoresOf(settings), {})
    , acceptor_(io, store_, [this](const std::string &id, const AcceptedJob &job) { onAccepted(id, job); })
    , callers_(io, callerLimits(), [this](HttpRequest request, Respond respond) { serve(std::move(request), std::move(respond)); })
    , ready_(io, {}, [this](const HttpRequest &, const Respond &respond) { answerHealthCheck(respond); })
    , metrics_(io)
    , timer_(io)
    , configTimer_(io)
    , signals_(io, SIGTERM, SIGINT)
{
}

Result<void> EntryNode::start()
{
    BOOST_OUTCOME_TRY(callers_.listen(settings_.callersAddress_));
    BOOST_OUTCOME_TRY(ready_.listen(settings_.readyAddress_));
    BOOST_OUTCOME_TRY(metrics_.listen(settings_.metricsAddress_));
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
    const bool restartNeeded = !(settings.callersAddress_ == settings_.callersAddress_)
        || !(settings.readyAddress_ == settings_.readyAddress_) || !(settings.linksAddress_ == settings_.linksAddress_)
        || settings.name_ != settings_.name_;
    if (restartNeeded) {
        logEvent("settings.restart_needed", {{"reason", "name or listening addresses have changed"}});
    }
    if (!(settings.storeAddress_ == settings_.storeAddress_)) {
        store_.setServer(settings.storeAddress_);
    }
    settings_.storeAddress_ = settings.storeAddress_;
    settings_.gracePeriod_ = settings.gracePeriod_;
    settings_.stateRetention_ = settings.stateRetention_;
}

void EntryNode::tick()
{
    const Millis now = bootClock();
    sendHeartbeat();
    maybeCampaign();
    readEntries();
    expireCallers(now);
    reportReadiness();
    gauge("ibiswall_leading", leaderSession_ && leadership_.isLeader() ? 1 : 0);
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

// Must not depend on the other entries: if all of them stop, each would become ready again. The load balancer uses entries that
// are not ready if it has no others.
bool EntryNode::isReady() const
{
    return configured_ && !stoppingSince_;
}

void EntryNode::answerHealthCheck(const Respond &respond)
{
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    const int status = isReady() ? ok : unavailable;
    count("ibiswall_health_checks_total", std::to_string(status));
    respond(jsonReply(status, "{}"));
}

// Logs each change of readiness with the state that decides it.
void EntryNode::reportReadiness()
{
    const Millis now = bootClock();
    const bool ready = isReady();
    if (ready == reportedReady_) {
        return;
    }
    reportedReady_ = ready;
    gauge("ibiswall_ready", ready ? 1 : 0);
    const EntryCounts others = leadership_.countOthers(now);
    logEvent("ready.changed",
             {{"ready", ready ? 1 : 0},
              {"configured", configured_ ? 1 : 0},
              {"stopping_ms", stoppingSince_ ? (now - *stoppingSince_).count_ : -1},
              {"closing", closingSince_ ? 1 : 0},
              {"others", others.known_},
              {"reachable", others.reachable_},
              {"leaving", others.leaving_},
              {"accepting", others.accepting_},
              {"oldest_heartbeat_ms", others.oldestHeartbeat_.count_}});
}

// Requests are handled until the load balancer sends callers elsewhere; meanwhile another entry becomes the leader.
void EntryNode::stop()
{
    if (stoppingSince_) {
        io_.stop();
        return;
    }
    logEvent("process.stopping", {{"pending", static_cast<std::int64_t>(callers_.pending())}, {"leading", leaderSession_ ? 1 : 0}});
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
    const Millis elapsed = now - *stoppingSince_;
    if (!closingSince_) {
        const bool successor = elapsed >= balancerDelay && leadership_.hasSuccessor(now);
        if (successor || elapsed + drainReserve > settings_.gracePeriod_) {
            logEvent(
                "process.closing",
                {{"pending", static_cast<std::int64_t>(callers_.pending())}, {"heir", successor ? 1 : 0}, {"stopping_ms", elapsed.count_}});
            closingSince_ = now;
        }
        return;
    }
    callers_.closeIdle();
    const bool expired = elapsed + stopReserve > settings_.gracePeriod_;
    if (expired) {
        answerRemaining();
    }
    const bool done = callers_.pending() == 0 && acceptor_.pending() == 0 && !leaderSession_;
    if (done || elapsed + stopReserve > settings_.gracePeriod_ + lastAnswersTimeout) {
        logEvent("process.stopped", {{"pending", static_cast<std::int64_t>(callers_.pending())}, {"leading", leaderSession_ ? 1 : 0}});
        io_.stop();
    }
}

bool EntryNode::isStoreLost() const
{
    constexpr int minFailures = 3;
    constexpr Millis maxAnswerAge{1200};
    const platform::StoreHealth &health = store_.health();
    return health.failures_ >= minFailures && bootClock() > health.lastAnsweredSentAt_ + maxAnswerAge;
}

} // namespace ibiswall::node
