// An agent's wiring.

#include "agentnode.hpp"

#include "../../../platform/announcements.hpp"
#include "keys.hpp"
#include "roster.hpp"
#include <csignal>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis tickPeriod{50};
constexpr Millis pingPeriod{150};
// Pings come this often while there is no right.
constexpr Millis eagerPingPeriod{60};
constexpr Millis entriesPeriod{2000};
constexpr Millis storeTimeout{1000};
// Time kept free at the end of the grace.
constexpr Millis stopReserve{500};

const char *outcomeName(cell::CallOutcome outcome)
{
    constexpr const char *names[] = {"ok", "no_room", "rejected", "not_sent", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

cell::AttendantSettings attendantSettings(const CellAgentSettings &settings)
{
    cell::AttendantSettings out;
    out.maxLease_ = settings.maxLease_;
    return out;
}

} // namespace

AgentNode::AgentNode(boost::asio::io_context &io, const CellAgentSettings &settings)
    : io_(io)
    , settings_(settings)
    , self_{settings.name_, wallClock().count_, false}
    , store_(io, settings.store_, storeTimeout)
    , target_(io, settings.target_)
    , mesh_(io,
            {self_, {}},
            {[this](const Peer &peer) {
                 if (peer.name_ == leader_) {
                     // Frames may have been lost with the former path.
                     attendant_.reportAll();
                     act();
                 }
             },
             [](const std::string &) {},
             [this](const std::string &from, std::string_view bytes) {
                 receive(from, bytes);
             }})
    , attendant_(attendantSettings(settings), self_.incarnation_)
    , announcements_(io, {}, [this](const HttpRequest &request, const Respond &respond) { serve(request, respond); })
    , metrics_(io)
    , timer_(io)
    , signals_(io, SIGTERM, SIGINT)
{
}

Result<void> AgentNode::start()
{
    BOOST_OUTCOME_TRY(announcements_.listen(settings_.announcements_));
    BOOST_OUTCOME_TRY(metrics_.listen(settings_.metrics_));
    store_.setObserver(observeStore);
    logEvent("process.started", {{"role", "agent"}, {"incarnation", self_.incarnation_}});
    signals_.async_wait([this](boost::system::error_code error, int) {
        if (!error) {
            stop();
        }
    });
    tick();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void AgentNode::apply(const CellAgentSettings &settings)
{
    const bool moved = !(settings.announcements_ == settings_.announcements_) || !(settings.target_ == settings_.target_)
        || settings.name_ != settings_.name_;
    if (moved) {
        logEvent("settings.restart_needed", {{"reason", "name, target or listening addresses have changed"}});
    }
    if (!(settings.store_ == settings_.store_)) {
        store_.setServer(settings.store_);
    }
    settings_.store_ = settings.store_;
    settings_.grace_ = settings.grace_;
}

void AgentNode::serve(const HttpRequest &request, const Respond &respond)
{
    constexpr int fine = 200;
    constexpr int malformed = 400;
    const auto heard = platform::parseAnnouncement(request.method_, request.path_, request.body_);
    if (heard.has_error()) {
        logEvent("target.malformed", {{"reason", std::string_view(heard.error().text_)}});
        respond(jsonReply(malformed, "{}"));
        return;
    }
    const platform::Announcement &word = heard.value();
    const Millis now = bootClock();
    respond(jsonReply(fine, "{}"));
    if (word.kind_ == platform::Announcement::Kind::Departure) {
        logEvent("target.departed", {{"target", std::string_view(word.info_.id_)}});
        attendant_.departed(word.info_.id_, now);
        act();
        return;
    }
    const bool stale = word.info_.born_ < bornHeard_ || (word.info_.born_ == bornHeard_ && word.sequence_ <= sequenceHeard_);
    if (stale || word.address_ != format(settings_.target_)) {
        logEvent("target.ignored",
                 {{"target", std::string_view(word.info_.id_)}, {"born", word.info_.born_}, {"sequence", word.sequence_}});
        return;
    }
    if (word.info_.born_ != bornHeard_) {
        logEvent("target.announced", {{"target", std::string_view(word.info_.id_)}, {"born", word.info_.born_}});
    }
    bornHeard_ = word.info_.born_;
    sequenceHeard_ = word.sequence_;
    target_.setInstance(word.info_.id_);
    attendant_.announced(word.info_, word.clock_, now);
    act();
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
        if (pong->epoch_ == attendant_.epoch() && pong->right_ > Millis{0}) {
            rightUntil_ = {std::max(rightUntil_.count_, (pong->sentAt_ + pong->right_).count_)};
            attendant_.grant(rightUntil_);
        } else if (pong->epoch_ == attendant_.epoch()) {
            // The leader has taken the report in, and is ready to grant.
            pingedAt_ = {};
            ping();
        }
    } else if (const auto *orders = std::get_if<OrdersFrame>(&frame.value())) {
        if (orders->epoch_ == attendant_.epoch()) {
            obey(*orders);
        }
    }
    act();
}

void AgentNode::follow(const std::string &from, const LeadFrame &lead)
{
    const std::uint64_t epoch = lead.epoch_;
    if (!attendant_.follow(epoch, lead.lastReport_, bootClock())) {
        logEvent("lead.stale", {{"from", std::string_view(from)}, {"epoch", static_cast<std::int64_t>(epoch)}});
        return;
    }
    if (leader_ != from) {
        logEvent("lead.followed", {{"leader", std::string_view(from)}, {"epoch", static_cast<std::int64_t>(epoch)}});
    }
    leader_ = from;
}

void AgentNode::obey(const OrdersFrame &frame)
{
    const Millis now = bootClock();
    for (const cell::StopOrder &stop : frame.stops_) {
        attendant_.stop(stop.run_, now);
    }
    for (const cell::StartOrder &start : frame.starts_) {
        attendant_.start(start.run_, start.payload_, start.checkpoint_, start.ephemeral_, frame.report_, now);
    }
    if (frame.acknowledged_ > 0) {
        attendant_.acknowledge(frame.acknowledgedBorn_, frame.acknowledged_);
    }
    attendant_.tick(now);
}

void AgentNode::ping()
{
    const Millis now = bootClock();
    const Millis period = rightUntil_ > now ? pingPeriod : eagerPingPeriod;
    if (leader_.empty() || now < pingedAt_ + period) {
        return;
    }
    pingedAt_ = now;
    mesh_.send(leader_, formatFrame(PingFrame{attendant_.epoch(), now}));
}

void AgentNode::act()
{
    if (std::exchange(acting_, true)) {
        return;
    }
    for (const cell::TargetCall &each : attendant_.takeCalls()) {
        call(each);
    }
    cell::AgentReport report = attendant_.takeReport();
    if (!report.isEmpty() && !leader_.empty()) {
        mesh_.send(leader_, formatFrame(ReportFrame{attendant_.epoch(), std::move(report)}));
    }
    acting_ = false;
}

void AgentNode::call(const cell::TargetCall &made)
{
    if (made.kind_ == cell::TargetCall::Kind::Hold) {
        target_.renew(made, [this, made](const cell::HoldAnswer &answer) {
            attendant_.held(made, answer, bootClock());
            act();
        });
        return;
    }
    target_.sendCommand(made, [this, made](cell::CallOutcome outcome) {
        if (made.kind_ == cell::TargetCall::Kind::Start) {
            count("ibiswall_starts_total", outcomeName(outcome));
            observe("ibiswall_start_seconds", bootClock() - made.sentAt_);
        }
        if (outcome != cell::CallOutcome::Ok) {
            logEvent(made.kind_ == cell::TargetCall::Kind::Start ? "start.failed" : "stop.failed",
                     {{"job", std::string_view(made.run_.task_.job_)},
                      {"task", made.run_.task_.index_},
                      {"run", static_cast<std::int64_t>(made.run_.number_)},
                      {"outcome", outcomeName(outcome)},
                      {"after_ms", (bootClock() - made.sentAt_).count_}});
        }
        if (made.kind_ == cell::TargetCall::Kind::Start) {
            attendant_.started(made, outcome, bootClock());
        } else {
            attendant_.stopped(made, outcome, bootClock());
        }
        act();
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
        const auto entries = parseEntries(answer.items_);
        if (entries.empty()) {
            // The cell is just starting.
            constexpr Millis soon{300};
            entriesReadAt_ = bootClock() - entriesPeriod + soon;
        }
        mesh_.setEntries(entries);
    });
}

void AgentNode::tick()
{
    readEntries();
    ping();
    gauge("ibiswall_runs", static_cast<double>(attendant_.runs()));
    gauge("ibiswall_target_answering", attendant_.isAnswering() ? 1 : 0);
    attendant_.tick(bootClock());
    act();
    if (stoppingSince_ && (attendant_.runs() == 0 || bootClock() > *stoppingSince_ + settings_.grace_ - stopReserve)) {
        logEvent("process.stopped", {{"runs", static_cast<std::int64_t>(attendant_.runs())}});
        io_.stop();
        return;
    }
    timer_.expires_after(std::chrono::milliseconds(tickPeriod.count_));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

// What runs goes on to its end; nothing new is started.
void AgentNode::stop()
{
    if (stoppingSince_) {
        io_.stop();
        return;
    }
    logEvent("process.stopping", {{"runs", static_cast<std::int64_t>(attendant_.runs())}});
    stoppingSince_ = bootClock();
    attendant_.leave();
    act();
    signals_.async_wait([this](boost::system::error_code error, int) {
        if (!error) {
            io_.stop();
        }
    });
}

} // namespace ibiswall::node
