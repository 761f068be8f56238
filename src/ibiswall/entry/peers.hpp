// Links to the other entries: relays callers' requests and exchanges status and configuration changes.

#pragma once

#include <functional>
#include <ibiswall/codec.hpp>
#include <ibiswall/net.hpp>
#include <ibiswall/settings.hpp>
#include <map>
#include <unordered_map>

namespace ibiswall {

/// Callbacks of Peers.
struct PeerEvents
{
    /// Sends the reply to a caller.
    std::function<void(CallerRef, HttpReply)> reply_;
    /// A peer replied to a status request.
    std::function<void(const std::string &, const PeerStatus &)> peerStatus_;
    /// A peer sent changes.
    std::function<void(const PeerChanges &)> changes_;
};

/// Relays requests to the entry that owns a job, and queries the other entries for their status.
class Peers
{
public:
    /// @param self this entry process
    /// @param peers may include this entry, which is skipped
    Peers(boost::asio::io_context &io, Incarnation self, const std::vector<PeerSettings> &peers, PeerEvents events);

    /// Starts to connect to every other entry.
    void start();

    /// The incarnation of this entry.
    const Incarnation &self() const
    {
        return self_;
    }

    /// Number of other entries in the settings.
    std::size_t size() const
    {
        return peers_.size();
    }

    /// Queries every reachable entry for its status.
    /// @param version configuration version applied here
    void queryStatus(std::uint64_t version);

    /// Queries one entry for its status, if it is reachable.
    void queryStatus(const std::string &name, std::uint64_t version);

    /// The names of the other entries.
    std::vector<std::string> names() const;

    /// Sends changes to every reachable entry.
    void broadcastChanges(const PeerChanges &changes);

    /// Sends changes to one entry, if it is reachable.
    void sendChanges(const std::string &name, const PeerChanges &changes);

    /// Closes every link; a stopped object cannot be started again.
    void stop();

    /// Relays a request to the owner of its job, or replies with an error when the owner is unreachable or has restarted.
    void relay(CallerRef caller, const Incarnation &owner, RelayRequest request);

private:
    struct Peer
    {
        std::unique_ptr<LinkClient> link_;
        bool open_ = false;
        /// The process at the other end; number 0 until its hello arrives.
        Incarnation remote_;
        /// Callers that wait for a reply, by relay number.
        std::map<std::uint64_t, CallerRef> pendingRelays_;
        /// When each unanswered query was sent, by its number.
        std::map<std::uint64_t, Millis> pendingQueries_;
    };

    void queryStatus(Peer &peer, std::uint64_t version);
    void onFrame(const std::string &name, Peer &peer, const PeerHello &hello);
    void onFrame(const std::string &name, Peer &peer, const RelayReply &relayed);
    void onFrame(const std::string &name, Peer &peer, const PeerStatusReply &answer);
    void onFrame(const std::string &name, Peer &peer, const PeerChanges &changes);
    template<typename T>
    void onFrame(const std::string &name, Peer &peer, const T &unexpected);

    void receive(const std::string &name, Peer &peer, std::string_view frame);
    void onLinkClosed(Peer &peer);

    Incarnation self_;
    PeerEvents events_;
    /// By name.
    std::map<std::string, Peer> peers_;
    std::uint64_t nextRelay_ = 1;
    std::uint64_t nextQuery_ = 1;
};

} // namespace ibiswall
