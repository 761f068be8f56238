// Tests that the result of a pooled call distinguishes whether the server may have received the request.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <ibiswall/net.hpp>

namespace ibiswall {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Millis farFuture{1000000};

// A server for requests without a body. While replying_ is false, it closes the connection instead of replying.
class FakeServer
{
public:
    explicit FakeServer(boost::asio::io_context &io)
        : acceptor_(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    Address address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    void closeConnections()
    {
        for (const auto &socket : sockets_) {
            error_code ignored;
            socket->close(ignored);
        }
    }

    void stop()
    {
        error_code ignored;
        acceptor_.close(ignored);
        closeConnections();
    }

    bool replying_ = true;
    int requests_ = 0;
    int connections_ = 0;

private:
    void accept()
    {
        auto socket = std::make_shared<tcp::socket>(acceptor_.get_executor());
        acceptor_.async_accept(*socket, [this, socket](error_code error) {
            if (error) {
                return;
            }
            ++connections_;
            sockets_.push_back(socket);
            read(socket);
            accept();
        });
    }

    void read(const std::shared_ptr<tcp::socket> &socket)
    {
        auto buffer = std::make_shared<std::string>();
        boost::asio::async_read_until(*socket, boost::asio::dynamic_buffer(*buffer), "\r\n\r\n",
                                      [this, socket, buffer](error_code error, std::size_t /*size*/) {
                                          if (!error) {
                                              ++requests_;
                                              reply(socket);
                                          }
                                      });
    }

    void reply(const std::shared_ptr<tcp::socket> &socket)
    {
        static const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        error_code ignored;
        if (!replying_) {
            socket->close(ignored);
            return;
        }
        boost::asio::write(*socket, boost::asio::buffer(ok), ignored);
        read(socket);
    }

    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

struct HttpPoolFixture
{
    // Makes one call and runs the event loop until it has finished.
    PoolResult call(Millis startBy = bootClock() + farFuture)
    {
        PoolCall request;
        request.path_ = "/run";
        request.startBy_ = startBy;
        std::optional<PoolResult> answer;
        pool_.call(std::move(request), [&answer](PoolResult result) { answer = std::move(result); });
        io_.restart();
        while (!answer) {
            io_.run_one();
        }
        return *answer;
    }

    boost::asio::io_context io_{1};
    FakeServer server_{io_};
    HttpPool pool_{io_, server_.address(), 1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(httppool, HttpPoolFixture)

BOOST_AUTO_TEST_CASE(reuses_connection)
{
    BOOST_TEST((call().code_ == Code::Ok));
    BOOST_TEST((call().code_ == Code::Ok));
    BOOST_TEST(server_.requests_ == 2);
    BOOST_TEST(server_.connections_ == 1);
}

BOOST_AUTO_TEST_CASE(does_not_reuse_closed_connection)
{
    BOOST_TEST((call().code_ == Code::Ok));
    server_.closeConnections();
    BOOST_TEST((call().code_ == Code::Ok));
    BOOST_TEST(server_.requests_ == 2);
    BOOST_TEST(server_.connections_ == 2);
}

BOOST_AUTO_TEST_CASE(request_without_reply_may_have_run)
{
    BOOST_TEST((call().code_ == Code::Ok));
    server_.replying_ = false;
    BOOST_TEST((call().code_ == Code::ConnectionLost));
    BOOST_TEST(server_.requests_ == 2);
}

BOOST_AUTO_TEST_CASE(refused_connection_sends_nothing)
{
    server_.stop();
    BOOST_TEST((call().code_ == Code::ConnectRefused));
    BOOST_TEST(server_.requests_ == 0);
}

BOOST_AUTO_TEST_CASE(sends_nothing_after_start_deadline)
{
    BOOST_TEST((call(bootClock()).code_ == Code::NoLease));
    io_.poll();
    BOOST_TEST(server_.requests_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
