// Links to the other entries: callers' requests relayed over them, and the words on which the configuration rests.

#pragma once

#include <functional>
#include <ibiswall/codec.hpp>
#include <ibiswall/net.hpp>
#include <ibiswall/settings.hpp>
#include <map>
#include <unordered_map>

namespace ibiswall {

/// What the owner of the links to other entries is told.
struct PeerEvents
{
    /// Sends the reply to a caller.
    std::function<void(CallerRef, HttpReply)> reply_;
    /// A peer answered a question.
    std::function<void(const std::string &, const PeerWord &)> word_;
    /// A peer handed changes on.
    std::function<void(const PeerChanges &)> changes_;
};

/// Relays requests to the home of a job, and asks the other entries for their version.
class Peers
{
public:
    /// @param self this process
    Peers(boost::asio::io_context &io, Incarnation self, const std::vector<PeerPlace> &places, PeerEvents events);

    /// Starts to connect.
    void start();

    /// This process.
    const Incarnation &self() const
    {
        return self_;
    }

    /// Other entries in the settings.
    std::size_t size() const
    {
        return peers_.size();
    }

    /// Asks every entry that can be reached for its version.
    /// @param version applied here
    void ask(std::uint64_t version);

    /// Asks one entry for its version.
    void ask(const std::string &name, std::uint64_t version);

    /// The names of the other entries.
    std::vector<std::string> names() const;

    /// Hands changes on to every entry that can be reached.
    void passToAll(const PeerChanges &changes);

    /// Hands changes on to one entry.
    void pass(const std::string &name, const PeerChanges &changes);

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
        /// When each question without an answer was sent.
        std::map<std::uint64_t, Millis> asked_;
    };

    void ask(Peer &peer, std::uint64_t version);
    void on(const std::string &name, Peer &peer, const PeerHello &hello);
    void on(const std::string &name, Peer &peer, const RelayReply &relayed);
    void on(const std::string &name, Peer &peer, const PeerStatusReply &answer);
    void on(const std::string &name, Peer &peer, const PeerChanges &changes);
    template<typename T>
    void on(const std::string &name, Peer &peer, const T &unexpected);

    void receive(const std::string &name, Peer &peer, std::string_view frame);
    void closed(Peer &peer);

    Incarnation self_;
    PeerEvents events_;
    /// By name.
    std::map<std::string, Peer> peers_;
    std::uint64_t nextRelay_ = 1;
    std::uint64_t nextQuestion_ = 1;
};

} // namespace ibiswall
