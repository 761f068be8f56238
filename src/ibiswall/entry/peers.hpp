// Links to the other entries, and the callers' requests relayed over them.

#pragma once

#include <functional>
#include <ibiswall/codec.hpp>
#include <ibiswall/net.hpp>
#include <ibiswall/settings.hpp>
#include <map>
#include <unordered_map>

namespace ibiswall {

/// Relays requests to the home of a job.
class Peers
{
public:
    /// @param self this process
    /// @param reply sends the reply to a caller
    Peers(boost::asio::io_context &io,
          Incarnation self,
          const std::vector<PeerPlace> &places,
          std::function<void(CallerRef, HttpReply)> reply);

    /// Starts to connect.
    void start();

    /// This process.
    const Incarnation &self() const
    {
        return self_;
    }

    /// Stops for good.
    void stop();

    /// Passes a request on to its home, or replies why that cannot be done.
    void relay(CallerRef caller, const Incarnation &home, RelayRequest request);

private:
    struct Peer
    {
        std::unique_ptr<LinkClient> link_;
        bool open_ = false;
        /// The process at the other end; number 0 until it has said.
        Incarnation remote_;
        /// Callers by the relay numbers that wait for a reply.
        std::map<std::uint64_t, CallerRef> waiting_;
    };

    void receive(Peer &peer, std::string_view frame);
    void closed(Peer &peer);

    Incarnation self_;
    std::function<void(CallerRef, HttpReply)> reply_;
    /// By name.
    std::map<std::string, Peer> peers_;
    std::uint64_t nextRelay_ = 1;
};

} // namespace ibiswall
