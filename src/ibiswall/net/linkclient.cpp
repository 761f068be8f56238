// Connecting side of links, based on websocketpp.

#include <ibiswall/net/link.hpp>

#include "endpoint.hpp"
#include "linkbuffers.hpp"
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

namespace ibiswall {

namespace {

// The default configuration with a shorter connect timeout. A host that is just starting misses the first packet of a
// connection, and the operating system resends it only after a second.
struct ClientConfig : LinkConfig<websocketpp::config::asio_client>
{
    struct TransportConfig : websocketpp::config::asio_client::transport_config
    {
        static constexpr long timeout_connect = 250; // NOLINT(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<TransportConfig>; // NOLINT(readability-identifier-naming)
};

using Client = websocketpp::client<ClientConfig>;
using Handle = websocketpp::connection_hdl;

constexpr std::int64_t initialReconnectDelayMillis = 100;

} // namespace

struct LinkClient::State : std::enable_shared_from_this<LinkClient::State>
{
    State(boost::asio::io_context &io, Address server, const LinkLimits &limits, LinkEvents events)
        : server_(std::move(server))
        , limits_(limits)
        , events_(std::move(events))
        , timer_(io)
        , random_(std::random_device{}())
    {
        prepareEndpoint(client_, io, limits.maxFrameBytes_);
    }

    void connect()
    {
        if (stopping_) {
            return;
        }
        websocketpp::lib::error_code error;
        const auto connection = client_.get_connection("ws://" + format(server_) + "/", error);
        if (error) {
            scheduleReconnect();
            return;
        }
        if (limits_.buffers_) {
            buffersOf(*connection)->attach(limits_.buffers_, {});
        }
        const auto weak = weak_from_this();
        connection->set_open_handler([weak](const Handle &handle) {
            if (const auto self = weak.lock()) {
                self->onOpened(handle);
            }
        });
        const auto onClosed = [weak](const Handle & /*handle*/) {
            if (const auto self = weak.lock()) {
                self->onClosed();
            }
        };
        connection->set_fail_handler(onClosed);
        connection->set_close_handler(onClosed);
        connection->set_message_handler([weak](const Handle & /*handle*/, const Client::message_ptr &message) {
            const auto self = weak.lock();
            if (self && self->open_) {
                self->events_.received_(self->link_, message->get_payload());
            }
        });
        client_.connect(connection);
    }

    void onOpened(const Handle &handle)
    {
        handle_ = handle;
        open_ = true;
        reconnectDelayMillis_ = initialReconnectDelayMillis;
        ++link_;
        events_.opened_(link_);
    }

    void onClosed()
    {
        if (open_) {
            open_ = false;
            events_.closed_(link_);
        }
        scheduleReconnect();
    }

    // Reconnects after an exponential delay, with jitter so that many clients do not reconnect at the same time.
    void scheduleReconnect()
    {
        if (stopping_) {
            return;
        }
        const std::int64_t jitter = std::uniform_int_distribution<std::int64_t>(0, reconnectDelayMillis_)(random_);
        timer_.expires_after(std::chrono::milliseconds(reconnectDelayMillis_ / 2 + jitter));
        reconnectDelayMillis_ = std::min(reconnectDelayMillis_ * 2, limits_.maxReconnectDelay_.count_);
        const auto weak = weak_from_this();
        timer_.async_wait([weak](boost::system::error_code error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->connect();
            }
        });
    }

    Address server_;
    LinkLimits limits_;
    LinkEvents events_;
    boost::asio::steady_timer timer_;
    std::minstd_rand random_;
    Client client_;
    Handle handle_;
    /// Id of the current or latest connection.
    LinkId link_ = 0;
    bool open_ = false;
    bool stopping_ = false;
    std::int64_t reconnectDelayMillis_ = initialReconnectDelayMillis;
};

LinkClient::LinkClient(boost::asio::io_context &io, Address server, const LinkLimits &limits, LinkEvents events)
    : state_(std::make_shared<State>(io, std::move(server), limits, std::move(events)))
{
}

LinkClient::~LinkClient()
{
    stop();
}

void LinkClient::start()
{
    state_->connect();
}

bool LinkClient::send(std::string_view frame)
{
    if (!state_->open_) {
        return false;
    }
    websocketpp::lib::error_code error;
    const auto connection = state_->client_.get_con_from_hdl(state_->handle_, error);
    if (error) {
        return false;
    }
    if (connection->get_buffered_amount() > state_->limits_.maxBufferedBytes_) {
        close();
        return false;
    }
    error = connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
    return !error;
}

std::size_t LinkClient::unsentBytes() const
{
    websocketpp::lib::error_code error;
    const auto connection = state_->client_.get_con_from_hdl(state_->handle_, error);
    return error || !state_->open_ ? 0 : connection->get_buffered_amount();
}

void LinkClient::close()
{
    websocketpp::lib::error_code ignored;
    if (state_->open_) {
        state_->client_.close(state_->handle_, websocketpp::close::status::going_away, "", ignored);
    }
}

void LinkClient::drop()
{
    websocketpp::lib::error_code error;
    const auto connection = state_->client_.get_con_from_hdl(state_->handle_, error);
    if (state_->open_ && !error) {
        boost::system::error_code ignored;
        connection->get_raw_socket().close(ignored);
    }
}

void LinkClient::stop()
{
    state_->stopping_ = true;
    state_->timer_.cancel();
    close();
}

} // namespace ibiswall
