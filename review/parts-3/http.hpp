// Blocking HTTP client and server for stand-ins: one thread for each connection.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

struct Request
{
    std::string method_;
    std::string path_;
    /// Decoded parameters of the query.
    std::map<std::string, std::string> query_;
    std::string body_;
    /// Value of the Expect-Instance header; empty if there is none.
    std::string expectedInstance_;
};

struct Reply
{
    int status_ = 200;
    std::string body_ = "{}";
};

/// Answers a request. Without a reply the connection stays open and carries nothing any more.
using Handler = std::function<std::optional<Reply>(const Request &)>;

/// Listens on a loopback address until the process ends.
class Server
{
public:
    Server(std::uint16_t port, Handler handler);

    /// The open connections carry nothing any more, in either direction, and are not reset. New ones work.
    void silenceOpenConnections();

    std::size_t openConnections() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

struct CallResult
{
    /// 0 if there was no answer.
    int status_ = 0;
    std::string body_;
};

struct Call
{
    std::string method_ = "GET";
    std::string target_;
    std::string body_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::int64_t timeoutMs_ = 5000;
};

/// Sends a request on a connection of its own and waits for the answer.
CallResult callLoopback(std::uint16_t port, const Call &call);

} // namespace review
