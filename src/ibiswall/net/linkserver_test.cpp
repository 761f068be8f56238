// Tests the memory of links with peers that send large frames without completing them.

#include <ibiswall/net/link.hpp>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace ibiswall {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t limit = 1U << 20U;
constexpr std::chrono::milliseconds step(10);

// A server that identifies every link at once.
struct ServerFixture
{
    ServerFixture()
        : budget_(std::make_shared<Budget>(limit))
        , server_(io_,
                  limits(),
                  {[this](LinkId link) {
                       server_.identify(link);
                       ++open_;
                   },
                   [this](LinkId) { --open_; }, [this](LinkId, std::string_view frame) { received_ += frame.size(); },
                   [this](std::string_view) {
                       ++refused_;
                   }})
        , port_(server_.listen({"127.0.0.1", 0}).value())
    {
    }

    LinkLimits limits() const
    {
        LinkLimits limits;
        limits.buffers_ = budget_;
        return limits;
    }

    void runUntil(const std::function<bool()> &done)
    {
        for (int i = 0; i < 1000 && !done(); ++i) {
            io_.run_for(step);
            io_.restart();
        }
        BOOST_TEST(done());
    }

    // Opens a link and sends the begin of a frame of more than 64 KB.
    tcp::socket sendUnfinished(std::size_t announced, std::size_t sent)
    {
        tcp::socket socket(io_);
        socket.connect({boost::asio::ip::address_v4::loopback(), port_});
        std::string bytes = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
        bytes += std::string("\x82\xff\0\0\0\0", 6);
        for (const unsigned shift : {24U, 16U, 8U, 0U}) {
            bytes += static_cast<char>(announced >> shift);
        }
        boost::asio::write(socket, boost::asio::buffer(bytes + std::string(4, '\0') + std::string(sent, 'x')));
        return socket;
    }

    boost::asio::io_context io_;
    std::shared_ptr<Budget> budget_;
    LinkServer server_;
    std::uint16_t port_;
    int open_ = 0;
    int refused_ = 0;
    std::size_t received_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(link_server)

BOOST_AUTO_TEST_CASE(largest_incomplete_frame_gives_way_to_smaller_ones)
{
    ServerFixture fixture;
    const tcp::socket small = fixture.sendUnfinished(limit / 4, 100);
    fixture.runUntil([&] { return fixture.budget_->used() >= limit / 4; });
    const tcp::socket large = fixture.sendUnfinished(limit / 2, 100);
    fixture.runUntil([&] { return fixture.budget_->used() >= limit * 3 / 4; });
    BOOST_TEST(fixture.open_ == 2);
    const tcp::socket other = fixture.sendUnfinished(limit * 3 / 8, 100);
    fixture.runUntil([&] { return fixture.refused_ == 1 && fixture.open_ == 2; });
    BOOST_TEST(fixture.budget_->used() >= limit * 5 / 8);
    BOOST_TEST(fixture.budget_->used() < limit * 3 / 4);
}

BOOST_AUTO_TEST_CASE(small_links_stay_when_others_use_up_the_budget)
{
    ServerFixture fixture;
    BudgetShare others(fixture.budget_);
    others.resize(limit);
    const tcp::socket first = fixture.sendUnfinished(limit / 8, 100);
    const tcp::socket second = fixture.sendUnfinished(limit / 8, 100);
    fixture.runUntil([&] { return fixture.budget_->used() >= limit * 5 / 4; });
    BOOST_TEST(fixture.open_ == 2);
    BOOST_TEST(fixture.refused_ == 0);
}

BOOST_AUTO_TEST_CASE(bytes_are_returned_with_each_frame_and_each_link)
{
    ServerFixture fixture;
    LinkClient client(fixture.io_, {"127.0.0.1", fixture.port_}, fixture.limits(),
                      {[](LinkId) {}, [](LinkId) {}, [](LinkId, std::string_view) {}, {}});
    client.start();
    fixture.runUntil([&] { return fixture.open_ == 1; });
    constexpr std::size_t frames = 20;
    for (std::size_t i = 1; i <= frames; ++i) {
        BOOST_TEST(client.send(std::string(limit / 8, 'x')));
        fixture.runUntil([&] { return fixture.received_ == i * limit / 8; });
    }
    {
        const tcp::socket unfinished = fixture.sendUnfinished(limit / 2, 100);
        fixture.runUntil([&] { return fixture.budget_->used() >= limit / 2; });
    }
    fixture.runUntil([&] { return fixture.budget_->used() < limit / 64; });
    BOOST_TEST(fixture.open_ == 1);
    BOOST_TEST(fixture.refused_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
