// An HTTP server on an event loop, with bounds on what peers may send.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <ibiswall/base.hpp>
#include <map>
#include <memory>

namespace ibiswall {

/// A request as the handler sees it.
struct HttpRequest
{
    std::string method_;
    /// Path without the query.
    std::string path_;
    /// Text after the question mark.
    std::string query_;
    /// Value of the Authorization header.
    std::string authorization_;
    /// Value of the Host header.
    std::string host_;
    std::string body_;
    /// Names in lower case and values of the headers that start with `x-`, and of HttpLimits::passedHeader_.
    std::map<std::string, std::string> extensions_;
    /// With HttpLimits::watchPeers_: the handler may set a function that is called if the peer closes the connection
    /// before the reply.
    std::shared_ptr<std::function<void()>> abandoned_;
};

/// A reply from the handler.
struct HttpReply
{
    int status_ = 200;
    std::string body_;
    std::string contentType_ = "application/json";
    /// Sent as Retry-After, rounded up to seconds, when above zero.
    Millis retryAfter_;
};

/// A reply with a JSON body.
HttpReply jsonReply(int status, std::string body);

/// Bounds on what peers may send and hold.
struct HttpLimits
{
    std::size_t maxBody_ = 8U << 20U;
    std::size_t maxHeader_ = 8192;
    std::size_t maxConnections_ = 1024;
    /// A peer that sends no complete request for this long is dropped.
    Millis idle_{30000};
    /// Name in lower case of one more header that the handler is to see; may be empty.
    std::string passedHeader_ = {};
    /// Whether to look for the peer's close while a request is handled.
    bool watchPeers_ = false;
};

/// Sends the reply to one request. May be called later, on the server's event loop.
using Respond = std::function<void(HttpReply)>;

/// Handles one request.
using HttpHandler = std::function<void(HttpRequest, Respond)>;

/// Accepts connections and passes requests to a handler.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, HttpLimits limits, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to listen. Port 0 takes a free one.
    /// @return the port
    Result<std::uint16_t> listen(const Address &address);

    /// Closes connections without a request, and every other one after the reply in progress.
    void closeIdle();

    /// Stops to accept connections; requests in flight are still answered.
    void stopAccepting();

    /// Requests that have begun to arrive and whose reply has not been written yet.
    std::size_t pending() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace ibiswall
