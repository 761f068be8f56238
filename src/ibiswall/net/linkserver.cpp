// Accepting side of links, based on websocketpp.

#include <ibiswall/net/link.hpp>

#include "endpoint.hpp"
#include "linkbuffers.hpp"
#include <algorithm>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

namespace ibiswall {

namespace {

using Server = websocketpp::server<LinkConfig<websocketpp::config::asio>>;
using Handle = websocketpp::connection_hdl;

} // namespace

struct LinkServer::State
{
    State(const LinkLimits &limits, LinkEvents events)
        : limits_(limits)
        , events_(std::move(events))
    {
    }

    // Makes room for the connection before anything is read from it.
    void onConnected(const Handle &handle)
    {
        if (unidentified_.size() >= limits_.maxUnidentified_) {
            reportRefusal("too many connections without identification");
            dropUnidentified(unidentified_.begin()->first);
        }
        const LinkId link = nextLink_++;
        ids_[handle] = link;
        unidentified_[link] = handle;
        if (limits_.buffers_) {
            const std::shared_ptr<LinkBuffers> buffers = buffersOf(*server_.get_con_from_hdl(handle));
            buffers->attach(limits_.buffers_, [this] { closeLargest(); });
            buffers_[link] = {buffers, handle};
        }
    }

    // Closes the links that hold most until the budget is kept: what the peers of a cell send is small. Links of clients take from the
    // same budget, so half of it is left to those of the server whatever the others hold.
    void closeLargest()
    {
        std::size_t held = 0;
        for (const auto &[link, each] : buffers_) {
            held += each.first->bytes();
        }
        while (limits_.buffers_->used() > limits_.buffers_->limit() && held > limits_.buffers_->limit() / 2) {
            const auto largest = std::max_element(buffers_.begin(), buffers_.end(), [](const auto &a, const auto &b) {
                return a.second.first->bytes() < b.second.first->bytes();
            });
            const auto [buffers, handle] = largest->second;
            buffers_.erase(largest);
            buffers->detach();
            held -= buffers->bytes();
            reportRefusal("incomplete and unsent frames exceed the memory for links");
            closeSocket(handle);
        }
    }

    // At once, since a closing handshake would keep the descriptor for as long as the peer does not answer.
    void closeSocket(const Handle &handle)
    {
        websocketpp::lib::error_code error;
        const auto connection = server_.get_con_from_hdl(handle, error);
        if (!error) {
            boost::system::error_code ignored;
            connection->get_raw_socket().close(ignored);
        }
    }

    void onHandshakeFailed(const Handle &handle)
    {
        const auto found = ids_.find(handle);
        if (found == ids_.end()) {
            return;
        }
        if (unidentified_.erase(found->second) > 0) {
            reportRefusal("WebSocket handshake failed: " + server_.get_con_from_hdl(handle)->get_ec().message());
        }
        buffers_.erase(found->second);
        ids_.erase(found);
    }

    void onOpened(const Handle &handle)
    {
        const auto found = ids_.find(handle);
        if (found == ids_.end() || unidentified_.count(found->second) == 0) {
            return;
        }
        const LinkId link = found->second;
        links_[link] = handle;
        server_.set_timer(limits_.identificationTimeout_.count_, [this, link](const websocketpp::lib::error_code &error) {
            if (!error && unidentified_.count(link) != 0) {
                reportRefusal("no identification within the time limit");
                dropUnidentified(link);
            }
        });
        events_.opened_(link);
    }

    void onClosed(const Handle &handle)
    {
        const auto found = ids_.find(handle);
        if (found == ids_.end()) {
            return;
        }
        const LinkId link = found->second;
        ids_.erase(found);
        buffers_.erase(link);
        unidentified_.erase(link);
        identified_.erase(link);
        pongAt_.erase(link);
        if (links_.erase(link) > 0 && !stopping_) {
            events_.closed_(link);
        }
    }

    void onMessage(const Handle &handle, const Server::message_ptr &message)
    {
        const auto found = ids_.find(handle);
        if (found != ids_.end() && links_.count(found->second) != 0) {
            events_.received_(found->second, message->get_payload());
        }
    }

    // Whether to answer a ping. A peer that sends pings and does not read would fill the send buffer with pongs; an answer to the latest
    // ping is enough (RFC 6455, 5.5.3).
    bool onPing(const Handle &handle)
    {
        constexpr Millis minPongInterval{1000};
        const auto found = ids_.find(handle);
        if (found == ids_.end()) {
            return false;
        }
        const auto [last, isFirst] = pongAt_.try_emplace(found->second, bootClock());
        if (!isFirst && bootClock() < last->second + minPongInterval) {
            return false;
        }
        last->second = bootClock();
        return true;
    }

    void dropUnidentified(LinkId link)
    {
        const auto found = unidentified_.find(link);
        if (found == unidentified_.end()) {
            return;
        }
        const Handle handle = found->second;
        unidentified_.erase(found);
        closeSocket(handle);
    }

    void reportRefusal(const std::string &reason) const
    {
        if (events_.refused_) {
            events_.refused_(reason);
        }
    }

