// Forwards bytes between pairs of sockets until they are silenced.

#include "silencer.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

namespace ibiswall::review {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

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
    bool silent_ = false;
};

using Buffer = std::array<char, 65536>;

// Forwards from one socket of the pair to the other one.
void forward(const std::shared_ptr<Pair> &pair, bool toServer, const std::shared_ptr<Buffer> &buffer)
{
    tcp::socket &from = toServer ? pair->client_ : pair->server_;
    from.async_read_some(asio::buffer(*buffer), [pair, toServer, buffer](error_code error, std::size_t size) {
        if (pair->silent_) {
            return;
        }
        if (error) {
            pair->close();
            return;
        }
        tcp::socket &to = toServer ? pair->server_ : pair->client_;
        asio::async_write(to, asio::buffer(buffer->data(), size), [pair, toServer, buffer](error_code failed, std::size_t /*size*/) {
            if (failed) {
                pair->close();
            } else {
                forward(pair, toServer, buffer);
            }
        });
    });
}

} // namespace

struct Silencer::State
{
    explicit State(std::uint16_t serverPort)
        : server_(asio::ip::address_v4::loopback(), serverPort)
        , acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    void accept()
    {
        acceptor_.async_accept([this](error_code error, tcp::socket socket) {
            if (!error) {
                const auto pair = std::make_shared<Pair>(std::move(socket));
                pairs_.push_back(pair);
                pair->server_.async_connect(server_, [pair](error_code failed) {
                    if (failed) {
                        pair->close();
                        return;
                    }
                    error_code ignored;
                    pair->client_.set_option(tcp::no_delay(true), ignored);
                    pair->server_.set_option(tcp::no_delay(true), ignored);
                    forward(pair, true, std::make_shared<Buffer>());
                    forward(pair, false, std::make_shared<Buffer>());
                });
            }
            accept();
        });
    }

    asio::io_context io_{1};
    tcp::endpoint server_;
    tcp::acceptor acceptor_;
    /// All connections so far.
    std::vector<std::shared_ptr<Pair>> pairs_;
    std::thread thread_;
};

Silencer::Silencer(std::uint16_t serverPort)
    : state_(std::make_unique<State>(serverPort))
{
    state_->accept();
    state_->thread_ = std::thread([this] { state_->io_.run(); });
}

Silencer::~Silencer()
{
    state_->io_.stop();
    state_->thread_.join();
}

std::uint16_t Silencer::port() const
{
    return state_->acceptor_.local_endpoint().port();
}

void Silencer::silenceOpen()
{
    asio::post(state_->io_, [this] {
        for (const auto &pair : state_->pairs_) {
            pair->silent_ = true;
        }
    });
}

} // namespace ibiswall::review
