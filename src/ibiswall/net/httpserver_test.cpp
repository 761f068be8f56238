// Tests that a handler that fails harms its own request only.

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

} // namespace

BOOST_AUTO_TEST_SUITE(http_server)

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
