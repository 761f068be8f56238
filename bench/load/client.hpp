// HTTP client for load generation: one keep-alive connection with one request in flight at a time.

#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <ibiswall/base.hpp>
#include <memory>

namespace ibiswall::bench {

/// One HTTP request.
struct ClientRequest
{
    std::string method_;
    std::string path_;
    std::string body_;
};

/// One HTTP response.
struct ClientReply
{
    /// HTTP status; 0 for the call before the first request and when the connection failed.
    int status_ = 0;
    std::string body_;
    /// From the start of writing the request to the end of reading the response.
    std::chrono::nanoseconds duration_{0};
};

/// Sends requests one after the other over a keep-alive connection. Does not reconnect after an error.
class Client
{
public:
    /// @param nextRequest receives the reply to the previous request, fills in the next one, and returns false to stop
    Client(boost::asio::io_context &io,
           const Address &server,
           std::string authorization,
           std::function<bool(const ClientReply &, ClientRequest &)> nextRequest);
    ~Client();
    Client(Client &&) noexcept;
    Client &operator=(Client &&) = delete;
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Connects, then calls nextRequest with an empty reply.
    void start();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace ibiswall::bench
