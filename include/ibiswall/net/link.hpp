// Links between the system's own processes: whole frames over websockets.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <ibiswall/base.hpp>
#include <memory>

namespace ibiswall {

/// Names a link within one process. Never used again after the link closes.
using LinkId = std::uint64_t;

/// What the owner of links is told, always on the event loop.
struct LinkEvents
{
    std::function<void(LinkId)> opened_;
    std::function<void(LinkId)> closed_;
    std::function<void(LinkId, std::string_view)> received_;
    /// Why a server turned a peer away; may be empty.
    std::function<void(std::string_view)> refused_;
};

/// Bounds on a link.
struct LinkLimits
{
    /// A larger frame closes the link.
    std::size_t maxFrame_ = 16U << 20U;
    /// A link with more than this waiting to be sent is closed.
    std::size_t maxBuffered_ = 64U << 20U;
    /// Connections that are still opening count as well.
    std::size_t maxLinks_ = 4096;
    /// A link that has sent no frame this long after it connected is closed.
    Millis firstFrame_{5000};
    /// Longest pause of a client between two attempts to connect.
    Millis maxPause_{2000};
};

/// Accepts links.
class LinkServer
{
public:
    LinkServer(boost::asio::io_context &io, LinkLimits limits, LinkEvents events);
    ~LinkServer();
    LinkServer(const LinkServer &) = delete;
    LinkServer &operator=(const LinkServer &) = delete;

    /// Starts to listen. Port 0 takes a free one.
    /// @return the port
    Result<std::uint16_t> listen(const Address &address);

    /// Sends a frame.
    /// @return false when the link is closed or closes now
    bool send(LinkId link, std::string_view frame);

    /// Closes a link; closed_ is called afterwards.
    void close(LinkId link);

    /// Drops a link without a word to the peer, who may be silent; closed_ is called afterwards.
    void drop(LinkId link);

    /// Stops to accept and closes every link.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// Keeps one link to a server, and opens it anew whenever it closes.
class LinkClient
{
public:
    /// The ids passed to events are new for each opening.
    LinkClient(boost::asio::io_context &io, Address server, LinkLimits limits, LinkEvents events);
    ~LinkClient();
    LinkClient(const LinkClient &) = delete;
    LinkClient &operator=(const LinkClient &) = delete;

    /// Starts to connect.
    void start();

    /// Sends a frame.
    /// @return false when the link is closed
    bool send(std::string_view frame);

    /// Closes the link; it is opened anew after a pause.
    void close();

    /// Drops the link without a word to the peer, who may be silent; it is opened anew after a pause.
    void drop();

    /// Closes the link for good.
    void stop();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace ibiswall
