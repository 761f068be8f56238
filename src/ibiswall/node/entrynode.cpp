// Construction, settings and graceful shutdown of an entry.

#include "entrynode.hpp"

#include "../../../platform/callers.hpp"
#include "eventloop.hpp"
#include "httplimits.hpp"
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

// Calls to the store normally take a few milliseconds, and some hundreds when it is slow.
constexpr Millis storeTimeout{1000};

HttpLimits callerLimits(const ProcessLimits &process)
{
    HttpLimits limits;
    limits.maxBody_ = 1U << 20U;
    limits.maxHeader_ = 16384;
    limits.maxConnections_ = process.maxConnections_;
    limits.budget_ = process.connections_;
    limits.onClosed_ = [](std::string_view reason) {
        reportClosed("callers", reason);
    };
    limits.idleTimeout_ = {60000};
    limits.extraHeader_ = platform::callerTimeoutHeader;
    limits.detectPeerClose_ = true;
    limits.onHandlerFailure_ = reportHandlerFailure;
    return limits;
}

// CPU share of the entry, in thousandths of a core.
std::int64_t millicoresOf(const CellEntrySettings &settings)
{
    constexpr double millicoresPerCore = 1000;
    return static_cast<std::int64_t>(settings.cores_ * millicoresPerCore);
}

MeshSettings meshSettings(const Peer &self, const CellEntrySettings &settings, const ProcessLimits &limits)
{
    MeshSettings out;
    out.self_ = self;
    out.listen_ = settings.linksAddress_;
    out.maxDescriptors_ = settings.maxDescriptors_;
    out.buffers_ = limits.links_;
    return out;
}

GracefulStopSettings stopSettings(const CellEntrySettings &settings)
{
    GracefulStopSettings out;
    out.gracePeriod_ = settings.gracePeriod_;
    return out;
}

} // namespace

EntryNode::EntryNode(boost::asio::io_context &io, const CellEntrySettings &settings)
    : io_(io)
    , settings_(settings)
    , limits_(processLimits(settings.memory_, settings.maxDescriptors_))
    , self_{settings.name_, wallClock().count_, true}
    , store_(io, settings.storeAddress_, storeTimeout)
    , mesh_(io,
            meshSettings(self_, settings, limits_),
            {[this](const Peer &peer) { onPeerUp(peer); }, [this](const std::string &name) { onPeerDown(name); },
             [this](const std::string &from, std::string_view bytes) {
                 receive(from, bytes);
             }})
    , leadership_(settings.name_, millicoresOf(settings), {})
    , succession_(SuccessionSettings{})
    , takeover_(HandoverSettings{})
    , stop_(stopSettings(settings))
    , stages_(bootClock())
    , acceptor_(io, store_, [this](const std::string &id, const AcceptedJob &job) { onAccepted(id, job); })
    , callers_(io, callerLimits(limits_), [this](HttpRequest request, Respond respond) { serve(std::move(request), std::move(respond)); })
    , ready_(io, monitoringLimits("ready"), [this](const HttpRequest &, const Respond &respond) { answerHealthCheck(respond); })
    , metrics_(io)
    , timer_(io)
    , configTimer_(io)
    , offerTimer_(io)
    , signals_(io, [this] { beginStop(); })
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
    signals_.start();
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
    stop_.setGracePeriod(settings.gracePeriod_);
    settings_.stateRetention_ = settings.stateRetention_;
    settings_.scheduling_ = settings.scheduling_;
    if (leaderSession_) {
        leaderSession_->setScheduling(settings_.scheduling_);
    }
}

void EntryNode::tick()
{
    // First, so that an exception in the work below does not end the ticks.
    timer_.expires_after(std::chrono::milliseconds(tickPeriod.count_));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
    const Millis now = bootClock();
    sendHeartbeats();
    maybeCampaign();
    requestHandover(now);
    readEntries();
    refuseUnoffered(now);
    expireCallers(now);
    reportReadiness();
    gauge("ibiswall_leading", leaderSession_ && leadership_.isLeader() ? 1 : 0);
    gauge("ibiswall_connection_bytes", static_cast<double>(limits_.connections_->used()));
    gauge("ibiswall_job_bytes", static_cast<double>(limits_.jobs_->used()));
    gauge("ibiswall_link_bytes", static_cast<double>(limits_.links_->used()));
    gauge("ibiswall_task_bytes", static_cast<double>(limits_.leaderJobs_->used()));
    gauge("ibiswall_interfering_pairs", leaderSession_ ? static_cast<double>(leaderSession_->interferingPairCount()) : 0);
    if (stop_.hasBegun()) {
        continueStop();
    }
}

void EntryNode::reachStage(RecoveryStage stage)
{
    constexpr double millisPerSecond = 1000;
    if (const auto after = stages_.reach(stage, bootClock())) {
        logEvent("recovery.stage", {{"stage", stageName(stage)}, {"after_ms", after->count_}});
        gauge("ibiswall_recovery_seconds", static_cast<double>(after->count_) / millisPerSecond, stageName(stage));
    }
}

void EntryNode::answerHealthCheck(const Respond &respond)
{
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    const int status = stop_.isReady(configured_) ? ok : unavailable;
    count("ibiswall_health_checks_total", std::to_string(status));
    respond(jsonReply(status, "{}"));
}

// Logs each change of readiness with the state that decides it.
void EntryNode::reportReadiness()
{
    const Millis now = bootClock();
    const bool ready = stop_.isReady(configured_);
    if (ready == reportedReady_) {
        return;
    }
    reportedReady_ = ready;
    gauge("ibiswall_ready", ready ? 1 : 0);
    const EntryCounts others = leadership_.countOthers(now);
    logEvent("ready.changed",
             {{"ready", ready ? 1 : 0},
              {"configured", configured_ ? 1 : 0},
              {"stopping_ms", stop_.elapsed(now).value_or(Millis{-1}).count_},
              {"closing", stop_.isClosing() ? 1 : 0},
              {"others", others.known_},
              {"reachable", others.reachable_},
              {"leaving", others.leaving_},
              {"accepting", others.accepting_},
              {"oldest_heartbeat_ms", others.oldestHeartbeat_.count_}});
}

// Requests are handled until the load balancer sends callers elsewhere; meanwhile another entry becomes the leader.
void EntryNode::beginStop()
{
    stop_.begin(bootClock());
    logEvent("process.stopping", {{"pending", static_cast<std::int64_t>(callers_.pending())}, {"leading", leaderSession_ ? 1 : 0}});
}

void EntryNode::continueStop()
{
    const Millis now = bootClock();
    const bool successor = leadership_.hasSuccessor(now);
    if (stop_.closeIfDue(successor, now)) {
        logEvent("process.closing",
                 {{"pending", static_cast<std::int64_t>(callers_.pending())},
                  {"heir", successor ? 1 : 0},
                  {"stopping_ms", stop_.elapsed(now)->count_}});
        return;
    }
    if (!stop_.isClosing()) {
        return;
    }
    callers_.closeIdle();
    if (stop_.mustAnswerNow(now)) {
        answerRemaining();
    }
    if (stop_.mayExit(callers_.pending() == 0 && acceptor_.pending() == 0 && !leaderSession_, now)) {
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
