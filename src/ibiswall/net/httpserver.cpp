// HTTP server based on Boost.Beast.

#include <ibiswall/net/httpserver.hpp>

#include "httprequest.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace ibiswall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Interface of a connection to the server.
class Connection
{
public:
    virtual ~Connection() = default;

    /// Whether a request has started to arrive and its reply is not yet written.
    virtual bool isBusy() const = 0;

    /// Closes the connection unless it is busy.
    virtual void closeIdle() = 0;
};

} // namespace

struct HttpServer::State
{
    State(asio::io_context &io, HttpLimits limits, HttpHandler handler)
        : limits_(std::move(limits))
        , handler_(std::move(handler))
        , acceptor_(io)
        , acceptRetryTimer_(io)
    {
    }

    HttpLimits limits_;
    HttpHandler handler_;
    tcp::acceptor acceptor_;
    /// Delays the next accept after a failed one.
    asio::steady_timer acceptRetryTimer_;
    /// All open connections; each registers and unregisters itself.
    std::set<Connection *> connections_;
    /// If set, connections close after their current reply.
    bool stopping_ = false;
};

namespace {

// How long a connection is still read after a refusal. Closing it with unread input would reset it, and the client could
// lose the reply.
constexpr std::chrono::milliseconds maxLinger(2000);
constexpr std::chrono::milliseconds acceptRetryDelay(50);
// A refused connection is read further only while there are at most this many times maxConnections_ connections.
constexpr std::size_t lingerConnectionFactor = 2;

std::chrono::milliseconds toChrono(Millis time)
{
    return std::chrono::milliseconds(time.count_);
}

// Body of a refusal by the server itself, in the same format as other errors.
std::string errorBody(Code code)
{
    return "{\"state\":\"failed\",\"code\":" + std::to_string(static_cast<int>(code)) + ",\"reason\":\"" + std::string(describe(code))
        + "\"}";
}

// One connection; kept alive by its pending asynchronous operation.
template<typename State>
class Session : public Connection, public std::enable_shared_from_this<Session<State>>
{
public:
    Session(tcp::socket socket, std::shared_ptr<State> state)
        : stream_(std::move(socket))
        , state_(std::move(state))
    {
        state_->connections_.insert(this);
    }

    ~Session() override
    {
        state_->connections_.erase(this);
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void start()
    {
        if (state_->connections_.size() > state_->limits_.maxConnections_) {
            refuse(http::status::service_unavailable, Code::TooManyConnections);
            return;
        }
        read();
    }

    bool isBusy() const override
    {
        return phase_ == Phase::Handling || (phase_ == Phase::Reading && (parser_->got_some() || buffer_.size() > 0));
    }

    void closeIdle() override
    {
        if (phase_ == Phase::Reading && !isBusy()) {
            stream_.cancel();
        }
    }

private:
    enum class Phase {
        /// Waiting for a request or reading one.
        Reading,
        /// Waiting for the handler, or writing the reply.
        Handling,
        /// The last reply has been sent.
        Closing,
    };

    static constexpr unsigned httpVersion11 = 11;
    static constexpr std::size_t discardBufferBytes = 16384;

    void read()
    {
        phase_ = Phase::Reading;
        parser_.emplace();
        parser_->body_limit(state_->limits_.maxBody_);
        parser_->header_limit(static_cast<std::uint32_t>(state_->limits_.maxHeader_));
        stream_.expires_after(toChrono(state_->limits_.idleTimeout_));
        http::async_read(stream_, buffer_, *parser_,
                         [self = this->shared_from_this()](beast::error_code error, std::size_t /*bytes*/) { self->onRead(error); });
    }

    void onRead(beast::error_code error)
    {
        if (error) {
            onReadError(error);
            return;
        }
        stream_.expires_never();
        phase_ = Phase::Handling;
        keepAlive_ = parser_->get().keep_alive();
        version_ = parser_->get().version();
        isHeadRequest_ = parser_->get().method() == http::verb::head;
        HttpRequest request = toRequest(parser_->release(), state_->limits_.extraHeader_);
        if (state_->limits_.detectPeerClose_) {
            onPeerClosed_ = std::make_shared<std::function<void()>>();
            request.onPeerClosed_ = onPeerClosed_;
        }
        handle(std::move(request));
        watchForClose();
    }

    // Passes the request to the handler. If the handler fails, its request alone is answered with an error.
    void handle(HttpRequest &&request)
    {
        const auto replied = std::make_shared<bool>(false);
        const auto respond = [self = this->shared_from_this(), replied](HttpReply reply) {
            if (!std::exchange(*replied, true)) {
                self->send(std::move(reply));
            }
        };
        try {
            state_->handler_(std::move(request), respond);
        } catch (const std::exception &error) {
            if (state_->limits_.onHandlerFailure_) {
                state_->limits_.onHandlerFailure_(error.what());
            }
            respond(jsonReply(static_cast<int>(http::status::gateway_timeout), errorBody(Code::HandlerFailed)));
        }
    }

    // Detects that the client closes the connection while the request is being handled.
    void watchForClose()
    {
        if (phase_ != Phase::Handling || !onPeerClosed_ || !*onPeerClosed_) {
            return;
        }
        stream_.socket().async_wait(
            tcp::socket::wait_read, [weak = this->weak_from_this(), callback = onPeerClosed_](beast::error_code error) {
                const auto self = weak.lock();
                if (error || !self || self->onPeerClosed_ != callback) {
                    return;
                }
                char byte = 0;
                beast::error_code peekError;
                self->stream_.socket().non_blocking(true, peekError);
                const std::size_t waiting = self->stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
                const bool open = waiting > 0 || peekError == asio::error::would_block;
                if (!open) {
                    (*callback)();
                }
            });
    }

    void onReadError(beast::error_code error)
    {
        if (error == http::error::body_limit) {
            refuse(http::status::payload_too_large, Code::TooLarge);
        } else if (error == http::error::header_limit) {
            refuse(http::status::request_header_fields_too_large, Code::TooLarge);
        } else if (error != http::error::end_of_stream && error.category() == make_error_code(http::error::bad_method).category()) {
            refuse(http::status::bad_request, Code::BadRequest);
        } else {
            close();
        }
    }

    // Replies with an error to a request that is not passed to the handler, and closes the connection.
    void refuse(http::status status, Code code)
    {
        keepAlive_ = false;
        refused_ = true;
        send(jsonReply(static_cast<int>(status), errorBody(code)));
    }

    void send(HttpReply reply)
    {
        phase_ = Phase::Handling;
        onPeerClosed_.reset();
        reply_ = {static_cast<http::status>(reply.status_), version_};
        reply_.set(http::field::content_type, reply.contentType_);
        if (reply.retryAfter_ > Millis{0}) {
            constexpr std::int64_t millisPerSecond = 1000;
            reply_.set(http::field::retry_after, std::to_string((reply.retryAfter_.count_ + millisPerSecond - 1) / millisPerSecond));
        }
        keepAlive_ = keepAlive_ && !state_->stopping_;
        reply_.keep_alive(keepAlive_);
        if (!isHeadRequest_) {
            reply_.body() = std::move(reply.body_);
        }
        reply_.prepare_payload();
        stream_.expires_after(toChrono(state_->limits_.idleTimeout_));
        http::async_write(stream_, reply_,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t /*bytes*/) { self->onWritten(error); });
    }

