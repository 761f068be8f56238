// Setup of websocketpp endpoints, shared by link client and link server.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <websocketpp/common/connection_hdl.hpp>
#include <websocketpp/logger/levels.hpp>

namespace ibiswall {

/// Binds an endpoint to an event loop, disables the library's logs and sets TCP_NODELAY on its sockets.
template<typename Endpoint>
void prepareEndpoint(Endpoint &endpoint, boost::asio::io_context &io, std::size_t maxFrame)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.set_max_message_size(maxFrame);
    endpoint.init_asio(&io);
    endpoint.set_tcp_post_init_handler([&endpoint](const websocketpp::connection_hdl &handle) {
        boost::system::error_code ignored;
        endpoint.get_con_from_hdl(handle)->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    });
}

} // namespace ibiswall
