// Tests that a handler that fails harms its own request only, and that clients cannot exceed the limits of a server.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <ibiswall/net.hpp>
#include <stdexcept>

namespace ibiswall {

namespace {

PoolResult callServer(boost::asio::io_context &io, HttpPool &pool, const std::string &path)
{
    PoolCall call;
    call.path_ = path;
    call.timeout_ = {20000};
    std::optional<PoolResult> result;
    pool.call(std::move(call), [&result](PoolResult answer) { result = std::move(answer); });
    while (!result) {
        io.run_one();
    }
    return *result;
}

using boost::asio::ip::tcp;
using boost::system::error_code;

// A client that sends bytes and keeps what it receives until the server closes the connection.
struct RawClient
{
    RawClient(boost::asio::io_context &io, std::uint16_t port, std::string bytes)
        : socket_(io)
        , sent_(std::move(bytes))
    {
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
        boost::asio::async_write(socket_, boost::asio::buffer(sent_), [](error_code, std::size_t) {});
        boost::asio::async_read(socket_, boost::asio::dynamic_buffer(received_), [this](error_code, std::size_t) { closed_ = true; });
    }

    std::string status() const
    {
        constexpr std::size_t statusAt = 9;
        constexpr std::size_t statusLength = 3;
        return received_.size() < statusAt ? std::string() : received_.substr(statusAt, statusLength);
    }

    tcp::socket socket_;
    std::string sent_;
    std::string received_;
    bool closed_ = false;
};

// A server with low limits that keeps the requests for /wait.
struct SmallServer
{
    explicit SmallServer(HttpLimits limits = {})
    {
        limits.maxBody_ = 1000;
        limits.maxHeader_ = 1024;
        limits.maxConnections_ = 2;
        limits.onClosed_ = [this](std::string_view reason) {
            reason_ = reason;
        };
        server_.emplace(io_, limits, [this](const HttpRequest &request, const Respond &respond) {
            ++requests_;
            body_ = request.body_;
            if (request.path_ == "/wait") {
                kept_.push_back(respond);
            } else {
                respond(jsonReply(200, "{}"));
            }
        });
        port_ = server_->listen({"127.0.0.1", 0}).value();
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            io_.run_one();
        }
    }

    // Status of the reply to a client that keeps its side open; empty if the server closes the connection without a reply.
    std::string exchange(const std::string &bytes)
    {
        RawClient client(io_, port_, bytes);
        runUntil([&] { return client.closed_; });
        return client.status();
    }

