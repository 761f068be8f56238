// A caller that keeps one connection to an HTTP server and always has one request in progress.

#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <ibiswall/base.hpp>
#include <memory>

namespace ibiswall::bench {

/// One request of a client.
struct ClientRequest
{
    std::string method_;
    std::string path_;
    std::string body_;
};

/// One reply to a client.
struct ClientReply
{
    /// 0 when the connection failed.
    int status_ = 0;
    std::string body_;
    std::chrono::nanoseconds took_{0};
};

/// Sends requests one after the other over a kept connection.
class Client
{
public:
    /// @param next makes the next request, or returns none to stop; is given the reply to the one before
    Client(boost::asio::io_context &io,
           const Address &server,
           std::string authorization,
           std::function<bool(const ClientReply &, ClientRequest &)> next);
    ~Client();
    Client(Client &&) noexcept;
    Client &operator=(Client &&) = delete;
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Connects and asks for the first request with an empty reply.
    void start();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace ibiswall::bench
