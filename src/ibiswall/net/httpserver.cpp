// HTTP server on Boost.Beast.

#include <ibiswall/net/httpserver.hpp>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace ibiswall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct HttpServer::State
{
    State(asio::io_context &io, HttpLimits limits, HttpHandler handler)
        : limits_(limits)
        , handler_(std::move(handler))
        , acceptor_(io)
    {
    }

    HttpLimits limits_;
    HttpHandler handler_;
    tcp::acceptor acceptor_;
    std::size_t connections_ = 0;
    std::size_t pending_ = 0;
    /// Once set, connections close after the reply in progress.
    bool stopping_ = false;
};

namespace {

std::chrono::milliseconds toChrono(Millis time)
{
    return std::chrono::milliseconds(time.count_);
}

// Body of a refusal by the server itself, in the shape of every other error.
std::string errorBody(Code code)
{
    return "{\"state\":\"failed\",\"code\":" + std::to_string(static_cast<int>(code)) + ",\"reason\":\"" + std::string(describe(code))
        + "\"}";
}

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    const std::string target(message.target());
    const auto mark = target.find('?');
    HttpRequest request;
    request.method_ = std::string(message.method_string());
    request.path_ = target.substr(0, mark);
    request.query_ = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    request.authorization_ = std::string(message[http::field::authorization]);
    for (const auto &field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        if (name.compare(0, 2, "x-") == 0) {
            request.extensions_[name] = std::string(field.value());
        }
    }
    request.body_ = std::move(message.body());
    return request;
}

// One connection; lives as long as an operation on it.
template<typename State>
class Session : public std::enable_shared_from_this<Session<State>>
{
public:
    Session(tcp::socket socket, std::shared_ptr<State> state)
        : stream_(std::move(socket))
        , state_(std::move(state))
    {
        ++state_->connections_;
    }

    ~Session()
    {
        --state_->connections_;
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void start()
    {
        if (state_->connections_ > state_->limits_.maxConnections_) {
            keepAlive_ = false;
            send(jsonReply(httpUnavailable, errorBody(Code::TooManyConnections)));
            return;
        }
        read();
    }

private:
    static constexpr int httpUnavailable = 503;
    static constexpr int httpBadRequest = 400;
    static constexpr int httpTooLarge = 413;
    static constexpr unsigned httpVersion11 = 11;

    void read()
    {
        parser_.emplace();
        parser_->body_limit(state_->limits_.maxBody_);
        parser_->header_limit(static_cast<std::uint32_t>(state_->limits_.maxHeader_));
        stream_.expires_after(toChrono(state_->limits_.idle_));
        http::async_read(stream_, buffer_, *parser_,
                         [self = this->shared_from_this()](beast::error_code error, std::size_t /*bytes*/) { self->onRead(error); });
    }

    void onRead(beast::error_code error)
    {
        if (error == http::error::body_limit) {
            refuse(httpTooLarge, Code::TooLarge);
            return;
        }
        if (error && error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
            && error != http::error::partial_message) {
            refuse(httpBadRequest, Code::BadRequest);
            return;
        }
        if (error) {
            close();
            return;
        }
        stream_.expires_never();
        keepAlive_ = parser_->get().keep_alive();
        version_ = parser_->get().version();
        ++state_->pending_;
        inHand_ = true;
        state_->handler_(toRequest(parser_->release()),
                         [self = this->shared_from_this()](HttpReply reply) { self->send(std::move(reply)); });
    }

    void refuse(int status, Code code)
    {
        keepAlive_ = false;
        send(jsonReply(status, errorBody(code)));
    }

    void send(HttpReply reply)
    {
        reply_ = {static_cast<http::status>(reply.status_), version_};
        reply_.set(http::field::content_type, reply.contentType_);
        if (reply.retryAfter_ > Millis{0}) {
            constexpr std::int64_t millisPerSecond = 1000;
            reply_.set(http::field::retry_after, std::to_string((reply.retryAfter_.count_ + millisPerSecond - 1) / millisPerSecond));
        }
        keepAlive_ = keepAlive_ && !state_->stopping_;
        reply_.keep_alive(keepAlive_);
        reply_.body() = std::move(reply.body_);
        reply_.prepare_payload();
        stream_.expires_after(toChrono(state_->limits_.idle_));
        http::async_write(stream_, reply_,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t /*bytes*/) { self->onWritten(error); });
    }

    void onWritten(beast::error_code error)
    {
        state_->pending_ -= inHand_ ? 1 : 0;
        inHand_ = false;
        if (error || !keepAlive_) {
            close();
            return;
        }
        read();
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> reply_;
    std::shared_ptr<State> state_;
    bool keepAlive_ = true;
    /// Whether the handler has a request whose reply has not been written.
    bool inHand_ = false;
    unsigned version_ = httpVersion11;
};

template<typename State>
void accept(const std::shared_ptr<State> &state)
{
    state->acceptor_.async_accept([state](beast::error_code error, tcp::socket socket) {
        if (!state->acceptor_.is_open()) {
            return;
        }
        if (!error) {
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Session<State>>(std::move(socket), state)->start();
        }
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
    : state_(std::make_shared<State>(io, limits, std::move(handler)))
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

void HttpServer::stopAccepting()
{
    state_->stopping_ = true;
    beast::error_code ignored;
    state_->acceptor_.close(ignored);
}

std::size_t HttpServer::pending() const
{
    return state_->pending_;
}

} // namespace ibiswall