    boost::asio::io_context io_;
    std::vector<Respond> kept_;
    std::string body_;
    std::string reason_;
    int requests_ = 0;
    std::optional<HttpServer> server_;
    std::uint16_t port_ = 0;
};

std::string repeat(const std::string &text, std::size_t count)
{
    std::string out;
    while (count-- > 0) {
        out += text;
    }
    return out;
}

constexpr const char *chunkedPost = "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(http_server)

BOOST_AUTO_TEST_CASE(trailers_extensions_and_headers_are_limited)
{
    constexpr std::size_t many = 4000;
    SmallServer server;
    BOOST_TEST(server.exchange(std::string(chunkedPost) + "0\r\n" + repeat("X-T: aaaaaaaa\r\n", many)) == "400");
    BOOST_TEST(server.reason_ == "framing");
    BOOST_TEST(server.exchange(std::string(chunkedPost) + "1;x=" + std::string(20 * many, 'a')) == "400");
    BOOST_TEST(server.exchange(std::string(chunkedPost) + repeat("1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n", 900))
               == "400");
    BOOST_TEST(server.exchange("GET / HTTP/1.1\r\n" + repeat("X-H: aaaaaaaa\r\n", many)) == "431");
    BOOST_TEST(server.reason_ == "header");
    BOOST_TEST(server.requests_ == 0);
}

BOOST_AUTO_TEST_CASE(bodies_within_the_limit_are_served_in_any_chunks)
{
    SmallServer server;
    BOOST_TEST(server.exchange(std::string(chunkedPost) + repeat("1\r\nx\r\n", 1000) + "0\r\nX-T: a\r\n\r\n") == "200");
    BOOST_TEST(server.body_ == std::string(1000, 'x'));
    BOOST_TEST(server.exchange(std::string(chunkedPost) + repeat("1\r\nx\r\n", 1001)) == "413");
    BOOST_TEST(server.exchange("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n") == "413");
    BOOST_TEST(server.exchange("\x16\x03\x01\x02\r\n\r\n") == "400");
    BOOST_TEST(server.requests_ == 1);
}

BOOST_AUTO_TEST_CASE(requests_that_never_end_are_closed)
{
    HttpLimits limits;
    limits.idleTimeout_ = {100};
    SmallServer server(limits);
    BOOST_TEST(server.exchange("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nx") == "408");
    BOOST_TEST(server.reason_ == "timeout");
    BOOST_TEST(server.exchange("POST / HT").empty());
    BOOST_TEST(server.exchange("").empty());
}

BOOST_AUTO_TEST_CASE(new_connections_replace_the_one_that_has_waited_longest)
{
    SmallServer server;
    RawClient first(server.io_, server.port_, "POST / HT");
    RawClient second(server.io_, server.port_, "");
    server.runUntil([&] { return server.server_->pending() == 1; });
    BOOST_TEST(server.exchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n") == "200");
    server.runUntil([&] { return first.closed_; });
    BOOST_TEST(first.received_.empty());
    BOOST_TEST(!second.closed_);
    BOOST_TEST(server.reason_ == "replaced");
}

BOOST_AUTO_TEST_CASE(connections_whose_requests_are_handled_are_not_replaced)
{
    SmallServer server;
    const std::string waiting = "GET /wait HTTP/1.1\r\nConnection: close\r\n\r\n";
    RawClient first(server.io_, server.port_, waiting);
    RawClient second(server.io_, server.port_, waiting);
    server.runUntil([&] { return server.kept_.size() == 2; });
    BOOST_TEST(server.exchange("GET / HTTP/1.1\r\n\r\n") == "503");
    BOOST_TEST(server.reason_ == "too_many");
    for (const Respond &respond : server.kept_) {
        respond(jsonReply(200, "{}"));
    }
    server.runUntil([&] { return first.closed_ && second.closed_; });
    BOOST_TEST(first.status() == "200");
    BOOST_TEST(second.status() == "200");
}

BOOST_AUTO_TEST_CASE(the_largest_incomplete_request_leaves_an_exhausted_budget)
{
    HttpLimits limits;
    // Enough for the connections themselves and one body.
    limits.budget_ = std::make_shared<Budget>(2 * 4096 + 4096);
    SmallServer server(limits);
    RawClient large(server.io_, server.port_, std::string(chunkedPost) + "384\r\n" + std::string(900, 'x'));
    // The whole body, the smallest buffer and the connection itself.
    server.runUntil([&] { return limits.budget_->used() > 900 + 512 + 400; });
    const std::size_t used = limits.budget_->used();
    BudgetShare other(limits.budget_);
    other.resize(limits.budget_->limit() - used);
    BOOST_TEST(server.exchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n") == "200");
    server.runUntil([&] { return large.closed_; });
    BOOST_TEST(server.reason_ == "memory");
    other.resize(limits.budget_->limit());
    BOOST_TEST(server.exchange("GET / HTTP/1.1\r\n\r\n") == "503");
    other.resize(0);
    server.runUntil([&] { return limits.budget_->used() == 0; });
}

BOOST_AUTO_TEST_CASE(exception_in_a_handler_answers_its_request)
{
    constexpr int ok = 200;
    constexpr int unknown = 504;
    boost::asio::io_context io;
    std::string reported;
    HttpLimits limits;
    limits.onHandlerFailure_ = [&reported](std::string_view reason) {
        reported = reason;
    };
    Respond kept;
    HttpServer server(io, limits, [&kept](const HttpRequest &request, const Respond &respond) {
        if (request.path_ == "/bad") {
            kept = respond;
            throw std::out_of_range("unexpected value");
        }
        respond(jsonReply(ok, "{}"));
    });
    HttpPool pool(io, {"127.0.0.1", server.listen({"127.0.0.1", 0}).value()}, 1);
    const PoolResult bad = callServer(io, pool, "/bad");
    BOOST_TEST(bad.status_ == unknown);
    BOOST_TEST(bad.body_.find("305") != std::string::npos);
    BOOST_TEST(reported == "unexpected value");
    // The handler has already been answered for, so a later answer is ignored.
    kept(jsonReply(ok, "{}"));
    BOOST_TEST(callServer(io, pool, "/good").status_ == ok);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
