// Tests links over loopback: direct and relayed paths, and reconnects.

#include "mesh.hpp"
#include "meshwire.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace ibiswall::node {

namespace {

// A process of a cell that only has links.
struct TestNode
{
    TestNode(boost::asio::io_context &io, const std::string &name, bool isEntry, Millis linkTimeout = MeshSettings().linkTimeout_)
        : mesh_(io,
                settingsOf(name, isEntry, linkTimeout),
                {[this](const Peer &peer) { upEvents_.push_back(peer.name_); },
                 [this](const std::string &peer) { downEvents_.push_back(peer); },
                 [this](const std::string &from, std::string_view frame) {
                     received_.emplace_back(from, frame);
                 }})
    {
        if (isEntry) {
            address_ = {"127.0.0.1", mesh_.listen().value()};
        }
    }

    static MeshSettings settingsOf(const std::string &name, bool isEntry, Millis linkTimeout)
    {
        MeshSettings settings;
        settings.self_ = {name, 1, isEntry, 0};
        settings.listen_ = {"127.0.0.1", 0};
        settings.linkTimeout_ = linkTimeout;
        return settings;
    }

    Mesh mesh_;
    Address address_;
    std::vector<std::string> upEvents_;
    std::vector<std::string> downEvents_;
    std::vector<std::pair<std::string, std::string>> received_;
};

// Forwards one connection to an address until it is silenced; then it keeps the connection open and forwards nothing.
class Proxy
{
public:
    using Tcp = boost::asio::ip::tcp;

