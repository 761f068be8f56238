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
constexpr Millis lastAnswers{100};

HttpLimits callerLimits()
{
    HttpLimits limits;
    limits.maxBody_ = 1U << 20U;
    limits.maxHeader_ = 16384;
    limits.maxConnections_ = 3500;
    limits.idle_ = {60000};
    limits.passedHeader_ = platform::deadlineHeader;
    limits.watchPeers_ = true;
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
    , store_(io, settings.store_, storeTimeout)
    , mesh_(io,
            {self_, settings.links_},
            {[this](const Peer &peer) { peerUp(peer); }, [this](const std::string &name) { peerDown(name); },
             [this](const std::string &from, std::string_view bytes) {
                 receive(from, bytes);
             }})
    , leadership_(settings.name_, millicoresOf(settings), {})
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
    const bool restartNeeded = !(settings.callers_ == settings_.callers_) || !(settings.ready_ == settings_.ready_)
        || !(settings.links_ == settings_.links_) || settings.name_ != settings_.name_;
    if (restartNeeded) {
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
    sendHeartbeat();
    maybeCampaign();
    readEntries();
    expireCallers(now);
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

// An entry that is stopping stays ready while callers cannot be sent to another one.
bool EntryNode::isReady() const
{
    return configured_ && !closingSince_ && (!stoppingSince_ || !leadership_.hasSuccessor(bootClock()));
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
        if (successor || elapsed + drainReserve > settings_.grace_) {
            logEvent("process.closing", {{"pending", static_cast<std::int64_t>(callers_.pending())}, {"heir", successor ? 1 : 0}});
            closingSince_ = now;
        }
        return;
    }
    callers_.closeIdle();
    const bool expired = elapsed + stopReserve > settings_.grace_;
    if (expired) {
        answerRemaining();
    }
    const bool done = callers_.pending() == 0 && acceptor_.pending() == 0 && !leaderSession_;
    if (done || elapsed + stopReserve > settings_.grace_ + lastAnswers) {
        logEvent("process.stopped", {{"pending", static_cast<std::int64_t>(callers_.pending())}, {"leading", leaderSession_ ? 1 : 0}});
        io_.stop();
    }
}

bool EntryNode::isStoreLost() const
{
    constexpr int minFailures = 3;
    constexpr Millis maxAnswerAge{1200};
    const platform::StoreHealth &health = store_.health();
    return health.failures_ >= minFailures && bootClock() > health.answeredSentAt_ + maxAnswerAge;
}

} // namespace ibiswall::node
