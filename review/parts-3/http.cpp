// Blocking HTTP client and server, based on Boost.Beast.

#include "http.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <set>
#include <thread>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr unsigned version11 = 11;

struct Connection
{
    explicit Connection(tcp::socket socket)
        : socket_(std::move(socket))
    {
    }

    tcp::socket socket_;
    std::atomic<bool> silent_{false};
};

std::string percentDecode(const std::string &text)
{
    constexpr int hexadecimal = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hexadecimal));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

Request toRequest(const http::request<http::string_body> &message)
{
    Request request;
    request.method_ = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t mark = target.find('?');
    request.path_ = target.substr(0, mark);
    std::size_t begin = mark == std::string::npos ? target.size() : mark + 1;
    while (begin < target.size()) {
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string pair = target.substr(begin, end - begin);
        if (const std::size_t equals = pair.find('='); equals != std::string::npos) {
            request.query_[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
        }
        begin = end + 1;
    }
    request.body_ = message.body();
    request.expectedInstance_ = std::string(message["Expect-Instance"]);
    return request;
}

// Reads and drops whatever comes until the peer closes the connection.
void swallow(tcp::socket &socket)
{
    std::array<char, 4096> bytes{};
    beast::error_code error;
    while (!error) {
        socket.read_some(asio::buffer(bytes), error);
    }
}

void serve(const std::shared_ptr<Connection> &connection, const Handler &handler)
{
    beast::flat_buffer buffer;
    beast::error_code error;
    for (;;) {
        http::request_parser<http::string_body> parser;
        http::read(connection->socket_, buffer, parser, error);
        if (error) {
            return;
        }
        const http::request<http::string_body> message = parser.release();
        std::optional<Reply> reply;
        if (!connection->silent_) {
            reply = handler(toRequest(message));
        }
        if (!reply || connection->silent_) {
            swallow(connection->socket_);
            return;
        }
        http::response<http::string_body> response(http::int_to_status(static_cast<unsigned>(reply->status_)), version11);
        response.set(http::field::content_type, "application/json");
        response.keep_alive(message.keep_alive());
        response.body() = std::move(reply->body_);
        response.prepare_payload();
        http::write(connection->socket_, response, error);
        if (error || !message.keep_alive()) {
            return;
        }
    }
}

} // namespace

struct Server::State
{
    State(std::uint16_t port, Handler handler)
        : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), port))
        , handler_(std::move(handler))
    {
    }

    asio::io_context io_;
    tcp::acceptor acceptor_;
    Handler handler_;
    std::mutex mutex_;
    std::set<std::shared_ptr<Connection>> open_;
};

Server::Server(std::uint16_t port, Handler handler)
    : state_(std::make_shared<State>(port, std::move(handler)))
{
    std::thread([state = state_] {
        for (;;) {
            beast::error_code error;
            tcp::socket socket(state->io_);
            state->acceptor_.accept(socket, error);
            if (error) {
                continue;
            }
            socket.set_option(tcp::no_delay(true), error);
            auto connection = std::make_shared<Connection>(std::move(socket));
            {
                const std::lock_guard<std::mutex> lock(state->mutex_);
                state->open_.insert(connection);
            }
            std::thread([state, connection] {
                serve(connection, state->handler_);
                const std::lock_guard<std::mutex> lock(state->mutex_);
                state->open_.erase(connection);
            }).detach();
        }
    }).detach();
}

void Server::silenceOpenConnections()
{
    const std::lock_guard<std::mutex> lock(state_->mutex_);
    for (const auto &connection : state_->open_) {
        connection->silent_ = true;
    }
}

std::size_t Server::openConnections() const
{
    const std::lock_guard<std::mutex> lock(state_->mutex_);
    return state_->open_.size();
}

CallResult callLoopback(std::uint16_t port, const Call &call)
{
    asio::io_context io;
    beast::tcp_stream stream(io);
    beast::flat_buffer buffer;
    http::request<http::string_body> request(http::string_to_verb(call.method_), call.target_, version11);
    request.set(http::field::host, "127.0.0.1:" + std::to_string(port));
    request.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : call.headers_) {
        request.set(name, value);
    }
    request.keep_alive(false);
    request.body() = call.body_;
    request.prepare_payload();
    http::response<http::string_body> response;
    CallResult result;
    stream.expires_after(std::chrono::milliseconds(call.timeoutMs_));
    stream.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), port), [&](beast::error_code connectError) {
        if (connectError) {
            return;
        }
        http::async_write(stream, request, [&](beast::error_code writeError, std::size_t /*bytes*/) {
            if (writeError) {
                return;
            }
            http::async_read(stream, buffer, response, [&](beast::error_code readError, std::size_t /*bytes*/) {
                if (!readError) {
                    result = {static_cast<int>(response.result_int()), std::move(response.body())};
                }
            });
        });
    });
    io.run();
    return result;
}

} // namespace review