    LinkLimits limits_;
    LinkEvents events_;
    Server server_;
    /// Ids by connection, from its acceptance to its end.
    std::map<Handle, LinkId, std::owner_less<Handle>> ids_;
    /// Open links by id.
    std::unordered_map<LinkId, Handle> links_;
    /// Connections whose handshake is in progress and links that are not identified, the oldest first.
    std::map<LinkId, Handle> unidentified_;
    /// Frames of connections that take from LinkLimits::buffers_.
    std::map<LinkId, std::pair<std::shared_ptr<LinkBuffers>, Handle>> buffers_;
    /// A subset of links_.
    std::unordered_set<LinkId> identified_;
    /// When the latest pong was sent on each link that has received a ping.
    std::unordered_map<LinkId, Millis> pongAt_;
    LinkId nextLink_ = 1;
    bool stopping_ = false;
};

LinkServer::LinkServer(boost::asio::io_context &io, const LinkLimits &limits, LinkEvents events)
    : state_(std::make_unique<State>(limits, std::move(events)))
{
    Server &server = state_->server_;
    prepareEndpoint(server, io, limits.maxUnidentifiedFrameBytes_);
    server.set_reuse_addr(true);
    server.set_open_handshake_timeout(limits.identificationTimeout_.count_);
    // An upgrade has no body; the library accepts 32 MB. It limits the header to 16,000 bytes.
    server.set_max_http_body_size(0);
    server.set_tcp_pre_init_handler([this](const Handle &handle) { state_->onConnected(handle); });
    server.set_fail_handler([this](const Handle &handle) { state_->onHandshakeFailed(handle); });
    server.set_open_handler([this](const Handle &handle) { state_->onOpened(handle); });
    server.set_close_handler([this](const Handle &handle) { state_->onClosed(handle); });
    server.set_ping_handler([this](const Handle &handle, const std::string & /*payload*/) { return state_->onPing(handle); });
    server.set_message_handler([this](const Handle &handle, const Server::message_ptr &message) { state_->onMessage(handle, message); });
}

LinkServer::~LinkServer() = default;

Result<std::uint16_t> LinkServer::listen(const Address &address)
{
    boost::system::error_code addressError;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.host_, addressError), address.port_);
    if (addressError) {
        return Error{Code::CannotListen, format(address) + ": " + addressError.message()};
    }
    websocketpp::lib::error_code error;
    state_->server_.listen(endpoint, error);
    if (!error) {
        state_->server_.start_accept(error);
    }
    if (error) {
        return Error{Code::CannotListen, format(address) + ": " + error.message()};
    }
    return state_->server_.get_local_endpoint(addressError).port();
}

bool LinkServer::send(LinkId link, std::string_view frame)
{
    const auto found = state_->links_.find(link);
    if (found == state_->links_.end()) {
        return false;
    }
    websocketpp::lib::error_code error;
    const auto connection = state_->server_.get_con_from_hdl(found->second, error);
    if (error) {
        return false;
    }
    if (connection->get_buffered_amount() > state_->limits_.maxBufferedBytes_) {
        close(link);
        return false;
    }
    error = connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
    return !error;
}

std::size_t LinkServer::unsentBytes(LinkId link) const
{
    const auto found = state_->links_.find(link);
    if (found == state_->links_.end()) {
        return 0;
    }
    websocketpp::lib::error_code error;
    const auto connection = state_->server_.get_con_from_hdl(found->second, error);
    return error ? 0 : connection->get_buffered_amount();
}

bool LinkServer::identify(LinkId link)
{
    const auto found = state_->links_.find(link);
    if (found == state_->links_.end() || state_->unidentified_.count(link) == 0) {
        return found != state_->links_.end() && state_->identified_.count(link) != 0;
    }
    if (state_->identified_.size() >= state_->limits_.maxLinks_) {
        state_->reportRefusal("too many links");
        state_->dropUnidentified(link);
        return false;
    }
    websocketpp::lib::error_code error;
    const auto connection = state_->server_.get_con_from_hdl(found->second, error);
    if (error) {
        return false;
    }
    connection->set_max_message_size(state_->limits_.maxFrameBytes_);
    state_->unidentified_.erase(link);
    state_->identified_.insert(link);
    return true;
}

void LinkServer::close(LinkId link)
{
    const auto found = state_->links_.find(link);
    if (found == state_->links_.end()) {
        return;
    }
    websocketpp::lib::error_code ignored;
    state_->server_.close(found->second, websocketpp::close::status::going_away, "", ignored);
}

void LinkServer::drop(LinkId link)
{
    const auto found = state_->links_.find(link);
    if (found != state_->links_.end()) {
        state_->closeSocket(found->second);
    }
}

void LinkServer::stop()
{
    state_->stopping_ = true;
    websocketpp::lib::error_code ignored;
    state_->server_.stop_listening(ignored);
    for (const auto &[link, handle] : state_->links_) {
        state_->server_.close(handle, websocketpp::close::status::going_away, "", ignored);
    }
}

} // namespace ibiswall
