// Tests the order of values on a channel, its capacity, and the call after each batch.

#include <boost/test/unit_test.hpp>
#include <ibiswall/net.hpp>

namespace ibiswall {

namespace {

struct Receiver
{
    std::string received_;
    boost::asio::io_context io_{1};
    Channel<char> channel_{io_, 4, [this](char &&value) { received_ += value; },
                           [this] {
                               received_ += '.';
                           }};

    void run()
    {
        io_.run();
        io_.restart();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(channel)

BOOST_AUTO_TEST_CASE(batch_end_is_called_once_for_values_that_waited_together)
{
    Receiver receiver;
    receiver.channel_.push('a');
    receiver.channel_.push('b');
    receiver.run();
    BOOST_TEST(receiver.received_ == "ab.");
    receiver.channel_.push('c');
    receiver.run();
    BOOST_TEST(receiver.received_ == "ab.c.");
}

BOOST_AUTO_TEST_CASE(push_to_full_queue_fails_and_loses_nothing)
{
    Receiver receiver;
    for (const char value : {'a', 'b', 'c', 'd'}) {
        BOOST_TEST(receiver.channel_.push(value));
    }
    BOOST_TEST(!receiver.channel_.push('e'));
    receiver.run();
    BOOST_TEST(receiver.received_ == "abcd.");
}

BOOST_AUTO_TEST_CASE(value_is_removed_before_it_is_handled)
{
    boost::asio::io_context io;
    Channel<int> *sender = nullptr;
    std::vector<int> received;
    Channel<int> channel(io, 2, [&](int &&value) {
        received.push_back(value);
        // Simulates a sender that reacts to each value immediately.
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