    void onWritten(beast::error_code error)
    {
        if (error || !keepAlive_) {
            close();
            return;
        }
        read();
    }

    void close()
    {
        phase_ = Phase::Closing;
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        if (refused_ && state_->connections_.size() <= state_->limits_.maxConnections_ * lingerConnectionFactor) {
            stream_.expires_after(maxLinger);
            discardInput();
        }
    }

    // Discards input until the client closes the connection or the linger time ends.
    void discardInput()
    {
        buffer_.clear();
        stream_.async_read_some(buffer_.prepare(discardBufferBytes),
                                [self = this->shared_from_this()](beast::error_code error, std::size_t /*bytes*/) {
                                    if (!error) {
                                        self->discardInput();
                                    }
                                });
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    /// Set from the first read on.
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> reply_;
    std::shared_ptr<State> state_;
    Phase phase_ = Phase::Handling;
    bool keepAlive_ = true;
    /// Whether the reply is a refusal by the server itself.
    bool refused_ = false;
    /// Set while the handler can be notified that the client has closed the connection.
    std::shared_ptr<std::function<void()>> onPeerClosed_;
    /// True for a HEAD request, whose reply has no body.
    bool isHeadRequest_ = false;
    unsigned version_ = httpVersion11;
};

template<typename State>
void accept(const std::shared_ptr<State> &state);

// Retries an accept that failed, usually because the process has no file descriptors left.
template<typename State>
void retryAccept(const std::shared_ptr<State> &state)
{
    state->acceptRetryTimer_.expires_after(acceptRetryDelay);
    state->acceptRetryTimer_.async_wait([state](beast::error_code error) {
        if (!error && state->acceptor_.is_open()) {
            accept(state);
        }
    });
}

template<typename State>
void accept(const std::shared_ptr<State> &state)
{
    state->acceptor_.async_accept([state](beast::error_code error, tcp::socket socket) {
        if (!state->acceptor_.is_open()) {
            return;
        }
        if (error) {
            retryAccept(state);
            return;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<Session<State>>(std::move(socket), state)->start();
        accept(state);
    });
}

} // namespace

HttpReply jsonReply(int status, std::string body)
{
    HttpReply reply;
    reply.status_ = status;
    reply.body_ = std::move(body);
    return reply;
}

HttpServer::HttpServer(asio::io_context &io, HttpLimits limits, HttpHandler handler)
    : state_(std::make_shared<State>(io, std::move(limits), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

Result<std::uint16_t> HttpServer::listen(const Address &address)
{
    beast::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host_, error), address.port_);
    tcp::acceptor &acceptor = state_->acceptor_;
    if (!error) {
        acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{Code::CannotListen, format(address) + ": " + error.message()};
    }
    accept(state_);
    return acceptor.local_endpoint().port();
}

void HttpServer::closeIdle()
{
    state_->stopping_ = true;
    const std::set<Connection *> connections = state_->connections_;
    for (Connection *connection : connections) {
        connection->closeIdle();
    }
}

void HttpServer::stopAccepting()
{
    closeIdle();
    beast::error_code ignored;
    state_->acceptor_.close(ignored);
    state_->acceptRetryTimer_.cancel();
}

std::size_t HttpServer::pending() const
{
    const auto &connections = state_->connections_;
    return static_cast<std::size_t>(
        std::count_if(connections.begin(), connections.end(), [](const Connection *each) { return each->isBusy(); }));
}

} // namespace ibiswall
