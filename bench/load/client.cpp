// HTTP client with a keep-alive connection, on Boost.Beast.

#include "client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace ibiswall::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

struct Client::State : std::enable_shared_from_this<Client::State>
{
    State(asio::io_context &io,
          const Address &server,
          std::string authorization,
          std::function<bool(const ClientReply &, ClientRequest &)> nextRequest)
        : server_(asio::ip::make_address(server.host_), server.port_)
        , authorization_(std::move(authorization))
        , nextRequest_(std::move(nextRequest))
        , socket_(io)
    {
    }

    void connect()
    {
        socket_.async_connect(server_, [self = shared_from_this()](beast::error_code error) {
            if (error) {
                self->sendNext({});
                return;
            }
            self->socket_.set_option(tcp::no_delay(true));
            self->sendNext({});
        });
    }

    // Asks for the next request and sends it, or closes the connection. An empty reply stands for a failed connection.
    void sendNext(const ClientReply &reply)
    {
        ClientRequest clientRequest;
        if (!nextRequest_(reply, clientRequest)) {
            beast::error_code ignored;
            socket_.close(ignored);
            return;
        }
        constexpr unsigned httpVersion11 = 11;
        request_ = {http::string_to_verb(clientRequest.method_), clientRequest.path_, httpVersion11};
        request_.set(http::field::host, "bench");
        request_.set(http::field::authorization, authorization_);
        request_.body() = std::move(clientRequest.body_);
        request_.prepare_payload();
        startedAt_ = Clock::now();
        http::async_write(socket_, request_, [self = shared_from_this()](beast::error_code error, std::size_t /*bytes*/) {
            error ? self->sendNext({}) : self->read();
        });
    }

    void read()
    {
        constexpr std::uint64_t maxReply = 64U << 20U;
        parser_.emplace();
        parser_->body_limit(maxReply);
        http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](beast::error_code error, std::size_t /*bytes*/) {
            if (error) {
                self->sendNext({});
                return;
            }
            const int status = static_cast<int>(self->parser_->get().result_int());
            self->sendNext({status, std::move(self->parser_->get().body()), Clock::now() - self->startedAt_});
        });
    }

    tcp::endpoint server_;
    std::string authorization_;
    std::function<bool(const ClientReply &, ClientRequest &)> nextRequest_;
    tcp::socket socket_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    Clock::time_point startedAt_;
};

Client::Client(asio::io_context &io,
               const Address &server,
               std::string authorization,
               std::function<bool(const ClientReply &, ClientRequest &)> nextRequest)
    : state_(std::make_shared<State>(io, server, std::move(authorization), std::move(nextRequest)))
{
}

Client::~Client() = default;
Client::Client(Client &&) noexcept = default;

void Client::start()
{
    state_->connect();
}

} // namespace ibiswall::bench
