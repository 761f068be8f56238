// Tests that an exception in a handler does not end the event loop.

#include "eventloop.hpp"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

namespace ibiswall::node {

BOOST_AUTO_TEST_SUITE(event_loop)

BOOST_AUTO_TEST_CASE(continues_after_an_exception_in_a_handler)
{
    boost::asio::io_context io;
    int handled = 0;
    for (int i = 0; i < 3; ++i) {
        boost::asio::post(io, [] { throw std::out_of_range("unexpected"); });
        boost::asio::post(io, [&handled] { ++handled; });
    }
    runEventLoop(io);
    BOOST_TEST(handled == 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
