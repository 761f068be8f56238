// The duty that decides on an agent: owns the gate and the links to entries.

#pragma once

#include "messages.hpp"

#include <boost/asio/steady_timer.hpp>
#include <ibiswall/codec.hpp>
#include <ibiswall/net.hpp>
#include <ibiswall/settings.hpp>
#include <unordered_map>

namespace ibiswall {

/// Runs the gate on its own event loop.
class SchedulerLoop
{
public:
    /// @param start asks the calls duty to call the target
    SchedulerLoop(boost::asio::io_context &io, const AgentSettings &settings, std::function<void(StartCall)> start);

    /// Starts to connect to the entries.
    void start();

    /// Closes every link.
    void stop();

    /// Takes the end of a call in. What follows from it is carried out by flush().
    void take(CallEnd &&end);

    /// Carries out what the ends taken in ask for; reports for one entry share a frame.
    void flush();

    /// Announces that the target leaves; no further task starts.
    void leave();

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
        std::map<std::uint64_t, Millis> renewals_;
    };

    void opened(EntryLink &entry);
    void closed(EntryLink &entry);
    void receive(EntryLink &entry, std::string_view frame);
    void takeGrantFrame(EntryLink &entry, const Grant &grant);
    void renew(EntryLink &entry);
    void scheduleTick();
    void act(GateActions &actions);

    Gate gate_;
    /// What the ends taken in since the last flush() ask for.
    GateActions ended_;
    AgentInfo info_;
    std::function<void(StartCall)> start_;
    boost::asio::steady_timer timer_;
    std::vector<EntryLink> entries_;
    LinkRef nextRef_ = 1;
    std::uint64_t nextRenewal_ = 1;
    Millis renewedAt_;
};

} // namespace ibiswall
