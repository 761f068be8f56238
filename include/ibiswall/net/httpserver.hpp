// Asynchronous HTTP server with limits on what clients may send.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <ibiswall/base.hpp>
#include <ibiswall/base/budget.hpp>
#include <map>
#include <memory>

namespace ibiswall {

/// A request as passed to the handler.
struct HttpRequest
{
    std::string method_;
    /// Path without the query.
    std::string path_;
    /// Query without the question mark.
    std::string query_;
    /// Value of the Authorization header.
    std::string authorization_;
    /// Value of the Host header.
    std::string host_;
    std::string body_;
    /// Headers whose name starts with `x-`, and HttpLimits::extraHeader_, by name in lower case.
    std::map<std::string, std::string> customHeaders_;
    /// Only with HttpLimits::detectPeerClose_: the handler may store a function here that is called if the client closes
    /// the connection before the reply.
    std::shared_ptr<std::function<void()>> onPeerClosed_;
};

/// A reply from the handler.
struct HttpReply
{
    int status_ = 200;
    std::string body_;
    std::string contentType_ = "application/json";
    /// Sent as the Retry-After header, rounded up to seconds; 0 for none.
    Millis retryAfter_;
};

/// Returns a reply with a JSON body.
HttpReply jsonReply(int status, std::string body);

/// Limits on what clients may send and occupy.
struct HttpLimits
{
    std::size_t maxBody_ = 8U << 20U;
    std::size_t maxHeader_ = 8192;
    /// When it is reached, the connection that has waited longest without a complete request is closed in favour of a new one.
    std::size_t maxConnections_ = 1024;
    /// Limit for receiving a complete request, and for writing a reply; the connection is closed afterwards. A request whose
    /// header is complete is answered with 408 before.
    Millis idleTimeout_{30000};
    /// Name in lower case of one more header that is passed to the handler; may be empty.
    std::string extraHeader_ = {};
    /// Whether to detect that a client closes the connection while its request is being handled.
    bool detectPeerClose_ = false;
    /// Receives the reason when the handler fails with an exception; may be empty. The request is answered with HandlerFailed.
    std::function<void(std::string_view)> onHandlerFailure_ = {};
    /// Receives the reason when the server refuses a request or closes a connection itself; may be empty.
    std::function<void(std::string_view)> onClosed_ = {};
    /// Limits the bytes of buffers, bodies and replies; may be null. When it is exhausted, the largest incomplete request is
    /// closed in favour of smaller ones.
    std::shared_ptr<Budget> budget_ = {};
};

/// Sends the reply to one request. May be called after the handler has returned, on the server's event loop.
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

    /// Starts listening. Port 0 selects a free port.
    /// @return the port, or CannotListen
    Result<std::uint16_t> listen(const Address &address);

    /// Closes idle connections now and every other connection after its current reply.
    void closeIdle();

    /// Stops accepting connections. Requests in flight are still answered.
    void stopAccepting();

    /// Number of requests that have started to arrive and whose reply is not yet written.
    std::size_t pending() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace ibiswall
