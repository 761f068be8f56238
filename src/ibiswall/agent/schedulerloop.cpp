// Passes frames, call results and timer ticks to the agent scheduler and executes the actions it returns.

#include "schedulerloop.hpp"

#include <algorithm>
#include <ibiswall/log.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ibiswall {

namespace {

constexpr std::string_view component = "agent.gate";
constexpr std::chrono::milliseconds tickInterval(50);
constexpr Millis renewInterval{500};
// A lease granted for an older renewal would have expired, so the oldest renewals are dropped.
constexpr std::size_t maxPendingRenewals = 16;

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

SchedulerLoop::SchedulerLoop(boost::asio::io_context &io, const AgentSettings &settings, std::function<void(StartCall)> start)
    : info_(makeInfo(settings))
    , startCall_(std::move(start))
    , timer_(io)
    , entries_(settings.entryAddresses_.size())
{
    scheduler_.slots_ = settings.slots_;
    scheduler_.maxWaiting_ = static_cast<std::size_t>(settings.slots_) * settings.entryAddresses_.size();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        EntryLink &entry = entries_[i];
        LinkEvents events;
        events.opened_ = [this, &entry](LinkId /*link*/) {
            onLinkOpened(entry);
        };
        events.closed_ = [this, &entry](LinkId /*link*/) {
            onLinkClosed(entry);
        };
        events.received_ = [this, &entry](LinkId /*link*/, std::string_view frame) {
            receive(entry, frame);
        };
        entry.link_ = std::make_unique<LinkClient>(io, settings.entryAddresses_[i], LinkLimits{}, std::move(events));
    }
}

void SchedulerLoop::start()
{
    for (EntryLink &entry : entries_) {
        entry.link_->start();
    }
    scheduleTick();
}

void SchedulerLoop::stop()
{
    timer_.cancel();
    for (EntryLink &entry : entries_) {
        entry.link_->stop();
    }
}

void SchedulerLoop::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        const Millis now = bootClock();
        if (now >= lastRenewalAt_ + renewInterval) {
            lastRenewalAt_ = now;
            for (EntryLink &entry : entries_) {
                sendRenewal(entry);
            }
        }
        AgentSchedulerActions actions;
        tick(scheduler_, now, actions);
        execute(actions);
        scheduleTick();
    });
}

void SchedulerLoop::onLinkOpened(EntryLink &entry)
{
    entry.ref_ = nextLinkRef_++;
    entry.link_->send(encode(AgentHello{protocolVersion, info_}));
    if (scheduler_.leaving_) {
        entry.link_->send(encode(AgentDraining{}));
    }
    sendRenewal(entry);
    log(LogLevel::Info, component, "link to an entry opened");
}

void SchedulerLoop::onLinkClosed(EntryLink &entry)
{
    closeLink(scheduler_, entry.ref_);
    entry.ref_ = 0;
    entry.pendingRenewals_.clear();
    log(LogLevel::Info, component, "link to an entry closed");
}

void SchedulerLoop::sendRenewal(EntryLink &entry)
{
    if (entry.ref_ == 0) {
        return;
    }
    const std::uint64_t number = nextRenewal_++;
    entry.pendingRenewals_[number] = bootClock();
    if (entry.pendingRenewals_.size() > maxPendingRenewals) {
        entry.pendingRenewals_.erase(entry.pendingRenewals_.begin());
    }
    entry.link_->send(encode(LeaseRenewal{number, scheduler_.version_}));
}

void SchedulerLoop::receive(EntryLink &entry, std::string_view frame)
{
    const auto message = decode(frame);
    if (message.has_error()) {
        log(LogLevel::Warning, component, message.error().text_);
        entry.link_->close();
        return;
    }
    if (const auto *lease = std::get_if<LeaseGrant>(&message.value())) {
        onLeaseGrant(entry, *lease);
        return;
    }
    const auto *orders = std::get_if<Orders>(&message.value());
    if (orders == nullptr) {
        log(LogLevel::Warning, component, "unexpected message");
        entry.link_->close();
        return;
    }
    AgentSchedulerActions actions;
    admitOrders(scheduler_, bootClock(), entry.ref_, orders->orders_, actions);
    execute(actions);
}

void SchedulerLoop::onLeaseGrant(EntryLink &entry, const LeaseGrant &lease)
{
    Millis sentAt;
    const auto renewal = entry.pendingRenewals_.find(lease.renewal_);
    if (renewal != entry.pendingRenewals_.end()) {
        sentAt = renewal->second;
        entry.pendingRenewals_.erase(entry.pendingRenewals_.begin(), std::next(renewal));
    }
    AgentSchedulerActions actions;
    const std::uint64_t before = scheduler_.version_;
    applyLease(scheduler_, bootClock(), sentAt, lease, actions);
    if (scheduler_.version_ != before) {
        sendRenewal(entry);
    }
    execute(actions);
}

void SchedulerLoop::handle(CallResult &&result)
{
    finishCall(scheduler_, bootClock(), result.call_, result.outcome_, pendingActions_);
}

void SchedulerLoop::flush()
{
    AgentSchedulerActions actions;
    std::swap(actions, pendingActions_);
    execute(actions);
}

void SchedulerLoop::drain()
{
    AgentSchedulerActions actions;
    ibiswall::leave(scheduler_, bootClock(), actions);
    for (EntryLink &entry : entries_) {
        entry.link_->send(encode(AgentDraining{}));
    }
    execute(actions);
}

std::size_t SchedulerLoop::running() const
{
    return scheduler_.running_.size();
}

std::string SchedulerLoop::metrics() const
{
    prometheus::Registry registry;
    prometheus::BuildCounter()
        .Name("ibiswall_agent_calls_total")
        .Help("Calls started")
        .Register(registry)
        .Add({})
        .Increment(static_cast<double>(scheduler_.nextCall_ - 1));
    prometheus::BuildCounter()
        .Name("ibiswall_agent_repeats_total")
        .Help("Repeated orders dropped")
        .Register(registry)
        .Add({})
        .Increment(static_cast<double>(scheduler_.repeats_));
    prometheus::BuildGauge()
        .Name("ibiswall_agent_running")
        .Help("Calls in progress")
        .Register(registry)
        .Add({})
        .Set(static_cast<double>(scheduler_.running_.size()));
    prometheus::BuildGauge()
        .Name("ibiswall_agent_seen_tasks")
        .Help("Tasks remembered")
        .Register(registry)
        .Add({})
        .Set(static_cast<double>(scheduler_.dedup_.tasks_.size()));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

void SchedulerLoop::execute(AgentSchedulerActions &actions)
{
    for (StartCall &call : actions.calls_) {
        startCall_(std::move(call));
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
