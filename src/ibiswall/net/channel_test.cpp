// Checks the order of values on a channel, and the call that follows those that waited together.

#include <boost/test/unit_test.hpp>
#include <ibiswall/net.hpp>

namespace ibiswall {

namespace {

struct Receiver
{
    std::string seen_;
    boost::asio::io_context io_{1};
    Channel<char> channel_{io_, 4, [this](char &&value) { seen_ += value; },
                           [this] {
                               seen_ += '.';
                           }};

    void run()
    {
        io_.run();
        io_.restart();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(channel)

BOOST_AUTO_TEST_CASE(values_that_wait_together_are_followed_by_one_call)
{
    Receiver receiver;
    receiver.channel_.push('a');
    receiver.channel_.push('b');
    receiver.run();
    BOOST_TEST(receiver.seen_ == "ab.");
    receiver.channel_.push('c');
    receiver.run();
    BOOST_TEST(receiver.seen_ == "ab.c.");
}

BOOST_AUTO_TEST_CASE(a_full_ring_refuses_and_loses_nothing)
{
    Receiver receiver;
    for (const char value : {'a', 'b', 'c', 'd'}) {
        BOOST_TEST(receiver.channel_.push(value));
    }
    BOOST_TEST(!receiver.channel_.push('e'));
    receiver.run();
    BOOST_TEST(receiver.seen_ == "abcd.");
}

BOOST_AUTO_TEST_CASE(handling_a_value_has_freed_its_place)
{
    boost::asio::io_context io;
    Channel<int> *sender = nullptr;
    std::vector<int> received;
    Channel<int> channel(io, 2, [&](int &&value) {
        received.push_back(value);
        // Stands for a sender that answers each value at once.
        if (value <= 2) {
            BOOST_TEST(sender->push(value + 2));
        }
    });
    sender = &channel;
    channel.push(1);
    channel.push(2);
    io.run();
    BOOST_TEST(received == (std::vector<int>{1, 2, 3, 4}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
