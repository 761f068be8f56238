// The agent beside a target: carries out the leader's orders while it holds a lease, and reports the results to the leader.

#pragma once

#include "../../../platform/store.hpp"
#include "../../../platform/targetclient.hpp"
#include "entryregistry.hpp"
#include "frames.hpp"
#include "mesh.hpp"
#include "metrics.hpp"
#include "stopsignals.hpp"
#include <ibiswall/settings.hpp>

namespace ibiswall::node {

class AgentNode
{
public:
    AgentNode(boost::asio::io_context &io, const CellAgentSettings &settings);

    /// Starts listening and connecting.
    /// @return an error if an address cannot be bound
    Result<void> start();

    /// Applies a changed store address and grace period. Other changes need a restart.
    void apply(const CellAgentSettings &settings);

private:
    void handleAnnouncementRequest(const HttpRequest &request, const Respond &respond);
    void receive(const std::string &from, std::string_view bytes);
    void follow(const std::string &from, const LeadFrame &lead);
    void handleOrders(const OrdersFrame &frame);
    void ping();
    /// Makes the calls and sends the reports that the target supervisor has decided on.
    void flush();
    void followTargetIncarnation();
    void call(const cell::TargetCall &call);
    void readEntries();
    void connectToEntries();
    void delayLeaderLink();
    void connectToLeaderIfDue();
    void tick();
    void beginStop();

    boost::asio::io_context &io_;
    CellAgentSettings settings_;
    Peer self_;
    platform::StoreClient store_;
    platform::TargetClient target_;
    Mesh mesh_;
    cell::TargetSupervisor supervisor_;
    HttpServer announcements_;
    MetricsServer metrics_;
    boost::asio::steady_timer timer_;
    StopSignals signals_;
    /// Name of the leader whose orders are followed; empty before the first.
    std::string leader_;
    Millis lastPingAt_;
    /// Whether the latest ping has been answered with a lease.
    bool pingAnswered_ = false;
    Millis agentLeaseUntil_;
    /// Registered entries at the latest read.
    EntryRecords entries_;
    /// When to connect to the leader; 0 once that is done.
    Millis leaderLinkDueAt_;
    Millis entriesReadAt_;
    bool readingEntries_ = false;
    bool flushing_ = false;
    /// Incarnation and sequence number of the latest accepted announcement.
    std::int64_t lastIncarnation_ = 0;
    std::int64_t lastSequence_ = -1;
    /// Latest incarnation of the target that the supervisor has learned of, also from a reply.
    std::int64_t targetIncarnation_ = 0;
    std::optional<Millis> stoppingSince_;
};

} // namespace ibiswall::node
