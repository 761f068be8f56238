// Named links between the processes of a cell: direct where there is a path, over one entry where there is none.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <ibiswall/net.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibiswall::node {

/// A process as it introduces itself on a link.
struct Peer
{
    std::string name_;
    /// New at each start of the process.
    std::int64_t incarnation_ = 0;
    bool isEntry_ = false;
    /// Changes whenever frames on the way to the peer may have been lost.
    std::uint64_t path_ = 0;
};

struct MeshEvents
{
    /// A peer can be reached, or can be reached anew after its process or the path to it was replaced.
    std::function<void(const Peer &)> up_;
    std::function<void(const std::string &name)> down_;
    std::function<void(const std::string &from, std::string_view frame)> received_;
};

struct MeshSettings
{
    Peer self_;
    /// Where to listen; port 0 for processes that only connect.
    Address listen_;
    /// A frame goes out on each link at least this often.
    Millis beat_{250};
    /// A link without a frame for this long is dropped.
    Millis silence_{1200};
};

/// Keeps links to peers. Between two entries, the one whose name comes first connects; agents connect to entries.
class Mesh
{
public:
    Mesh(boost::asio::io_context &io, MeshSettings settings, MeshEvents events);

    Result<std::uint16_t> listen();

    /// Sets the entries to keep links to, by name.
    void setEntries(const std::map<std::string, Address> &entries);

    /// Sends a frame over the direct link, else over an entry that has one.
    /// @return false when there is no path
    bool send(const std::string &name, std::string_view frame);

    /// Names that can be reached, directly or over an entry.
    std::vector<Peer> reachable() const;
    bool isReachable(const std::string &name) const;

    /// Closes the link to a peer, who is to introduce itself anew.
    void drop(const std::string &name);

    void stop();

private:
    struct Link
    {
        /// Set on links that this process opened.
        std::shared_ptr<LinkClient> client_;
        LinkId id_ = 0;
        Peer peer_;
        bool introduced_ = false;
        /// Numbers the links of this process.
        std::uint64_t serial_ = 0;
        Millis heardAt_;
        Millis sentAt_;
        /// Peers that this peer has direct links to.
        std::map<std::string, Peer> neighbours_;
    };

    using Key = std::pair<bool, std::uint64_t>;

    void opened(Key key, std::shared_ptr<LinkClient> client);
    void closed(Key key);
    void received(Key key, std::string_view frame);
    void introduce(Key key, Link &link, Peer peer);
    void relay(Link &link, std::string_view bytes);
    void sendOn(Link &link, std::string_view frame);
    void sendNeighbours();
    void refreshReachable();
    Link *direct(const std::string &name);
    void tick();

    boost::asio::io_context &io_;
    MeshSettings settings_;
    MeshEvents events_;
    LinkServer server_;
    boost::asio::steady_timer timer_;
    std::map<Key, Link> links_;
    /// Clients by entry name, with the address they connect to.
    std::map<std::string, std::pair<Address, std::shared_ptr<LinkClient>>> clients_;
    std::uint64_t nextClient_ = 1;
    std::uint64_t nextSerial_ = 1;
    /// What up_ was last called with, by name.
    std::map<std::string, Peer> known_;
};

} // namespace ibiswall::node
