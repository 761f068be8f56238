// Accepting side of links, on websocketpp.

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

    // Counts a connection before anything is read from it.
    void connected(const Handle &handle)
    {
        if (connecting_.size() + links_.size() >= limits_.maxLinks_) {
            refuse("more than " + std::to_string(limits_.maxLinks_) + " links");
            boost::system::error_code ignored;
            server_.get_con_from_hdl(handle)->get_raw_socket().close(ignored);
            return;
        }
        connecting_.insert(handle);
    }

    void failed(const Handle &handle)
    {
        if (connecting_.erase(handle) > 0) {
            refuse("no websocket: " + server_.get_con_from_hdl(handle)->get_ec().message());
        }
    }

    void open(const Handle &handle)
    {
        connecting_.erase(handle);
        const LinkId link = nextLink_++;
        links_[link] = handle;
        ids_[handle] = link;
        silent_.insert(link);
        server_.set_timer(limits_.firstFrame_.count_, [this, link](const websocketpp::lib::error_code &error) {
            if (!error && silent_.erase(link) > 0) {
                refuse("silent for " + std::to_string(limits_.firstFrame_.count_) + " ms");
                terminate(link);
            }
        });
        events_.opened_(link);
    }

    void closed(const Handle &handle)
    {
        const auto found = ids_.find(handle);
        if (found == ids_.end()) {
            return;
        }
        const LinkId link = found->second;
        ids_.erase(found);
        links_.erase(link);
        silent_.erase(link);
        if (!stopping_) {
            events_.closed_(link);
        }
    }

    void receive(const Handle &handle, const Server::message_ptr &message)
    {
        const auto found = ids_.find(handle);
        if (found != ids_.end()) {
            silent_.erase(found->second);
            events_.received_(found->second, message->get_payload());
        }
    }

    void terminate(LinkId link)
    {
        const auto found = links_.find(link);
        if (found != links_.end()) {
            websocketpp::lib::error_code ignored;
            server_.close(found->second, websocketpp::close::status::policy_violation, "silent", ignored);
        }
    }

    void refuse(const std::string &reason) const
    {
        if (events_.refused_) {
            events_.refused_(reason);
        }
    }

    LinkLimits limits_;
    LinkEvents events_;
    Server server_;
    /// Open links both ways; the two maps hold the same pairs.
    std::unordered_map<LinkId, Handle> links_;
    std::map<Handle, LinkId, std::owner_less<Handle>> ids_;
    /// Connections that are not links yet.
    std::set<Handle, std::owner_less<Handle>> connecting_;
    /// Links that have not sent a frame; all are in links_.
    std::unordered_set<LinkId> silent_;
    LinkId nextLink_ = 1;
    bool stopping_ = false;
};

LinkServer::LinkServer(boost::asio::io_context &io, LinkLimits limits, LinkEvents events)
    : state_(std::make_unique<State>(limits, std::move(events)))
{
    Server &server = state_->server_;
    prepareEndpoint(server, io, limits.maxFrame_);
    server.set_reuse_addr(true);
    server.set_open_handshake_timeout(limits.firstFrame_.count_);
    server.set_tcp_pre_init_handler([this](const Handle &handle) { state_->connected(handle); });
    server.set_fail_handler([this](const Handle &handle) { state_->failed(handle); });
    server.set_open_handler([this](const Handle &handle) { state_->open(handle); });
    server.set_close_handler([this](const Handle &handle) { state_->closed(handle); });
    server.set_message_handler([this](const Handle &handle, const Server::message_ptr &message) { state_->receive(handle, message); });
}

LinkServer::~LinkServer() = default;

Result<std::uint16_t> LinkServer::listen(const Address &address)
{
    boost::system::error_code badAddress;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.host_, badAddress), address.port_);
    if (badAddress) {
        return Error{Code::CannotListen, format(address) + ": " + badAddress.message()};
    }
    websocketpp::lib::error_code error;
    state_->server_.listen(endpoint, error);
    if (!error) {
        state_->server_.start_accept(error);
    }
    if (error) {
        return Error{Code::CannotListen, format(address) + ": " + error.message()};
    }
    return state_->server_.get_local_endpoint(badAddress).port();
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
    if (connection->get_buffered_amount() > state_->limits_.maxBuffered_) {
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