    Proxy(boost::asio::io_context &io, const Address &target)
        : acceptor_(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , client_(io)
        , server_(io)
    {
        acceptor_.async_accept(client_, [this, target](boost::system::error_code error) {
            if (!error) {
                server_.connect(Tcp::endpoint(boost::asio::ip::make_address(target.host_), target.port_), error);
                forward(client_, server_, toServer_);
                forward(server_, client_, toClient_);
            }
        });
    }

    Address address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    bool silenced_ = false;

private:
    using Buffer = std::array<char, 65536>;

    void forward(Tcp::socket &from, Tcp::socket &to, Buffer &buffer)
    {
        from.async_read_some(boost::asio::buffer(buffer), [this, &from, &to, &buffer](boost::system::error_code error, std::size_t bytes) {
            if (error) {
                return;
            }
            if (!silenced_) {
                boost::asio::write(to, boost::asio::buffer(buffer.data(), bytes), error);
            }
            forward(from, to, buffer);
        });
    }

    Tcp::acceptor acceptor_;
    Tcp::socket client_;
    Tcp::socket server_;
    Buffer toServer_{};
    Buffer toClient_{};
};

// Runs the event loop until the condition holds, for at most 20 s so that a failing test ends.
template<typename Condition>
bool runUntil(boost::asio::io_context &io, Condition condition)
{
    const Millis until = bootClock() + Millis{20000};
    while (!condition() && bootClock() < until) {
        io.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
}

} // namespace

BOOST_AUTO_TEST_SUITE(mesh)

BOOST_AUTO_TEST_CASE(sends_frames_over_a_direct_link)
{
    boost::asio::io_context io;
    TestNode entry(io, "e1", true);
    TestNode agent(io, "a1", false);
    agent.mesh_.setEntries({{"e1", entry.address_}});
    BOOST_TEST(runUntil(io, [&] { return entry.mesh_.isReachable("a1") && agent.mesh_.isReachable("e1"); }));
    BOOST_TEST(agent.mesh_.send("e1", "hello"));
    BOOST_TEST(runUntil(io, [&] { return !entry.received_.empty(); }));
    BOOST_TEST(entry.received_[0].first == "a1");
    BOOST_TEST(entry.received_[0].second == "hello");
    BOOST_TEST(!agent.mesh_.send("e9", "nobody"));
}

BOOST_AUTO_TEST_CASE(relays_frames_through_an_entry_without_a_direct_path)
{
    boost::asio::io_context io;
    TestNode middle(io, "e1", true);
    TestNode far(io, "e2", true);
    TestNode agent(io, "a1", false);
    middle.mesh_.setEntries({{"e2", far.address_}});
    agent.mesh_.setEntries({{"e1", middle.address_}});
    BOOST_TEST(runUntil(io, [&] { return agent.mesh_.isReachable("e1") && far.mesh_.isReachable("a1"); }));
    // An agent knows no path to an entry that has not sent it anything.
    BOOST_TEST(!agent.mesh_.send("e2", "too early"));
    BOOST_TEST(far.mesh_.send("a1", "over"));
    BOOST_TEST(runUntil(io, [&] { return !agent.received_.empty(); }));
    BOOST_TEST(agent.received_[0].first == "e2");
    BOOST_TEST(agent.received_[0].second == "over");
    BOOST_TEST(agent.mesh_.send("e2", "back"));
    BOOST_TEST(runUntil(io, [&] { return !far.received_.empty(); }));
    BOOST_TEST(far.received_[0].first == "a1");
    BOOST_TEST(far.received_[0].second == "back");
}

BOOST_AUTO_TEST_CASE(reconnects_a_dropped_link_and_reports_it)
{
    boost::asio::io_context io;
    TestNode entry(io, "e1", true);
    TestNode agent(io, "a1", false);
    agent.mesh_.setEntries({{"e1", entry.address_}});
    BOOST_TEST(runUntil(io, [&] { return entry.mesh_.isReachable("a1"); }));
    const std::size_t before = entry.upEvents_.size();
    entry.mesh_.drop("a1");
    BOOST_TEST(runUntil(io, [&] { return entry.upEvents_.size() > before && agent.upEvents_.size() > 1; }));
    BOOST_TEST(agent.mesh_.send("e1", "again"));
    BOOST_TEST(runUntil(io, [&] { return !entry.received_.empty(); }));
}

BOOST_AUTO_TEST_CASE(disconnects_from_a_removed_entry)
{
    boost::asio::io_context io;
    TestNode entry(io, "e1", true);
    TestNode agent(io, "a1", false);
    agent.mesh_.setEntries({{"e1", entry.address_}});
    BOOST_TEST(runUntil(io, [&] { return entry.mesh_.isReachable("a1"); }));
    agent.mesh_.setEntries({});
    BOOST_TEST(runUntil(io, [&] { return !entry.mesh_.isReachable("a1"); }));
    BOOST_TEST(entry.downEvents_.size() == 1U);
}

// An agent that only its direct connection to the leader cuts off keeps its lease: both ends use a relay before the link times out.
BOOST_AUTO_TEST_CASE(frames_bypass_a_silent_direct_link)
{
    boost::asio::io_context io;
    constexpr Millis never{3600000};
    TestNode middle(io, "e1", true, never);
    TestNode far(io, "e2", true, never);
    TestNode agent(io, "a1", false, never);
    middle.mesh_.setEntries({{"e2", far.address_}});
    Proxy proxy(io, far.address_);
    agent.mesh_.setEntries({{"e1", middle.address_}, {"e2", proxy.address()}});
    BOOST_TEST(runUntil(io, [&] { return agent.mesh_.isReachable("e1") && agent.mesh_.isReachable("e2") && far.mesh_.isReachable("e1"); }));
    BOOST_TEST(runUntil(io, [&] { return far.mesh_.isReachable("a1"); }));
    proxy.silenced_ = true;
    const std::size_t changes = far.upEvents_.size();
    const auto exchange = [&] {
        agent.mesh_.send("e2", "ping");
        for (; !far.received_.empty(); far.received_.clear()) {
            far.mesh_.send("a1", "pong");
        }
        return !agent.received_.empty();
    };
    BOOST_REQUIRE(runUntil(io, exchange));
    BOOST_TEST(agent.received_[0].second == "pong");
    BOOST_TEST(far.upEvents_.size() == changes);
}

// When a leader's machine loses power, its successor must not choose it as the relay to the agents that were linked to it.
BOOST_AUTO_TEST_CASE(frames_bypass_a_silent_relay)
{
    boost::asio::io_context io;
    constexpr Millis never{3600000};
    TestNode lost(io, "e1", true, never);
    TestNode other(io, "e2", true, never);
    TestNode far(io, "e3", true, never);
    TestNode agent(io, "a1", false, never);
    Proxy proxy(io, far.address_);
    lost.mesh_.setEntries({{"e3", proxy.address()}});
    agent.mesh_.setEntries({{"e1", lost.address_}});
    BOOST_TEST(runUntil(io, [&] { return far.mesh_.isReachable("a1"); }));
    other.mesh_.setEntries({{"e3", far.address_}});
    agent.mesh_.setEntries({{"e1", lost.address_}, {"e2", other.address_}});
    BOOST_TEST(runUntil(io, [&] { return far.mesh_.isReachable("e2") && other.mesh_.isReachable("a1"); }));
    proxy.silenced_ = true;
    BOOST_TEST(runUntil(io, [&] {
        far.mesh_.send("a1", "lead");
        return !agent.received_.empty();
    }));
}

// An entry that has lost its link to the peer drops the frames for it.
BOOST_AUTO_TEST_CASE(relay_that_has_lost_the_peer_is_not_used)
{
    boost::asio::io_context io;
    TestNode one(io, "e1", true);
    TestNode two(io, "e2", true);
    TestNode far(io, "e3", true);
    TestNode agent(io, "a1", false);
    one.mesh_.setEntries({{"e3", far.address_}});
    two.mesh_.setEntries({{"e3", far.address_}});
    agent.mesh_.setEntries({{"e1", one.address_}});
    BOOST_TEST(runUntil(io, [&] { return far.mesh_.isReachable("a1"); }));
    BOOST_TEST(far.mesh_.send("a1", "over"));
    BOOST_TEST(runUntil(io, [&] { return !agent.received_.empty(); }));
    BOOST_TEST(agent.mesh_.send("e3", "back"));
    BOOST_TEST(runUntil(io, [&] { return !far.received_.empty(); }));
    // The agent moves to another entry, which announces it before the first one has lost it, and sends nothing from there.
    agent.mesh_.setEntries({{"e1", one.address_}, {"e2", two.address_}});
    const Millis announced = bootClock() + Millis{300};
    runUntil(io, [&] { return two.mesh_.isReachable("a1") && bootClock() > announced; });
    agent.mesh_.setEntries({{"e2", two.address_}});
    BOOST_TEST(runUntil(io, [&] { return !one.mesh_.isReachable("a1") && two.mesh_.isReachable("a1"); }));
    agent.received_.clear();
    BOOST_TEST(runUntil(io, [&] {
        far.mesh_.send("a1", "again");
        return !agent.received_.empty();
    }));
}

// Frames that a relay has received and not delivered are lost with it, whether or not it is the preferred path.
BOOST_AUTO_TEST_CASE(loss_of_a_relay_in_use_is_reported_at_both_ends)
{
    boost::asio::io_context io;
    TestNode one(io, "e1", true);
    TestNode two(io, "e2", true);
    TestNode far(io, "e3", true);
    TestNode agent(io, "a1", false);
    one.mesh_.setEntries({{"e3", far.address_}});
    two.mesh_.setEntries({{"e3", far.address_}});
    agent.mesh_.setEntries({{"e1", one.address_}, {"e2", two.address_}});
    BOOST_TEST(runUntil(io, [&] {
        return far.mesh_.isReachable("e1") && far.mesh_.isReachable("e2") && far.mesh_.isReachable("a1") && two.mesh_.isReachable("a1")
            && one.mesh_.isReachable("a1");
    }));
    BOOST_TEST(far.mesh_.send("a1", "over"));
    BOOST_TEST(runUntil(io, [&] { return !agent.received_.empty(); }));
    BOOST_TEST(agent.mesh_.send("e3", "back"));
    BOOST_TEST(runUntil(io, [&] { return !far.received_.empty(); }));
    const auto reports = [](const TestNode &node, const std::string &name) {
        return std::count(node.upEvents_.begin(), node.upEvents_.end(), name);
    };
    const auto before = reports(far, "a1");
    for (TestNode *relay : {&one, &two}) {
        relay->mesh_.drop("a1");
    }
    BOOST_TEST(runUntil(io, [&] { return reports(far, "a1") > before && reports(agent, "e3") > 0; }));
}

BOOST_AUTO_TEST_CASE(malformed_frames_close_their_link_only)
{
    boost::asio::io_context io;
    TestNode entry(io, "e1", true);
    TestNode agent(io, "a1", false);
    agent.mesh_.setEntries({{"e1", entry.address_}});
    BOOST_TEST(runUntil(io, [&] { return entry.mesh_.isReachable("a1"); }));
    const std::string identification = "i\x84\x62xx\x01\xf4\x01";
    const std::vector<std::string> malformed{
        "i\xff", "i\x80", identification + identification, "n" + std::string(1U << 20U, '\x81'), "c\x81\x01", "r\x83\x01\x02\x03", "r", "n",
    };
    for (const std::string &frame : malformed) {
        bool closed = false;
        LinkEvents events;
        LinkClient *sender = nullptr;
        events.opened_ = [&](LinkId) {
            sender->send(identification);
            sender->send(frame);
        };
        events.closed_ = [&closed](LinkId) {
            closed = true;
        };
        events.received_ = [](LinkId, std::string_view) {
        };
        LinkClient client(io, entry.address_, {}, events);
        sender = &client;
        client.start();
        BOOST_TEST(runUntil(io, [&] { return closed; }), "frame of " << frame.size() << " bytes");
        client.stop();
    }
    BOOST_TEST(agent.mesh_.send("e1", "still here"));
    BOOST_TEST(runUntil(io, [&] { return !entry.received_.empty(); }));
    BOOST_TEST(entry.received_[0].second == "still here");
}

// Counts the closes of a link that sends frames as soon as it opens.
struct UntrustedPeer
{
    UntrustedPeer(boost::asio::io_context &io, const Address &address, std::vector<std::string> frames)
        : frames_(std::move(frames))
        , client_(io, address, {}, {[this](LinkId) { sendAll(); }, [this](LinkId) { ++closed_; }, [](LinkId, std::string_view) {}, {}})
    {
        client_.start();
    }

