// Asynchronous HTTP client with a connection pool. The result of a call distinguishes whether the server may have
// received the request.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <ibiswall/base.hpp>
#include <limits>
#include <memory>
#include <vector>

namespace ibiswall {

/// A request to send.
struct PoolCall
{
    std::string method_ = "POST";
    /// Path including the query.
    std::string path_;
    /// Header names and values.
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    /// Time of bootClock() from which on the request is not sent.
    Millis startBy_ = Millis{std::numeric_limits<std::int64_t>::max()};
    /// Limit from the first byte sent to the end of the response. Connecting has a limit of its own: this value, or 2 s
    /// if that is less.
    Millis timeout_{60000};
};

/// Outcome of a call.
struct PoolResult
{
    /// Ok if a response was received; ConnectRefused or NoLease if nothing was sent; ConnectionLost or CallTimeout if the
    /// server may have received the request.
    Code code_ = Code::Ok;
    int status_ = 0;
    std::string body_;
    /// The connection was refused: nothing listens at the server's address.
    bool refused_ = false;
};

/// A pool of connections to one server.
class HttpPool
{
public:
    /// @param maxIdle maximum number of unused connections that are kept open
    HttpPool(boost::asio::io_context &io, Address server, std::size_t maxIdle);
    ~HttpPool();
    HttpPool(const HttpPool &) = delete;
    HttpPool &operator=(const HttpPool &) = delete;

    /// Sets the server for later calls and closes the idle connections.
    void setServer(Address server);

    /// Sends a request. The handler is called once: on the event loop, or within this call if nothing can be sent.
    void call(PoolCall call, std::function<void(PoolResult)> done);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace ibiswall
