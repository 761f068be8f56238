// Connects the target supervisor of an agent to the target, the leader and the store.

#include "agentnode.hpp"

#include "../../../platform/announcements.hpp"
#include "eventloop.hpp"
#include "httplimits.hpp"
#include "keys.hpp"
#include "pinginterval.hpp"
#include <algorithm>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis tickPeriod{50};
constexpr Millis entriesPeriod{2000};
constexpr Millis storeTimeout{1000};
// Entries that an agent links to besides the leader.
constexpr std::size_t relayLinks = 3;
// Wait before an agent connects to a new leader, and the time over which the agents are spread after it.
constexpr Millis leaderLinkDelay{1000};
constexpr Millis leaderLinkSpread{2000};
// A target that claims to have started later than this from now is not one: clocks differ by less.
constexpr Millis maxClockError{24LL * 3600 * 1000};
// Time reserved at the end of the grace period.
constexpr Millis stopReserve{500};

HttpLimits announcementLimits()
{
    HttpLimits limits = monitoringLimits("announcements");
    // A target with a thousand labels.
    limits.maxBody_ = 65536;
    limits.onHandlerFailure_ = reportHandlerFailure;
    return limits;
}

const char *outcomeName(cell::CallOutcome outcome)
{
    constexpr const char *names[] = {"ok", "no_room", "rejected", "fenced", "not_sent", "refused", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

cell::TargetSupervisorSettings supervisorSettings(const CellAgentSettings &settings)
{
    cell::TargetSupervisorSettings out;
    out.maxLease_ = settings.maxLease_;
    return out;
}

} // namespace

AgentNode::AgentNode(boost::asio::io_context &io, const CellAgentSettings &settings)
    : io_(io)
    , settings_(settings)
    , self_{settings.name_, wallClock().count_, false}
    , store_(io, settings.storeAddress_, storeTimeout)
    , target_(io, settings.callsAddress_)
    , mesh_(io,
            {self_, {}},
            {[this](const Peer &peer) {
                 if (peer.name_ == leader_) {
                     // Frames may have been lost with the previous path.
                     supervisor_.scheduleFullReport();
                     flush();
                 }
             },
             [](const std::string &) {},
             [this](const std::string &from, std::string_view bytes) {
                 receive(from, bytes);
             }})
    , supervisor_(supervisorSettings(settings), self_.incarnation_)
    , announcements_(io,
                     announcementLimits(),
                     [this](const HttpRequest &request, const Respond &respond) { handleAnnouncementRequest(request, respond); })
    , metrics_(io)
    , timer_(io)
    , signals_(io, [this] { beginStop(); })
{
}

Result<void> AgentNode::start()
{
    BOOST_OUTCOME_TRY(announcements_.listen(settings_.announcementsAddress_));
    BOOST_OUTCOME_TRY(metrics_.listen(settings_.metricsAddress_));
    store_.setObserver(observeStore);
    logEvent("process.started", {{"role", "agent"}, {"incarnation", self_.incarnation_}});
    signals_.start();
    tick();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void AgentNode::apply(const CellAgentSettings &settings)
{
    const bool restartNeeded = !(settings.announcementsAddress_ == settings_.announcementsAddress_)
        || !(settings.callsAddress_ == settings_.callsAddress_) || settings.name_ != settings_.name_;
    if (restartNeeded) {
        logEvent("settings.restart_needed", {{"reason", "name, target or listening addresses have changed"}});
    }
    if (!(settings.storeAddress_ == settings_.storeAddress_)) {
        store_.setServer(settings.storeAddress_);
    }
    settings_.storeAddress_ = settings.storeAddress_;
    settings_.gracePeriod_ = settings.gracePeriod_;
}

void AgentNode::handleAnnouncementRequest(const HttpRequest &request, const Respond &respond)
{
    constexpr int ok = 200;
    constexpr int malformed = 400;
    const auto parsed = platform::parseAnnouncement(request.method_, request.path_, request.body_);
    if (parsed.has_error()) {
        logEvent("target.malformed", {{"reason", std::string_view(parsed.error().text_)}});
        respond(jsonReply(malformed, "{}"));
        return;
    }
    const platform::Announcement &announcement = parsed.value();
    const Millis now = bootClock();
    respond(jsonReply(ok, "{}"));
    if (announcement.kind_ == platform::Announcement::Kind::Departure) {
        logEvent("target.departed",
                 {{"target", std::string_view(announcement.info_.id_)}, {"born", announcement.info_.targetIncarnation_}});
        supervisor_.onDeparture(announcement.info_.id_, announcement.info_.targetIncarnation_, now);
        flush();
        return;
    }
    const bool stale = announcement.info_.targetIncarnation_ < lastIncarnation_
        || (announcement.info_.targetIncarnation_ == lastIncarnation_ && announcement.sequence_ <= lastSequence_);
    // Otherwise all later announcements of the target would count as outdated.
    const bool fromFuture = announcement.info_.targetIncarnation_ > wallClock().count_ + maxClockError.count_;
    if (stale || fromFuture || announcement.address_ != format(settings_.callsAddress_)) {
        logEvent("target.ignored",
                 {{"target", std::string_view(announcement.info_.id_)},
                  {"born", announcement.info_.targetIncarnation_},
                  {"sequence", announcement.sequence_}});
        return;
    }
    if (announcement.info_.targetIncarnation_ != lastIncarnation_) {
        logEvent("target.announced",
                 {{"target", std::string_view(announcement.info_.id_)}, {"born", announcement.info_.targetIncarnation_}});
    }
    lastIncarnation_ = announcement.info_.targetIncarnation_;
    lastSequence_ = announcement.sequence_;
    target_.setInstance(announcement.info_.id_);
    supervisor_.onAnnouncement(announcement.info_, announcement.clock_, now);
    flush();
}

void AgentNode::receive(const std::string &from, std::string_view bytes)
{
    auto frame = parseFrame(bytes);
    if (frame.has_error()) {
        logEvent("frame.malformed", {{"from", std::string_view(from)}, {"reason", std::string_view(frame.error().text_)}});
        return;
    }
    if (const auto *lead = std::get_if<LeadFrame>(&frame.value())) {
        follow(from, *lead);
    } else if (from != leader_) {
        return;
    } else if (const auto *pong = std::get_if<PongFrame>(&frame.value())) {
        if (pong->epoch_ == supervisor_.epoch() && pong->lease_ > Millis{0}) {
            pingAnswered_ = pingAnswered_ || pong->sentAt_ == lastPingAt_;
            agentLeaseUntil_ = {std::max(agentLeaseUntil_.count_, (pong->sentAt_ + pong->lease_).count_)};
            supervisor_.renewAgentLease(agentLeaseUntil_);
        } else if (pong->epoch_ == supervisor_.epoch()) {
            // The leader has applied the report and can grant a lease.
            lastPingAt_ = {};
            ping();
        }
    } else if (const auto *orders = std::get_if<OrdersFrame>(&frame.value())) {
        if (orders->epoch_ == supervisor_.epoch()) {
            handleOrders(*orders);
        }
    }
    flush();
}

void AgentNode::follow(const std::string &from, const LeadFrame &lead)
{
    if (!supervisor_.follow({lead.epoch_, lead.lastReport_, lead.term_}, bootClock())) {
        logEvent("lead.stale", {{"from", std::string_view(from)}, {"epoch", logNumber(lead.epoch_)}});
        return;
    }
    if (leader_ != from) {
        logEvent("lead.followed", {{"leader", std::string_view(from)}, {"epoch", logNumber(lead.epoch_)}, {"term", logNumber(lead.term_)}});
        leader_ = from;
        delayLeaderLink();
        connectToEntries();
    }
}

void AgentNode::handleOrders(const OrdersFrame &frame)
{
    const Millis now = bootClock();
    for (const cell::StopOrder &stop : frame.stops_) {
        supervisor_.stop(stop.run_, now);
    }
    for (const cell::StartOrder &start : frame.starts_) {
        supervisor_.start(start.run_, start.payload_, start.checkpoint_, start.ephemeral_, frame.report_, now);
    }
    if (frame.acknowledged_ > 0) {
        supervisor_.acknowledge(frame.acknowledgedIncarnation_, frame.acknowledged_);
    }
    supervisor_.tick(now);
}

void AgentNode::ping()
{
    const Millis now = bootClock();
    if (leader_.empty() || now < lastPingAt_ + pingInterval({agentLeaseUntil_ - now, pingAnswered_})) {
        return;
    }
    lastPingAt_ = now;
    pingAnswered_ = false;
    const bool fenced = supervisor_.isFenced();
    if (fenced) {
        count("ibiswall_fenced_total");
        logEvent("target.fenced", {{"epoch", logNumber(supervisor_.epoch())}, {"born", lastIncarnation_}});
    }
    // A leader announces itself to an agent that follows no epoch, with a higher fence than before.
    mesh_.send(leader_, formatFrame(PingFrame{fenced ? 0 : supervisor_.epoch(), now}));
}

void AgentNode::flush()
{
    if (std::exchange(flushing_, true)) {
        return;
    }
    followTargetIncarnation();
    for (const cell::TargetCall &each : supervisor_.takeCalls()) {
        call(each);
    }
    cell::AgentReport report = supervisor_.takeReport();
    if (!report.full_ && !report.crashes_.empty()) {
        const auto suspected
            = std::count_if(report.crashes_.begin(), report.crashes_.end(), [](const auto &each) { return each.suspected_; });
        logEvent(
            "target.crashed",
            {{"born", lastIncarnation_}, {"runs", logNumber(report.crashes_.size())}, {"suspected", static_cast<std::int64_t>(suspected)}});
    }
    if (!report.isEmpty() && !leader_.empty()) {
        mesh_.send(leader_, formatFrame(ReportFrame{supervisor_.epoch(), std::move(report)}));
    }
    flushing_ = false;
}

void AgentNode::followTargetIncarnation()
{
    const std::int64_t incarnation = supervisor_.targetIncarnation();
    const std::int64_t former = std::exchange(targetIncarnation_, incarnation);
    if (former == 0 || former == incarnation) {
        return;
    }
    logEvent("target.restarted", {{"former", former}, {"born", incarnation}, {"runs", logNumber(supervisor_.runs())}});
    // Nothing is started before the lease is renewed.
    lastPingAt_ = {};
    ping();
}

void AgentNode::call(const cell::TargetCall &targetCall)
{
    if (targetCall.kind_ == cell::TargetCall::Kind::Renew) {
        target_.renew(targetCall, [this, targetCall](const cell::RenewalReply &answer) {
            supervisor_.onRenewalReply(targetCall, answer, bootClock());
            flush();
        });
        return;
    }
    target_.sendCommand(targetCall, [this, targetCall](cell::CallOutcome outcome) {
        if (targetCall.kind_ == cell::TargetCall::Kind::Start) {
            count("ibiswall_starts_total", outcomeName(outcome));
            observe("ibiswall_start_seconds", bootClock() - targetCall.sentAt_);
        }
        if (outcome != cell::CallOutcome::Ok) {
            logEvent(targetCall.kind_ == cell::TargetCall::Kind::Start ? "start.failed" : "stop.failed",
                     {{"job", std::string_view(targetCall.run_.task_.job_)},
                      {"task", targetCall.run_.task_.index_},
                      {"run", static_cast<std::int64_t>(targetCall.run_.number_)},
                      {"outcome", outcomeName(outcome)},
                      {"after_ms", (bootClock() - targetCall.sentAt_).count_}});
        }
        if (targetCall.kind_ == cell::TargetCall::Kind::Start) {
            supervisor_.onStartReply(targetCall, outcome, bootClock());
        } else {
            supervisor_.onStopReply(targetCall, outcome, bootClock());
        }
        flush();
    });
}

void AgentNode::readEntries()
{
    const Millis now = bootClock();
    if (readingEntries_ || now < entriesReadAt_ + (entriesReadAt_ == Millis{0} ? Millis{0} : entriesPeriod)) {
        return;
    }
    entriesReadAt_ = now;
    readingEntries_ = true;
    store_.readAll(keys::entries, true, [this](const platform::StoreResult &answer) {
        readingEntries_ = false;
        if (answer.outcome_ != platform::StoreOutcome::Ok) {
            return;
        }
        entries_ = parseEntries(answer.items_);
        if (entries_.empty()) {
            // The cell is starting up: retry soon.
            constexpr Millis startupRetry{300};
            entriesReadAt_ = bootClock() - entriesPeriod + startupRetry;
        }
        connectToEntries();
    });
}

// The leader's orders and reports make up most of the traffic, so they get a link of their own.
void AgentNode::connectToEntries()
{
    EntryRecords wanted = chooseRelayEntries(self_.name_, settings_.domain_, entries_, relayLinks);
    if (const auto leader = entries_.find(leader_); leader != entries_.end() && leaderLinkDueAt_ == Millis{0}) {
        wanted.insert(*leader);
    }
    mesh_.setEntries(addressesOf(wanted));
}

// The change of the path to the leader interrupts the orders to this agent, and each new link costs the leader a handshake. So
// agents use relays while a new leader gathers their reports, and then connect to it one after the other.
void AgentNode::delayLeaderLink()
{
    const auto spread = static_cast<std::uint64_t>(leaderLinkSpread.count_);
    leaderLinkDueAt_ = bootClock() + leaderLinkDelay + Millis{static_cast<std::int64_t>(std::hash<std::string>{}(self_.name_) % spread)};
}

void AgentNode::connectToLeaderIfDue()
{
    if (leaderLinkDueAt_ != Millis{0} && bootClock() >= leaderLinkDueAt_) {
        leaderLinkDueAt_ = {};
        connectToEntries();
    }
}

void AgentNode::tick()
{
    // First, so that an exception in the work below does not end the ticks.
    timer_.expires_after(std::chrono::milliseconds(tickPeriod.count_));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
    connectToLeaderIfDue();
    readEntries();
    ping();
    gauge("ibiswall_runs", static_cast<double>(supervisor_.runs()));
    gauge("ibiswall_target_answering", supervisor_.isResponsive() ? 1 : 0);
    supervisor_.tick(bootClock());
    flush();
    const Millis now = bootClock();
    if (stoppingSince_ && (supervisor_.isDrained(now) || now > *stoppingSince_ + settings_.gracePeriod_ - stopReserve)) {
        logEvent("process.stopped", {{"runs", static_cast<std::int64_t>(supervisor_.runs())}});
        io_.stop();
    }
}

// Active runs continue to their end; nothing new is started.
void AgentNode::beginStop()
{
    logEvent("process.stopping", {{"runs", static_cast<std::int64_t>(supervisor_.runs())}});
    stoppingSince_ = bootClock();
    supervisor_.drain();
    flush();
}

} // namespace ibiswall::node
