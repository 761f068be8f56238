// Uses Asio and Beast directly, so that the peers share no code with the program under test.

#include "rawpeer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <chrono>
#include <stdexcept>

namespace ibiswall::system {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds closeTimeout(30);

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

void runUntilClosed(asio::io_context &io, const bool &closed)
{
    io.run_for(closeTimeout);
    if (!closed) {
        throw std::runtime_error("the peer did not close the connection in time");
    }
}

} // namespace

std::string exchangeRaw(std::uint16_t port, std::string_view bytes, AfterSend afterSend)
{
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(loopback(port));
    std::string received;
    bool closed = false;
    asio::async_write(socket, asio::buffer(bytes), [&](error_code error, std::size_t /*bytes*/) {
        if (!error && afterSend == AfterSend::HalfClose) {
            error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
    });
    asio::async_read(socket, asio::dynamic_buffer(received), [&](error_code /*error*/, std::size_t /*bytes*/) {
        closed = true;
        error_code ignored;
        socket.close(ignored);
    });
    runUntilClosed(io, closed);
    return received;
}

void sendFrame(std::uint16_t port, std::string_view frame)
{
    asio::io_context io;
    beast::websocket::stream<tcp::socket> link(io);
    link.next_layer().connect(loopback(port));
    link.binary(true);
    beast::flat_buffer buffer;
    bool closed = false;
    const auto readUntilClosed = [&](const auto &self) -> void {
        link.async_read(buffer, [&, self](error_code error, std::size_t /*bytes*/) {
            closed = static_cast<bool>(error);
            if (!error) {
                self(self);
            }
        });
    };
    link.async_handshake("127.0.0.1", "/", [&](error_code error) {
        closed = static_cast<bool>(error);
        if (error) {
            return;
        }
        if (!frame.empty()) {
            link.async_write(asio::buffer(frame), [](error_code /*error*/, std::size_t /*bytes*/) {});
        }
        readUntilClosed(readUntilClosed);
    });
    runUntilClosed(io, closed);
}

} // namespace ibiswall::system
