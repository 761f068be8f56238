// Event loop of the agent scheduler: owns the links to the entries.

#pragma once

#include "messages.hpp"

#include <boost/asio/steady_timer.hpp>
#include <ibiswall/codec.hpp>
#include <ibiswall/net.hpp>
#include <ibiswall/settings.hpp>
#include <unordered_map>

namespace ibiswall {

/// Runs the agent scheduler on its own event loop.
class SchedulerLoop
{
public:
    /// @param start sends a call to the calls loop
    SchedulerLoop(boost::asio::io_context &io, const AgentSettings &settings, std::function<void(StartCall)> start);

    /// Starts to connect to the entries.
    void start();

    /// Closes every link.
    void stop();

    /// Handles the result of a call. flush() executes the actions that follow from it.
    void handle(CallResult &&result);

    /// Executes the pending actions; all reports for one entry go in one frame.
    void flush();

    /// Begins the shutdown: notifies the entries and starts no further task.
    void drain();

    /// Calls in progress.
    std::size_t running() const;

    /// Writes the agent's metrics.
    std::string metrics() const;

private:
    struct EntryLink
    {
        std::unique_ptr<LinkClient> link_;
        /// Reference of the current opening; 0 while closed.
        LinkRef ref_ = 0;
        /// When each unanswered renewal was sent, by its number.
        std::map<std::uint64_t, Millis> pendingRenewals_;
    };

    void onLinkOpened(EntryLink &entry);
    void onLinkClosed(EntryLink &entry);
    void receive(EntryLink &entry, std::string_view frame);
    void onLeaseGrant(EntryLink &entry, const LeaseGrant &lease);
    void sendRenewal(EntryLink &entry);
    void scheduleTick();
    void execute(AgentSchedulerActions &actions);

    AgentScheduler scheduler_;
    /// Actions that follow from the results handled since the last flush().
    AgentSchedulerActions pendingActions_;
    AgentInfo info_;
    std::function<void(StartCall)> startCall_;
    boost::asio::steady_timer timer_;
    std::vector<EntryLink> entries_;
    LinkRef nextLinkRef_ = 1;
    std::uint64_t nextRenewal_ = 1;
    Millis lastRenewalAt_;
};

} // namespace ibiswall
