// One connection of the HTTP server, and the state that the connections share.

#pragma once

#include "httprequest.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <set>
#include <tuple>

namespace ibiswall {

class HttpSession;

/// Why a connection waits for its client. Those of the first kinds are closed first when others need the room.
enum class HttpWait : std::uint8_t {
    /// A request was refused; input is discarded until the client closes.
    Refused,
    /// No request has been complete so far.
    NeverCompleted,
    /// At least one request has been complete.
    Next,
    /// A reply is being written.
    Writing,
};

/// The connections of one server. Not thread-safe.
struct HttpSessions : std::enable_shared_from_this<HttpSessions>
{
    HttpSessions(boost::asio::io_context &io, HttpLimits limits, HttpHandler handler);

    /// Takes over an accepted connection.
    void add(boost::asio::ip::tcp::socket socket);

    void startWaiting(HttpSession &session, HttpWait wait);
    void stopWaiting(HttpSession &session);

    /// Closes the connection that has waited longest, of the first kind that there is.
    /// @return whether there was one
    bool closeLongestWaiting();

    /// Closes the incomplete request that holds the most bytes, if that is more than the given number.
    bool closeLargest(std::size_t moreThan, const HttpSession &except);

    void report(std::string_view reason) const;

    HttpLimits limits_;
    HttpHandler handler_;
    /// All open connections; each unregisters itself.
    std::set<HttpSession *> sessions_;
    /// If set, connections close after their current reply.
    bool stopping_ = false;

private:
    void scheduleSweep();
    void sweep();

    using WaitKey = std::tuple<HttpWait, std::uint64_t, HttpSession *>;

    /// By kind, then from the one that has waited longest.
    std::set<WaitKey> waiting_;
    std::uint64_t nextWait_ = 1;
    boost::asio::steady_timer sweepTimer_;
    bool sweepScheduled_ = false;
};

/// One connection; kept alive by its pending asynchronous operation.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpSessions> server);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void start();

    /// Replies with 503 and closes the connection.
    void refuseForLackOfRoom();

    /// Whether a request has started to arrive and its reply is not yet written.
    bool isBusy() const;

    /// Closes the connection unless it is busy.
    void closeIdle();

    /// Closes the connection at once and returns its bytes to the budget.
    void drop(std::string_view reason);

    /// The client took too long to send a request.
    void expire();

    /// Bytes taken from the budget.
    std::size_t heldBytes() const;

private:
    friend struct HttpSessions;

    enum class Phase {
        /// Waiting for a request or reading one.
        Reading,
        /// Waiting for the handler, or writing the reply.
        Handling,
        /// The last reply has been sent, or the connection is closed.
        Closing,
    };

    void read();
    void readSome();
    void onReadSome(boost::beast::error_code error, std::size_t bytes);
    void parse();
    void onRequest();
    void handle(HttpRequest &&request);
    void watchForClose();
    void onReadError(boost::beast::error_code error);
    void refuse(boost::beast::http::status status, Code code, std::string_view reason, Millis retryAfter = {});
    void send(HttpReply reply);
    void onWritten(boost::beast::error_code error);
    void close();
    void discardInput();
    bool hold(std::size_t bytes);

    static constexpr unsigned httpVersion11 = 11;

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    /// Set from the first read on.
    std::optional<boost::beast::http::request_parser<GrowingBody>> parser_;
    boost::beast::http::response<boost::beast::http::string_body> reply_;
    std::shared_ptr<HttpSessions> server_;
    BudgetShare share_;
    /// Bytes of the current request so far, with header, chunk headers and trailers.
    std::size_t requestBytes_ = 0;
    Phase phase_ = Phase::Handling;
    bool keepAlive_ = true;
    bool hasCompleted_ = false;
    bool expired_ = false;
    /// Whether the reply is a refusal by the server itself.
    bool refused_ = false;
    /// Set while the handler can be notified that the client has closed the connection.
    std::shared_ptr<std::function<void()>> onPeerClosed_;
    /// True for a HEAD request, whose reply has no body.
    bool isHeadRequest_ = false;
    unsigned version_ = httpVersion11;
    /// Set while in HttpSessions::waiting_.
    std::optional<std::pair<HttpWait, std::uint64_t>> wait_;
    Millis waitingSince_;
};

} // namespace ibiswall
