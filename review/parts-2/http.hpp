// A small blocking HTTP/1.1 server and client on loopback, for the stand-ins of the review.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace review {

struct Request
{
    std::string method_;
    std::string path_;
    /// Decoded query parameters.
    std::map<std::string, std::string> query_;
    /// Names in lower case.
    std::map<std::string, std::string> headers_;
    std::string body_;
};

struct Reply
{
    /// 0 if there was no answer.
    int status_ = 0;
    std::string body_;
};

/// Returns nothing if the request is never answered; its connection stays open.
using Handler = std::function<std::optional<Reply>(const Request &)>;

/// Milliseconds of the steady clock.
std::int64_t nowMillis();

/// Binds a free port of 127.0.0.1 between 10000 and 30000 that no other call returns.
/// @return the listening socket
int listenOnFreePort(std::uint16_t &port);

/// Reserves a free port for a child process that listens with SO_REUSEADDR.
std::uint16_t reservePort();

/// Opens a connection, or returns -1.
int connectTo(std::uint16_t port);

/// Serves requests on a free port until the process ends, with a thread for each connection.
/// @return the port
std::uint16_t serve(Handler handler);

/// Serves requests on a port reserved before.
void serveOn(int listener, Handler handler);

/// A server that can stop listening and listen again on its port, as a process that crashes and is started again.
class Server
{
public:
    explicit Server(Handler handler);

    std::uint16_t port() const;
    /// Stops listening and breaks off all connections.
    void close();
    void open();

private:
    void accept(int listener);

    Handler handler_;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    int listener_ = -1;
    std::set<int> connections_;
};

/// Sends one request on a connection of its own.
Reply call(std::uint16_t port,
           const std::string &method,
           const std::string &path,
           const std::string &body,
           const std::map<std::string, std::string> &headers,
           std::int64_t timeoutMillis);

std::string toBase64(const std::string &bytes);
std::string fromBase64(const std::string &text);

} // namespace review
