// The agent beside a target: passes on orders while it holds the right to, and tells the leader what became of them.

#pragma once

#include "../../../platform/store.hpp"
#include "../../../platform/targetclient.hpp"
#include "frames.hpp"
#include "mesh.hpp"
#include "metrics.hpp"
#include <boost/asio/signal_set.hpp>
#include <ibiswall/settings.hpp>

namespace ibiswall::node {

class AgentNode
{
public:
    AgentNode(boost::asio::io_context &io, const CellAgentSettings &settings);

    /// Starts to listen and to connect.
    Result<void> start();

    /// Takes over changed settings, but for the addresses that it listens on.
    void apply(const CellAgentSettings &settings);

private:
    void serve(const HttpRequest &request, const Respond &respond);
    void receive(const std::string &from, std::string_view bytes);
    void follow(const std::string &from, const LeadFrame &lead);
    void obey(const OrdersFrame &frame);
    void ping();
    /// Makes the calls and sends the reports that the attendant has decided on.
    void act();
    void call(const cell::TargetCall &call);
    void readEntries();
    void tick();
    void stop();

    boost::asio::io_context &io_;
    CellAgentSettings settings_;
    Peer self_;
    platform::StoreClient store_;
    platform::TargetClient target_;
    Mesh mesh_;
    cell::TargetSupervisor attendant_;
    HttpServer announcements_;
    MetricsServer metrics_;
    boost::asio::steady_timer timer_;
    boost::asio::signal_set signals_;
    /// Entry whose orders are followed; empty before the first.
    std::string leader_;
    Millis pingedAt_;
    Millis rightUntil_;
    Millis entriesReadAt_;
    bool readingEntries_ = false;
    bool acting_ = false;
    /// The latest announcement taken: life and sequence.
    std::int64_t bornHeard_ = 0;
    std::int64_t sequenceHeard_ = -1;
    std::optional<Millis> stoppingSince_;
};

} // namespace ibiswall::node
