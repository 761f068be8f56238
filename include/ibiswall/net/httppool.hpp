// Calls to one HTTP server over kept connections, which tell exactly whether a request may have been received.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <ibiswall/base.hpp>
#include <limits>
#include <memory>
#include <vector>

namespace ibiswall {

/// One request.
struct PoolCall
{
    std::string method_ = "POST";
    /// Path with the query.
    std::string path_;
    /// Header names and values.
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    /// The first byte is not sent after this moment.
    Millis startBy_ = Millis{std::numeric_limits<std::int64_t>::max()};
    /// Time from the first byte to the end of the reply. Connecting takes at most as long, and 2 s.
    Millis timeout_{60000};
};

/// How a call ended.
struct PoolAnswer
{
    /// Ok with a reply; ConnectRefused or NoGrant when nothing was sent; ConnectionLost or CallTimeout otherwise.
    Code code_ = Code::Ok;
    int status_ = 0;
    std::string body_;
};

/// Keeps connections to one server.
class HttpPool
{
public:
    /// @param maxIdle most connections kept while unused
    HttpPool(boost::asio::io_context &io, Address server, std::size_t maxIdle);
    ~HttpPool();
    HttpPool(const HttpPool &) = delete;
    HttpPool &operator=(const HttpPool &) = delete;

    /// Makes later calls to another server.
    void setServer(Address server);

    /// Sends a request; the handler is called once, on the event loop.
    void call(PoolCall call, std::function<void(PoolAnswer)> done);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace ibiswall
