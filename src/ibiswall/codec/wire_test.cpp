// Tests that messages round-trip through frames and that malformed frames are rejected.

#include <boost/test/unit_test.hpp>
#include <ibiswall/codec.hpp>

namespace ibiswall {

namespace {

std::vector<Message> sampleMessages()
{
    return {
        AgentHello{protocolVersion, {{"a", 5}, {"t", "w", "d"}, 8, 16}},
        LeaseRenewal{1, 2},
        TaskReports{{{{"job", 3}, {TaskState::MayHaveRun, Code::ConnectionLost, "x"}}}},
        AgentDraining{},
        Orders{{{{"job", 3}, "note", "payload", {500}}}},
        LeaseGrant{1, 2, true, {300}},
        PeerHello{protocolVersion, {"entry-1", 9}},
        RelayRequest{1, RelayOp::Cancel, "id", "member", "body"},
        RelayReply{1, 200, "body"},
        PeerStatusRequest{7, 3},
        PeerStatusReply{7, 4, true},
        PeerChanges{{{4, "id", "ops", "why", {5}, {IntentOp::DomainOut, "east", {}, {}}, "before", "after"}}},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire)

BOOST_AUTO_TEST_CASE(every_message_round_trips)
{
    for (const Message &message : sampleMessages()) {
        const std::string frame = encode(message);
        const auto back = decode(frame);
        BOOST_REQUIRE(back.has_value());
        BOOST_TEST(back.value().index() == message.index());
        BOOST_TEST(encode(back.value()) == frame);
    }
}

BOOST_AUTO_TEST_CASE(rejects_truncated_frames)
{
    for (const Message &message : sampleMessages()) {
        const std::string frame = encode(message);
        for (std::size_t size = 0; size < frame.size(); ++size) {
            BOOST_TEST(decode(std::string_view(frame).substr(0, size)).has_error());
        }
    }
}

BOOST_AUTO_TEST_CASE(rejects_wrong_types)
{
    BOOST_TEST(decode("\x82\x18\x63\x80").has_error()); // unknown tag 99
    BOOST_TEST(decode("\x82\x05\x80").has_error()); // lease grant without fields
    BOOST_TEST(decode("\x01").has_error()); // not an array
}

BOOST_AUTO_TEST_CASE(rejects_trailing_bytes)
{
    for (const Message &message : sampleMessages()) {
        BOOST_TEST(decode(encode(message) + '\0').has_error());
    }
}

BOOST_AUTO_TEST_CASE(rejects_deep_nesting)
{
    constexpr std::size_t depth = 4000000;
    BOOST_TEST(decode(std::string(depth, '\x81')).has_error());
    BOOST_TEST(decode(std::string(depth, '\x9f')).has_error());
}

BOOST_AUTO_TEST_CASE(rejects_huge_sizes_without_allocating)
{
    using namespace std::string_view_literals;
    BOOST_TEST(decode("\x9b\x00\x00\x00\xff\xff\xff\xff\xff"sv).has_error()); // array of 2^40 items
    BOOST_TEST(decode("\x7b\x00\x00\x00\xff\xff\xff\xff\xff"sv).has_error()); // text of 2^40 bytes
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
