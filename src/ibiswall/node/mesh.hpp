// Named links between the processes of a cell: direct if possible, otherwise relayed by one entry.
//
// Entries link to one another and announce their links to other entries, first as a list and then as changes, so the traffic
// for one changed link is linear in the number of entries. Agents link to a few entries and receive no announcements: they
// answer over the link on which a peer's relayed frames arrive.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <ibiswall/net.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibiswall::node {

/// A process of the cell as it identifies itself on a link.
struct Peer
{
    std::string name_;
    /// Differs for each start of the process.
    std::int64_t incarnation_ = 0;
    bool isEntry_ = false;
    /// Identifies the path to the peer. Changes whenever frames in transit to the peer may have been lost.
    std::uint64_t path_ = 0;
};

struct MeshEvents
{
    /// A peer has become reachable, or its process or the path to it has been replaced.
    std::function<void(const Peer &)> up_;
    std::function<void(const std::string &name)> down_;
    std::function<void(const std::string &from, std::string_view frame)> received_;
};

struct MeshSettings
{
    Peer self_;
    /// Address to listen on; port 0 for processes that only connect.
    Address listen_;
    /// A frame is sent on each link at least this often.
    Millis heartbeatInterval_{300};
    /// A link that has received nothing for this long is avoided if there is another path, so that a connection that has gone
    /// silent, or a lost relay, does not cut off its peers until it times out. Longer than heartbeatInterval_ and the interval
    /// of the checks for it.
    Millis silentLinkAge_{450};
    /// Changes of links are collected for this long before they are announced.
    Millis announceDelay_{20};
    /// A link is dropped after this time without a received frame.
    Millis linkTimeout_{1200};
    /// An entry connects to one that should have connected to it, but has not for this long. Longer than a reconnection.
    Millis missedEntryDelay_{500};
    /// A link on which the peer has not identified itself is closed after this time. Peers send the identification first, so this
    /// allows for a slow connection and a process that has just started.
    Millis identificationTimeout_{5000};
    /// Descriptors that the process may open; 0 for the limit that the system sets. At most half of them are links.
    std::size_t maxDescriptors_ = 0;
    /// Memory for incomplete and unsent frames of all links; null for no limit.
    std::shared_ptr<Budget> buffers_ = {};
    /// Peers that one entry may announce, and peers known in total. The largest cells have 20,000 targets.
    std::size_t maxNeighbours_ = 20480;
    std::size_t maxPeers_ = 32768;
};

/// Maintains links to peers. Of two entries the one whose name sorts first connects, and the other if that one does not; agents
/// connect to entries.
class Mesh
{
public:
    Mesh(boost::asio::io_context &io, MeshSettings settings, MeshEvents events);

    Result<std::uint16_t> listen();

    /// Sets the entries to maintain links to, by name.
    void setEntries(const std::map<std::string, Address> &entries);

    /// Sends a frame over the direct link, or through an entry if there is none or it has gone silent.
    /// @return false if there is no path
    bool send(const std::string &name, std::string_view frame);

    /// Unsent bytes of the link that send() would use; 0 if there is no path. A link with too many is closed.
    std::size_t unsentBytes(const std::string &name) const;

    /// Peers that are reachable, directly or through an entry.
    std::vector<Peer> reachable() const;
    bool isReachable(const std::string &name) const;

    /// Closes the link to a peer, which has to reconnect and identify itself again.
    void drop(const std::string &name);

    void stop();

private:
    using Key = std::pair<bool, std::uint64_t>;

    struct Link
    {
        /// Set on links that this process opened.
        std::shared_ptr<LinkClient> client_;
        LinkId id_ = 0;
        Peer peer_;
        bool identified_ = false;
        /// Number of the link, unique in this process.
        std::uint64_t serial_ = 0;
        Millis lastContactAt_;
        Millis sentAt_;
        /// Names of the peers to which this peer has announced direct links.
        std::set<std::string> neighbours_;
    };

    /// All known paths to one peer.
    struct Paths
    {
        /// Link to the peer itself, if there is one.
        std::optional<Key> direct_;
        /// Links to entries that have announced a link to the peer, with the peer as they announced it.
        std::map<Key, Peer> relays_;
        /// Link over which a relayed frame of the peer has arrived last. At an entry one of relays_; at an agent it may be closed.
        std::optional<Key> arrivedOn_;
        /// Links to other peers over which frames to this peer have been sent. Frames may be lost with each of them.
        std::set<Key> sentOn_;
        /// The path reported through up_, and the link that it begins with.
        std::optional<Peer> reported_;
        Key reportedLink_;
    };

    void onLinkOpened(Key key, std::shared_ptr<LinkClient> client);
    void onLinkClosed(Key key);
    void onFrame(Key key, std::string_view frame);
    void onIdentification(Key key, Peer peer);
    void onNeighbours(Key key, std::string_view bytes);
    void onNeighbourChanges(Key key, std::string_view bytes);
    void addRelay(Key key, Peer peer);
    void removeRelay(Key key, const std::string &name);
    void removeLink(Key key);
    void relay(Key key, std::string_view bytes);
    void sendOn(Link &link, std::string_view frame);
    void announceLink(const std::string &name);
    void flushAnnouncements();
    void refresh(const std::string &name);
    bool connectsTo(const std::string &entry) const;
    bool isMissed(const std::string &entry);
    Link *directLink(const std::string &name);
    bool isFresh(Key key) const;
    std::optional<Key> relayTo(const Paths &paths) const;
    std::optional<Key> linkTo(const Paths &paths) const;
    void reportLostFrames(Key key, const std::string &name);
    void recordRefusedLink(std::string_view reason);
    void tick();

    boost::asio::io_context &io_;
    MeshSettings settings_;
    MeshEvents events_;
    LinkServer server_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer announceTimer_;
    std::map<Key, Link> links_;
    /// Paths by peer name. Holds each peer with an identified link, an announced one, or a relayed frame received.
    std::map<std::string, Paths> paths_;
    /// Clients by entry name, with the address they connect to.
    std::map<std::string, std::pair<Address, std::shared_ptr<LinkClient>>> clients_;
    /// Since when entries that should have connected have had no direct link.
    std::map<std::string, Millis> missedSince_;
    std::uint64_t nextClient_ = 1;
    std::uint64_t nextSerial_ = 1;
    std::uint64_t refusedLinks_ = 0;
    /// When the latest refused link was logged; 0 for never.
    Millis refusalLoggedAt_;
    /// The same for links closed because of a malformed frame.
    Millis malformedLoggedAt_;
    /// Peers whose direct link has changed since the last announcement.
    std::set<std::string> unannounced_;
};

} // namespace ibiswall::node
