// Accepting side of links, based on websocketpp.

#include <ibiswall/net/link.hpp>

#include "endpoint.hpp"
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

namespace ibiswall {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Handle = websocketpp::connection_hdl;

} // namespace

struct LinkServer::State
{
    State(LinkLimits limits, LinkEvents events)
        : limits_(limits)
        , events_(std::move(events))
    {
    }

    // Applies the connection limit before anything is read from a connection.
    void onConnected(const Handle &handle)
    {
        if (handshaking_.size() + links_.size() >= limits_.maxLinks_) {
            reportRefusal("more than " + std::to_string(limits_.maxLinks_) + " links");
            boost::system::error_code ignored;
            server_.get_con_from_hdl(handle)->get_raw_socket().close(ignored);
            return;
        }
        handshaking_.insert(handle);
    }

    void onHandshakeFailed(const Handle &handle)
    {
        if (handshaking_.erase(handle) > 0) {
            reportRefusal("WebSocket handshake failed: " + server_.get_con_from_hdl(handle)->get_ec().message());
        }
    }

    void onOpened(const Handle &handle)
    {
        handshaking_.erase(handle);
        const LinkId link = nextLink_++;
        links_[link] = handle;
        ids_[handle] = link;
        awaitingFirstFrame_.insert(link);
        server_.set_timer(limits_.firstFrameTimeout_.count_, [this, link](const websocketpp::lib::error_code &error) {
            if (!error && awaitingFirstFrame_.erase(link) > 0) {
                reportRefusal("no frame within " + std::to_string(limits_.firstFrameTimeout_.count_) + " ms");
                closeWithoutFirstFrame(link);
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
        links_.erase(link);
        awaitingFirstFrame_.erase(link);
        if (!stopping_) {
            events_.closed_(link);
        }
    }

    void onMessage(const Handle &handle, const Server::message_ptr &message)
    {
        const auto found = ids_.find(handle);
        if (found != ids_.end()) {
            awaitingFirstFrame_.erase(found->second);
            events_.received_(found->second, message->get_payload());
        }
    }

    void closeWithoutFirstFrame(LinkId link)
    {
        const auto found = links_.find(link);
        if (found != links_.end()) {
            websocketpp::lib::error_code ignored;
            server_.close(found->second, websocketpp::close::status::policy_violation, "silent", ignored);
        }
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
    /// Open links by id, and ids by connection; both maps hold the same pairs.
    std::unordered_map<LinkId, Handle> links_;
    std::map<Handle, LinkId, std::owner_less<Handle>> ids_;
    /// Connections whose handshake is in progress.
    std::set<Handle, std::owner_less<Handle>> handshaking_;
    /// Links that have not sent a frame; a subset of links_.
    std::unordered_set<LinkId> awaitingFirstFrame_;
    LinkId nextLink_ = 1;
    bool stopping_ = false;
};

LinkServer::LinkServer(boost::asio::io_context &io, LinkLimits limits, LinkEvents events)
    : state_(std::make_unique<State>(limits, std::move(events)))
{
    Server &server = state_->server_;
    prepareEndpoint(server, io, limits.maxFrameBytes_);
    server.set_reuse_addr(true);
    server.set_open_handshake_timeout(limits.firstFrameTimeout_.count_);
    server.set_tcp_pre_init_handler([this](const Handle &handle) { state_->onConnected(handle); });
    server.set_fail_handler([this](const Handle &handle) { state_->onHandshakeFailed(handle); });
    server.set_open_handler([this](const Handle &handle) { state_->onOpened(handle); });
    server.set_close_handler([this](const Handle &handle) { state_->onClosed(handle); });
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
    if (found == state_->links_.end()) {
        return;
    }
    websocketpp::lib::error_code error;
    const auto connection = state_->server_.get_con_from_hdl(found->second, error);
    if (!error) {
        boost::system::error_code ignored;
        connection->get_raw_socket().close(ignored);
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
