// Pumps bytes between pairs of sockets.

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
constexpr std::chrono::milliseconds thawCheck(5);

// Both sockets of a relayed connection.
struct Pair
{
    explicit Pair(tcp::socket client)
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

// Moves the bytes of one direction; lives as long as an operation of it.
class Pump : public std::enable_shared_from_this<Pump>
{
public:
    Pump(std::shared_ptr<Pair> pair, Way way, const std::atomic<bool> &frozen)
        : pair_(std::move(pair))
        , from_(way == Way::ToServer ? pair_->client_ : pair_->server_)
        , to_(way == Way::ToServer ? pair_->server_ : pair_->client_)
        , frozen_(frozen)
        , timer_(from_.get_executor())
    {
    }

    void read()
    {
        from_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](error_code error, std::size_t size) {
            self->size_ = size;
            self->ended_ = bool(error);
            self->pass();
        });
    }

private:
    // The end of a connection is held back like bytes.
    void pass()
    {
        if (frozen_) {
            timer_.expires_after(thawCheck);
            timer_.async_wait([self = shared_from_this()](error_code /*error*/) { self->pass(); });
            return;
        }
        if (ended_) {
            pair_->close();
            return;
        }
        asio::async_write(to_, asio::buffer(buffer_.data(), size_), [self = shared_from_this()](error_code error, std::size_t /*size*/) {
            if (error) {
                self->pair_->close();
                return;
            }
            self->read();
        });
    }

    std::shared_ptr<Pair> pair_;
    tcp::socket &from_;
    tcp::socket &to_;
    const std::atomic<bool> &frozen_;
    asio::steady_timer timer_;
    std::array<char, bufferSize> buffer_{};
    std::size_t size_ = 0;
    bool ended_ = false;
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
            if (!error && !cut_) {
                connect(std::make_shared<Pair>(std::move(socket)));
            }
            accept();
        });
    }

    void connect(const std::shared_ptr<Pair> &pair)
    {
        pairs_.insert(pair);
        pair->server_.async_connect(server_, [this, pair](error_code error) {
            if (error || cut_) {
                pair->close();
                return;
            }
            error_code ignored;
            pair->client_.set_option(tcp::no_delay(true), ignored);
            pair->server_.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Pump>(pair, Way::ToServer, toServerFrozen_)->read();
            std::make_shared<Pump>(pair, Way::ToClient, toClientFrozen_)->read();
        });
    }

    asio::io_context io_{1};
    tcp::endpoint server_;
    tcp::acceptor acceptor_;
    /// Every connection since the last cut.
    std::set<std::shared_ptr<Pair>> pairs_;
    std::atomic<bool> toServerFrozen_{false};
    std::atomic<bool> toClientFrozen_{false};
    std::atomic<bool> cut_{false};
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

void Relay::freeze(Way way)
{
    (way == Way::ToServer ? state_->toServerFrozen_ : state_->toClientFrozen_) = true;
}

void Relay::thaw()
{
    state_->toServerFrozen_ = false;
    state_->toClientFrozen_ = false;
}

void Relay::cut()
{
    state_->cut_ = true;
    asio::post(state_->io_, [this] {
        for (const auto &pair : state_->pairs_) {
            pair->close();
        }
        state_->pairs_.clear();
    });
}

void Relay::mend()
{
    state_->cut_ = false;
}

} // namespace ibiswall::system
