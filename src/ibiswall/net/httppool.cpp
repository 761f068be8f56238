// HTTP connection pool based on Boost.Beast.

#include <ibiswall/net/httppool.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace ibiswall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct HttpPool::State
{
    State(asio::io_context &io, Address server, std::size_t maxIdle)
        : io_(io)
        , server_(std::move(server))
        , maxIdle_(maxIdle)
    {
    }

    asio::io_context &io_;
    Address server_;
    std::size_t maxIdle_;
    /// Connections without a request in progress, most recently used last.
    std::vector<std::unique_ptr<beast::tcp_stream>> idle_;
};

namespace {

constexpr unsigned httpVersion11 = 11;
constexpr std::uint64_t maxResponseBytes = 8U << 20U;
constexpr std::int64_t connectTimeoutMillis = 2000;

// Whether an idle connection is still open and the server has sent nothing on it.
bool isReusable(beast::tcp_stream &stream)
{
    char byte = 0;
    beast::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

// One call in progress; kept alive by its pending asynchronous operation.
template<typename State>
class Exchange : public std::enable_shared_from_this<Exchange<State>>
{
public:
    Exchange(std::shared_ptr<State> state, PoolCall call, std::function<void(PoolResult)> done)
        : state_(std::move(state))
        , call_(std::move(call))
        , done_(std::move(done))
    {
    }

    void start()
    {
        while (!state_->idle_.empty()) {
            stream_ = std::move(state_->idle_.back());
            state_->idle_.pop_back();
            if (isReusable(*stream_)) {
                write();
                return;
            }
        }
        connect();
    }

private:
    void connect()
    {
        beast::error_code addressError;
        const tcp::endpoint endpoint(asio::ip::make_address(state_->server_.host_, addressError), state_->server_.port_);
        if (addressError) {
            finish({Code::ConnectRefused, 0, {}, false});
            return;
        }
        stream_ = std::make_unique<beast::tcp_stream>(state_->io_);
        stream_->expires_after(std::chrono::milliseconds(std::min(connectTimeoutMillis, call_.timeout_.count_)));
        stream_->async_connect(endpoint, [self = this->shared_from_this()](beast::error_code error) {
            if (error) {
                self->finish({Code::ConnectRefused, 0, {}, error == asio::error::connection_refused});
                return;
            }
            beast::error_code ignored;
            self->stream_->socket().set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        request_ = {http::string_to_verb(call_.method_), call_.path_, httpVersion11};
        request_.set(http::field::host, format(state_->server_));
        for (const auto &[name, value] : call_.headers_) {
            request_.set(name, value);
        }
        request_.body() = std::move(call_.body_);
        request_.prepare_payload();
        stream_->expires_after(std::chrono::milliseconds(call_.timeout_.count_));
        // Checked immediately before sending, so that a process that was frozen does not start a task after its lease expired.
        if (bootClock() >= call_.startBy_) {
            finish({Code::NoLease, 0, {}, false});
            return;
        }
        http::async_write(*stream_, request_, [self = this->shared_from_this()](beast::error_code error, std::size_t /*bytes*/) {
            if (error) {
                self->failAfterSend(error);
                return;
            }
            self->read();
        });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(maxResponseBytes);
        http::async_read(*stream_, buffer_, *parser_, [self = this->shared_from_this()](beast::error_code error, std::size_t /*bytes*/) {
            if (error) {
                self->failAfterSend(error);
                return;
            }
            self->onReply();
        });
    }

    void onReply()
    {
        const bool keep = parser_->get().keep_alive() && state_->idle_.size() < state_->maxIdle_;
        PoolResult result{Code::Ok, static_cast<int>(parser_->get().result_int()), std::move(parser_->get().body()), false};
        if (keep) {
            stream_->expires_never();
            state_->idle_.push_back(std::move(stream_));
        }
        finish(std::move(result));
    }

    void failAfterSend(beast::error_code error)
    {
        finish({error == beast::error::timeout ? Code::CallTimeout : Code::ConnectionLost, 0, {}, false});
    }

    void finish(PoolResult result)
    {
        done_(std::move(result));
    }

    std::shared_ptr<State> state_;
    PoolCall call_;
    std::function<void(PoolResult)> done_;
    std::unique_ptr<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

} // namespace

HttpPool::HttpPool(asio::io_context &io, Address server, std::size_t maxIdle)
    : state_(std::make_shared<State>(io, std::move(server), maxIdle))
{
}

HttpPool::~HttpPool() = default;

void HttpPool::setServer(Address server)
{
    state_->idle_.clear();
    state_->server_ = std::move(server);
}

void HttpPool::call(PoolCall call, std::function<void(PoolResult)> done)
{
    std::make_shared<Exchange<State>>(state_, std::move(call), std::move(done))->start();
}

} // namespace ibiswall
