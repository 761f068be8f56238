// Feeds the gate with events and carries out what it asks for.

#include "gateduty.hpp"

#include <algorithm>
#include <ibiswall/log.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ibiswall {

namespace {

constexpr std::string_view part = "agent.gate";
constexpr std::chrono::milliseconds tickInterval(50);
constexpr Millis renewInterval{500};
// Renewals older than any grant could answer usefully.
constexpr std::size_t maxRenewalsOpen = 16;

AgentInfo makeInfo(const AgentSettings &settings)
{
    AgentInfo info;
    info.agent_ = {settings.target_, makeIncarnationNumber(wallClock(), std::random_device{}())};
    info.place_ = {settings.target_, settings.worker_, settings.domain_};
    info.slots_ = settings.slots_;
    info.credits_ = settings.slots_;
    return info;
}

} // namespace

GateDuty::GateDuty(boost::asio::io_context &io, const AgentSettings &settings, std::function<void(StartCall)> start)
    : info_(makeInfo(settings))
    , start_(std::move(start))
    , timer_(io)
    , entries_(settings.entries_.size())
{
    gate_.slots_ = settings.slots_;
    gate_.maxWaiting_ = static_cast<std::size_t>(settings.slots_) * settings.entries_.size();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        EntryLink &entry = entries_[i];
        LinkEvents events;
        events.opened_ = [this, &entry](LinkId /*link*/) {
            opened(entry);
        };
        events.closed_ = [this, &entry](LinkId /*link*/) {
            closed(entry);
        };
        events.received_ = [this, &entry](LinkId /*link*/, std::string_view frame) {
            receive(entry, frame);
        };
        entry.link_ = std::make_unique<LinkClient>(io, settings.entries_[i], LinkLimits{}, std::move(events));
    }
}

void GateDuty::start()
{
    for (EntryLink &entry : entries_) {
        entry.link_->start();
    }
    scheduleTick();
}

void GateDuty::stop()
{
    timer_.cancel();
    for (EntryLink &entry : entries_) {
        entry.link_->stop();
    }
}

void GateDuty::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        const Millis now = bootClock();
        if (now >= renewedAt_ + renewInterval) {
            renewedAt_ = now;
            for (EntryLink &entry : entries_) {
                renew(entry);
            }
        }
        GateActions actions;
        tick(gate_, now, actions);
        act(actions);
        scheduleTick();
    });
}

void GateDuty::opened(EntryLink &entry)
{
    entry.ref_ = nextRef_++;
    entry.link_->send(encode(AgentHello{protocolVersion, info_}));
    if (gate_.leaving_) {
        entry.link_->send(encode(AgentDraining{}));
    }
    renew(entry);
    log(LogLevel::Info, part, "link to an entry opened");
}

void GateDuty::closed(EntryLink &entry)
{
    closeLink(gate_, entry.ref_);
    entry.ref_ = 0;
    entry.renewals_.clear();
    log(LogLevel::Info, part, "link to an entry closed");
}

void GateDuty::renew(EntryLink &entry)
{
    if (entry.ref_ == 0) {
        return;
    }
    const std::uint64_t number = nextRenewal_++;
    entry.renewals_[number] = bootClock();
    if (entry.renewals_.size() > maxRenewalsOpen) {
        entry.renewals_.erase(entry.renewals_.begin());
    }
    entry.link_->send(encode(LeaseRenewal{number, gate_.version_}));
}

void GateDuty::receive(EntryLink &entry, std::string_view frame)
{
    const auto message = decode(frame);
    if (message.has_error()) {
        log(LogLevel::Warning, part, message.error().text_);
        entry.link_->close();
        return;
    }
    if (const auto *grant = std::get_if<Grant>(&message.value())) {
        takeGrantFrame(entry, *grant);
        return;
    }
    const auto *orders = std::get_if<Orders>(&message.value());
    if (orders == nullptr) {
        log(LogLevel::Warning, part, "unexpected message");
        entry.link_->close();
        return;
    }
    GateActions actions;
    takeOrders(gate_, bootClock(), entry.ref_, orders->orders_, actions);
    act(actions);
}

void GateDuty::takeGrantFrame(EntryLink &entry, const Grant &grant)
{
    Millis sentAt;
    const auto renewal = entry.renewals_.find(grant.renewal_);
    if (renewal != entry.renewals_.end()) {
        sentAt = renewal->second;
        entry.renewals_.erase(entry.renewals_.begin(), std::next(renewal));
    }
    GateActions actions;
    const std::uint64_t before = gate_.version_;
    takeGrant(gate_, bootClock(), sentAt, grant, actions);
    if (gate_.version_ != before) {
        renew(entry);
    }
    act(actions);
}

void GateDuty::take(CallEnd &&end)
{
    finishCall(gate_, bootClock(), end.call_, end.outcome_, ended_);
}

void GateDuty::flush()
{
    GateActions actions;
    std::swap(actions, ended_);
    act(actions);
}

void GateDuty::leave()
{
    GateActions actions;
    ibiswall::leave(gate_, bootClock(), actions);
    for (EntryLink &entry : entries_) {
        entry.link_->send(encode(AgentDraining{}));
    }
    act(actions);
}

std::size_t GateDuty::running() const
{
    return gate_.running_.size();
}

std::string GateDuty::metrics() const
{
    prometheus::Registry registry;
    prometheus::BuildCounter()
        .Name("ibiswall_agent_calls_total")
        .Help("Calls started")
        .Register(registry)
        .Add({})
        .Increment(static_cast<double>(gate_.nextCall_ - 1));
    prometheus::BuildCounter()
        .Name("ibiswall_agent_repeats_total")
        .Help("Repeated orders dropped")
        .Register(registry)
        .Add({})
        .Increment(static_cast<double>(gate_.repeats_));
    prometheus::BuildGauge()
        .Name("ibiswall_agent_running")
        .Help("Calls in progress")
        .Register(registry)
        .Add({})
        .Set(static_cast<double>(gate_.running_.size()));
    prometheus::BuildGauge()
        .Name("ibiswall_agent_seen_tasks")
        .Help("Tasks remembered")
        .Register(registry)
        .Add({})
        .Set(static_cast<double>(gate_.seen_.tasks_.size()));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

void GateDuty::act(GateActions &actions)
{
    for (StartCall &call : actions.calls_) {
        start_(std::move(call));
    }
    for (EntryLink &entry : entries_) {
        TaskReports reports;
        for (const SendReport &send : actions.reports_) {
            if (send.link_ == entry.ref_) {
                reports.reports_.push_back(send.report_);
            }
        }
        if (!reports.reports_.empty()) {
            entry.link_->send(encode(reports));
        }
    }
}

} // namespace ibiswall