    void sendAll()
    {
        for (const std::string &frame : frames_) {
            client_.send(frame);
        }
    }

    std::vector<std::string> frames_;
    int closed_ = 0;
    LinkClient client_;
};

std::string identificationOf(const std::string &name, bool isEntry)
{
    return wire::pack(wire::Identification, wire::formatPeer({name, 1, isEntry, 1}));
}

// Frames of unidentified links were ignored up to 16 MB each, and the links kept for as long as they sent anything.
BOOST_AUTO_TEST_CASE(links_without_identification_are_closed)
{
    boost::asio::io_context io;
    MeshSettings settings = TestNode::settingsOf("e1", true, {3600000});
    settings.identificationTimeout_ = {200};
    settings.maxDescriptors_ = 64;
    Mesh mesh(io, settings,
              {[](const Peer &) {}, [](const std::string &) {},
               [](const std::string &, std::string_view) {
               }});
    const Address address{"127.0.0.1", mesh.listen().value()};
    UntrustedPeer silent(io, address, {"b", "b"});
    UntrustedPeer large(io, address, {std::string(5000, 'i')});
    UntrustedPeer longName(io, address, {identificationOf(std::string(65, 'n'), false)});
    BOOST_TEST(runUntil(io, [&] { return silent.closed_ > 0 && large.closed_ > 0 && longName.closed_ > 0; }));
}

// Connections of untrusted peers took the place of the cell's own agents.
BOOST_AUTO_TEST_CASE(idle_connections_do_not_displace_peers)
{
    boost::asio::io_context io;
    MeshSettings settings = TestNode::settingsOf("e1", true, {3600000});
    settings.identificationTimeout_ = {3600000};
    settings.maxDescriptors_ = 64;
    Mesh mesh(io, settings,
              {[](const Peer &) {}, [](const std::string &) {},
               [](const std::string &, std::string_view) {
               }});
    const Address address{"127.0.0.1", mesh.listen().value()};
    TestNode agent(io, "a1", false);
    agent.mesh_.setEntries({{"e1", address}});
    BOOST_REQUIRE(runUntil(io, [&] { return mesh.isReachable("a1"); }));
    std::vector<boost::asio::ip::tcp::socket> idle;
    for (int i = 0; i < 100; ++i) {
        idle.emplace_back(io).connect({boost::asio::ip::address_v4::loopback(), address.port_});
        io.poll();
    }
    TestNode late(io, "a2", false);
    late.mesh_.setEntries({{"e1", address}});
    BOOST_TEST(runUntil(io, [&] { return mesh.isReachable("a2") && late.mesh_.isReachable("e1"); }));
    BOOST_TEST(agent.upEvents_.size() == 1U);
    BOOST_TEST(mesh.isReachable("a1"));
}

// Of 8 descriptors half are for links, one of these for a link without identification.
BOOST_AUTO_TEST_CASE(identified_links_over_the_limit_are_refused)
{
    boost::asio::io_context io;
    MeshSettings settings = TestNode::settingsOf("e1", true, {3600000});
    settings.maxDescriptors_ = 8;
    Mesh mesh(io, settings,
              {[](const Peer &) {}, [](const std::string &) {},
               [](const std::string &, std::string_view) {
               }});
    const Address address{"127.0.0.1", mesh.listen().value()};
    std::vector<std::unique_ptr<TestNode>> agents;
    for (const char *name : {"a1", "a2", "a3"}) {
        agents.push_back(std::make_unique<TestNode>(io, name, false));
        agents.back()->mesh_.setEntries({{"e1", address}});
        BOOST_REQUIRE(runUntil(io, [&] { return mesh.isReachable(name); }));
    }
    UntrustedPeer further(io, address, {identificationOf("a4", false)});
    BOOST_TEST(runUntil(io, [&] { return further.closed_ > 0; }));
    BOOST_TEST(!mesh.isReachable("a4"));
    BOOST_TEST(mesh.reachable().size() == agents.size());
}

BOOST_AUTO_TEST_CASE(identified_peers_may_send_large_frames)
{
    boost::asio::io_context io;
    TestNode entry(io, "e1", true);
    TestNode agent(io, "a1", false);
    agent.mesh_.setEntries({{"e1", entry.address_}});
    BOOST_REQUIRE(runUntil(io, [&] { return agent.mesh_.isReachable("e1"); }));
    const std::string large(15U << 20U, 'x');
    BOOST_TEST(agent.mesh_.send("e1", large));
    BOOST_TEST(runUntil(io, [&] { return !entry.received_.empty(); }));
    BOOST_TEST(entry.received_[0].second.size() == large.size());
}

// An entry kept every announced name, and an agent every sender of a relayed frame.
BOOST_AUTO_TEST_CASE(invented_neighbours_and_senders_close_the_link)
{
    boost::asio::io_context io;
    MeshSettings settings = TestNode::settingsOf("e1", true, {3600000});
    settings.maxNeighbours_ = 3;
    Mesh mesh(io, settings,
              {[](const Peer &) {}, [](const std::string &) {},
               [](const std::string &, std::string_view) {
               }});
    const Address address{"127.0.0.1", mesh.listen().value()};
    TestNode agent(io, "a1", false);
    agent.mesh_.setEntries({{"e1", address}});
    BOOST_REQUIRE(runUntil(io, [&] { return mesh.isReachable("a1"); }));
    nlohmann::json names = nlohmann::json::array();
    for (int i = 0; i < 4; ++i) {
        names.push_back(wire::formatPeer({"n" + std::to_string(i), 1, false, 1}));
    }
    UntrustedPeer announcer(io, address, {identificationOf("s1", true), wire::pack(wire::Neighbours, names)});
    UntrustedPeer sender(
        io, address,
        {identificationOf("s2", false), wire::pack(wire::Relayed, nlohmann::json::array({"a1", "another", wire::binary("x")}))});
    BOOST_TEST(runUntil(io, [&] { return announcer.closed_ > 0 && sender.closed_ > 0; }));
    BOOST_TEST(agent.received_.empty());
    BOOST_TEST(runUntil(io, [&] { return mesh.reachable().size() == 1U || !mesh.isReachable("n0"); }));
}

// An entry that came back could not reach a leader that had removed it from the registry and then lost the store.
BOOST_AUTO_TEST_CASE(entry_connects_to_one_that_does_not_know_of_it)
{
    boost::asio::io_context io;
    TestNode first(io, "a", true);
    TestNode second(io, "b", true);
    const auto isLinked = [&] {
        second.mesh_.setEntries({{"a", first.address_}});
        return first.mesh_.isReachable("b") && second.mesh_.isReachable("a");
    };
    BOOST_TEST(runUntil(io, isLinked));
    // The entry that should connect learns of the other one: its link replaces the other, and stays.
    first.mesh_.setEntries({{"b", second.address_}});
    BOOST_TEST(runUntil(io, [&] { return first.upEvents_.size() > 1U; }));
    const std::size_t links = first.upEvents_.size();
    const Millis until = bootClock() + Millis{2000};
    runUntil(io, [&] {
        second.mesh_.setEntries({{"a", first.address_}});
        return bootClock() > until;
    });
    BOOST_TEST(first.upEvents_.size() == links);
    BOOST_TEST(second.mesh_.isReachable("a"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
