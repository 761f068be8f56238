// Forwards bytes between pairs of sockets.

#include "relay.hpp"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <thread>

namespace ibiswall::system {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t bufferSize = 65536;
constexpr std::chrono::milliseconds frozenPollInterval(5);

// The two sockets of a relayed connection.
struct ConnectionPair
{
    explicit ConnectionPair(tcp::socket client)
        : client_(std::move(client))
        , server_(client_.get_executor())
    {
    }

    void close()
    {
        error_code ignored;
        client_.close(ignored);
        server_.close(ignored);
    }

    tcp::socket client_;
    tcp::socket server_;
};

// Forwards the bytes of one direction. Its pending operations keep it alive.
class Forwarder : public std::enable_shared_from_this<Forwarder>
{
public:
    Forwarder(std::shared_ptr<ConnectionPair> pair, Direction direction, const std::atomic<bool> &frozen)
        : pair_(std::move(pair))
        , source_(direction == Direction::ToServer ? pair_->client_ : pair_->server_)
        , destination_(direction == Direction::ToServer ? pair_->server_ : pair_->client_)
        , frozen_(frozen)
        , timer_(source_.get_executor())
    {
    }

    void read()
    {
        source_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](error_code error, std::size_t size) {
            self->size_ = size;
            self->closed_ = bool(error);
            self->forward();
        });
    }

private:
    // A frozen direction also delays the closing of the connection.
    void forward()
    {
        if (frozen_) {
            timer_.expires_after(frozenPollInterval);
            timer_.async_wait([self = shared_from_this()](error_code /*error*/) { self->forward(); });
            return;
        }
        if (closed_) {
            pair_->close();
            return;
        }
        asio::async_write(destination_, asio::buffer(buffer_.data(), size_),
                          [self = shared_from_this()](error_code error, std::size_t /*size*/) {
                              if (error) {
                                  self->pair_->close();
                                  return;
                              }
                              self->read();
                          });
    }

    std::shared_ptr<ConnectionPair> pair_;
    tcp::socket &source_;
    tcp::socket &destination_;
    const std::atomic<bool> &frozen_;
    asio::steady_timer timer_;
    std::array<char, bufferSize> buffer_{};
    std::size_t size_ = 0;
    bool closed_ = false;
};

} // namespace

struct Relay::State
{
    explicit State(std::uint16_t serverPort)
        : server_(asio::ip::address_v4::loopback(), serverPort)
        , acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    void accept()
    {
        acceptor_.async_accept([this](error_code error, tcp::socket socket) {
            if (!error && !disconnected_) {
                connect(std::make_shared<ConnectionPair>(std::move(socket)));
            }
            accept();
        });
    }

    void connect(const std::shared_ptr<ConnectionPair> &pair)
    {
        pairs_.insert(pair);
        pair->server_.async_connect(server_, [this, pair](error_code error) {
            if (error || disconnected_) {
                pair->close();
                return;
            }
            error_code ignored;
            pair->client_.set_option(tcp::no_delay(true), ignored);
            pair->server_.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Forwarder>(pair, Direction::ToServer, toServerFrozen_)->read();
            std::make_shared<Forwarder>(pair, Direction::ToClient, toClientFrozen_)->read();
        });
    }

    asio::io_context io_{1};
    tcp::endpoint server_;
    tcp::acceptor acceptor_;
    /// All connections since the last disconnect().
    std::set<std::shared_ptr<ConnectionPair>> pairs_;
    std::atomic<bool> toServerFrozen_{false};
    std::atomic<bool> toClientFrozen_{false};
    std::atomic<bool> disconnected_{false};
    std::thread thread_;
};

Relay::Relay(std::uint16_t serverPort)
    : state_(std::make_unique<State>(serverPort))
{
    state_->accept();
    state_->thread_ = std::thread([this] { state_->io_.run(); });
}

Relay::~Relay()
{
    state_->io_.stop();
    state_->thread_.join();
}

std::uint16_t Relay::port() const
{
    return state_->acceptor_.local_endpoint().port();
}

void Relay::freeze(Direction direction)
{
    (direction == Direction::ToServer ? state_->toServerFrozen_ : state_->toClientFrozen_) = true;
}

void Relay::unfreeze()
{
    state_->toServerFrozen_ = false;
    state_->toClientFrozen_ = false;
}

void Relay::disconnect()
{
    state_->disconnected_ = true;
    asio::post(state_->io_, [this] {
        for (const auto &pair : state_->pairs_) {
            pair->close();
        }
        state_->pairs_.clear();
    });
}

void Relay::allowConnections()
{
    state_->disconnected_ = false;
}

} // namespace ibiswall::system
