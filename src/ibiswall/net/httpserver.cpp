// HTTP server based on Boost.Beast.

#include <ibiswall/net/httpserver.hpp>

#include "httpsession.hpp"

namespace ibiswall {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

struct HttpServer::State
{
    State(asio::io_context &io, HttpLimits limits, HttpHandler handler)
        : sessions_(std::make_shared<HttpSessions>(io, std::move(limits), std::move(handler)))
        , acceptor_(io)
        , acceptRetryTimer_(io)
    {
    }

    std::shared_ptr<HttpSessions> sessions_;
    tcp::acceptor acceptor_;
    /// Delays the next accept after a failed one.
    asio::steady_timer acceptRetryTimer_;
};

namespace {

constexpr std::chrono::milliseconds acceptRetryDelay(50);

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
        state->sessions_->add(std::move(socket));
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
    state_->sessions_->stopping_ = true;
    const std::set<HttpSession *> sessions = state_->sessions_->sessions_;
    for (HttpSession *session : sessions) {
        session->closeIdle();
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
    const auto &sessions = state_->sessions_->sessions_;
    return static_cast<std::size_t>(
        std::count_if(sessions.begin(), sessions.end(), [](const HttpSession *each) { return each->isBusy(); }));
}

} // namespace ibiswall
