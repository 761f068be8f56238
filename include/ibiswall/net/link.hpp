// Links between the processes of the system: message frames over WebSocket connections.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <ibiswall/base.hpp>
#include <ibiswall/base/budget.hpp>
#include <memory>

namespace ibiswall {

/// Identifies a link within one process. An id is not reused after the link closes.
using LinkId = std::uint64_t;

/// Callbacks to the owner of the links, always on the event loop.
struct LinkEvents
{
    std::function<void(LinkId)> opened_;
    std::function<void(LinkId)> closed_;
    std::function<void(LinkId, std::string_view)> received_;
    /// Receives the reason when a server refuses a connection or closes a link that is not identified; may be empty. The number of
    /// reasons is limited.
    std::function<void(std::string_view)> refused_;
};

/// Limits and timeouts of links.
struct LinkLimits
{
    /// A larger frame closes the link.
    std::size_t maxFrameBytes_ = 16U << 20U;
    /// The same for a link of a server before LinkServer::identify. Identification frames of both protocols have names of at most 64
    /// characters and a few numbers.
    std::size_t maxUnidentifiedFrameBytes_ = 4096;
    /// A link whose send buffer exceeds this is closed.
    std::size_t maxBufferedBytes_ = 64U << 20U;
    /// Bytes of incomplete and of unsent frames, of all links that share the budget; may be null. When it is exceeded, a server closes
    /// the link that holds most.
    std::shared_ptr<Budget> buffers_ = {};
    /// Maximum number of identified links of a server.
    std::size_t maxLinks_ = 4096;
    /// Maximum number of connections of a server that are not identified links. The oldest one is closed in favour of a new one: a peer
    /// identifies itself within two round trips, so it is not displaced unless as many other peers connect within that time.
    std::size_t maxUnidentified_ = 64;
    /// A server closes a connection whose handshake takes longer, and a link that is not identified within this time after it.
    Millis identificationTimeout_{5000};
    /// Upper limit of the base delay between two connection attempts of a client, before jitter.
    Millis maxReconnectDelay_{2000};
};

/// The accepting side of links.
class LinkServer
{
public:
    LinkServer(boost::asio::io_context &io, const LinkLimits &limits, LinkEvents events);
    ~LinkServer();
    LinkServer(const LinkServer &) = delete;
    LinkServer &operator=(const LinkServer &) = delete;

    /// Starts listening. Port 0 selects a free port.
    /// @return the port, or CannotListen
    Result<std::uint16_t> listen(const Address &address);

    /// Sends a frame.
    /// @return false if the link is closed, or is closed now because its send buffer is full
    bool send(LinkId link, std::string_view frame);

    /// Bytes that were passed to send() and are not written to the socket yet.
    std::size_t unsentBytes(LinkId link) const;

    /// Accepts the identification of a peer: larger frames and an unlimited time are allowed from now on.
    /// @return false if the link is closed, or is closed now because there are LinkLimits::maxLinks_ identified ones
    bool identify(LinkId link);

    /// Closes a link with a closing handshake; closed_ is called afterwards.
    void close(LinkId link);

    /// Closes a link without a closing handshake, for a peer that may be unresponsive; closed_ is called afterwards.
    void drop(LinkId link);

    /// Stops accepting and closes every link.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// The connecting side of a link. Reconnects whenever the link closes.
class LinkClient
{
public:
    /// Each connection that is opened has a new id.
    LinkClient(boost::asio::io_context &io, Address server, const LinkLimits &limits, LinkEvents events);
    ~LinkClient();
    LinkClient(const LinkClient &) = delete;
    LinkClient &operator=(const LinkClient &) = delete;

    /// Starts connecting.
    void start();

    /// Sends a frame.
    /// @return false if the link is closed, or is closed now because its send buffer is full
    bool send(std::string_view frame);

    /// Bytes that were passed to send() and are not written to the socket yet.
    std::size_t unsentBytes() const;

    /// Closes the link with a closing handshake and reconnects after a delay.
    void close();

    /// Closes the link without a closing handshake, for a peer that may be unresponsive, and reconnects after a delay.
    void drop();

    /// Closes the link permanently.
    void stop();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace ibiswall
