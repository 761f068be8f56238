// Sends mutated bytes to an HTTP server and to a link server over loopback: afterwards each must still serve a valid client.

#include "../environment.hpp"
#include "../mutation.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <ibiswall/net.hpp>

namespace ibiswall {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Millis idleTimeout{100};

// A connection takes longer than a call of a parser.
unsigned connectionCount()
{
    constexpr unsigned inCi = 400;
    return numberFromEnvironment("IBISWALL_CONNECTIONS", inCi);
}

// Sends the bytes, shuts down the sending direction and reads until the server closes the connection.
std::string exchange(boost::asio::io_context &io, std::uint16_t port, const std::string &bytes)
{
    tcp::socket socket(io);
    error_code error;
    socket.connect({boost::asio::ip::address_v4::loopback(), port}, error);
    std::string received;
    bool closed = false;
    boost::asio::async_write(socket, boost::asio::buffer(bytes), [&socket](error_code failed, std::size_t /*sent*/) {
        error_code ignored;
        if (!failed) {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
    });
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(received),
                            [&closed](error_code /*error*/, std::size_t /*bytes*/) { closed = true; });
    while (!closed) {
        io.run_one();
    }
    socket.close(error);
    // Completes the handlers that refer to the socket and the strings.
    io.poll();
    return received;
}

void sendMutations(boost::asio::io_context &io, std::uint16_t port, const std::vector<std::string> &valid)
{
    for (unsigned seed = firstSeed(); seed < firstSeed() + connectionCount(); ++seed) {
        std::minstd_rand random(seed);
        random.discard(16);
        std::string bytes;
        for (std::size_t i = 1 + random() % 3; i > 0; --i) {
            bytes += mutate(valid[random() % valid.size()], random);
        }
        exchange(io, port, bytes);
    }
}

const std::string upgrade = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

// A masked frame with a mask of zero.
std::string frame(char head, const std::string &payload)
{
    return std::string{head, static_cast<char>(0x80U | payload.size())} + std::string(4, '\0') + payload;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fuzz_sockets)

BOOST_AUTO_TEST_CASE(http_server)
{
    boost::asio::io_context io;
    HttpLimits limits;
    limits.maxBody_ = 4096;
    limits.idleTimeout_ = idleTimeout;
    HttpServer server(io, limits, [](const HttpRequest &request, const Respond &respond) { respond(jsonReply(200, request.body_)); });
    const std::uint16_t port = server.listen({"127.0.0.1", 0}).value();
    const std::string head = "POST /jobs/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 1500\r\n";
    sendMutations(io, port,
                  {head + "Content-Length: 11\r\n\r\n{\"spec\":1}\n",
                   head + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nx-a: b\r\n\r\n",
                   "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n", "HEAD / HTTP/1.0\r\n\r\n"});
    const std::string reply = exchange(io, port, head + "Content-Length: 2\r\nConnection: close\r\n\r\nok");
    BOOST_TEST(reply.rfind("HTTP/1.1 200", 0) == 0U, reply);
}

BOOST_AUTO_TEST_CASE(link_server)
{
    boost::asio::io_context io;
    LinkLimits limits;
    limits.identificationTimeout_ = idleTimeout;
    std::string received;
    LinkServer server(io, limits, {[](LinkId) {}, [](LinkId) {}, [&received](LinkId, std::string_view bytes) { received = bytes; }, {}});
    const std::uint16_t port = server.listen({"127.0.0.1", 0}).value();
    constexpr char binary = '\x82';
    constexpr char firstFragment = '\x02';
    constexpr char lastFragment = '\x80';
    constexpr char ping = '\x89';
    constexpr char close = '\x88';
    sendMutations(io, port,
                  {upgrade, upgrade + frame(binary, "hello"), upgrade + frame(firstFragment, "a") + frame(lastFragment, "b"),
                   upgrade + frame(ping, "x") + frame(close, "\x03\xe8")});
    received.clear();
    exchange(io, port, upgrade + frame(binary, "hello"));
    BOOST_TEST(received == "hello");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
