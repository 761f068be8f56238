// Passes mutated messages to every parser that reads what a client, a peer or an operator has sent. A parser may accept or reject
// them; it must not end the process, and what it accepts must be formatted into something that it accepts again.
//
// IBISWALL_SEED sets the first seed and IBISWALL_HISTORIES the number of seeds.

#include "../../platform/announcements.hpp"
#include "../../platform/callers.hpp"
#include "../../platform/configuration.hpp"
#include "../../src/ibiswall/node/frames.hpp"
#include "../../src/ibiswall/node/meshwire.hpp"
#include "../environment.hpp"
#include "../mutation.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ibiswall/cell/record.hpp>
#include <ibiswall/codec.hpp>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

unsigned seedCount()
{
    constexpr unsigned inCi = 3000;
    return numberFromEnvironment("IBISWALL_HISTORIES", inCi);
}

// Inserts heads of CBOR items, or pieces of JSON that parsers treat apart, so that more of the mutations are well-formed.
std::string insertTokens(std::string bytes, std::minstd_rand &random)
{
    static const std::array<std::string, 20> tokens{"\x7f",
                                                    "\x5f",
                                                    "\x9f",
                                                    "\xbf",
                                                    "\xff",
                                                    "\x81",
                                                    "\xa1",
                                                    "\xfb\x7f\xf0",
                                                    "\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
                                                    "\x3b\xff\xff\xff\xff\xff\xff\xff\xff",
                                                    "-1",
                                                    "1e999",
                                                    "18446744073709551615",
                                                    "-9223372036854775808",
                                                    "\"\\ud800\"",
                                                    "null,",
                                                    "[],",
                                                    "{\"a\":",
                                                    "[[[[[[[[",
                                                    "\"steps\":"};
    for (std::size_t inserted = random() % 3; inserted > 0 && !bytes.empty(); --inserted) {
        bytes.insert(random() % bytes.size(), tokens[random() % tokens.size()]);
    }
    return bytes;
}

using Parser = std::function<void(const std::string &)>;

void fuzz(const std::vector<std::string> &valid, const Parser &parse)
{
    for (unsigned seed = firstSeed(); seed < firstSeed() + seedCount(); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::minstd_rand random(seed);
            // The first numbers of neighbouring seeds are similar.
            random.discard(16);
            const std::string bytes = insertTokens(mutate(valid[random() % valid.size()], random), random);
            BOOST_CHECK_NO_THROW(parse(bytes));
        }
    }
}

cell::JobRecord sampleRecord()
{
    cell::JobRecord record;
    record.nonce_ = "1.1";
    record.spec_.queue_ = "q";
    record.spec_.payload_ = "work";
    cell::Step step;
    step.count_ = 2;
    step.need_ = {500, 256, 0};
    record.spec_.steps_ = {step, step};
    record.spec_.steps_[1].after_ = {0};
    record.progress_.done_ = {true, false, false, false};
    record.progress_.failedRuns_ = {{1, 7}};
    return record;
}

std::vector<std::string> sampleFrames()
{
    node::ReportFrame report;
    report.report_.info_ = cell::TargetInfo();
    report.report_.running_ = {{{"j", 1, 2}, 9}};
    report.report_.results_ = {{4, {{"j", 0, 1}, 5}, cell::RunOutcome::Failed, "c"}};
    report.report_.rejected_ = {{{{"j", 0, 0}, 6}, true}};
    report.report_.crashes_ = {{{{"j", 0, 0}, 6}, true, true, {250}}};
    report.report_.unlistedResults_ = true;
    node::OrdersFrame orders;
    orders.starts_ = {{{}, {{"j", 0, 0}, 1}, "same", {}, true}};
    orders.stops_ = {{{}, {{"k", 0, 0}, 3}}};
    node::HeartbeatFrame heartbeat;
    heartbeat.leader_ = "e1";
    heartbeat.waiting_ = {{"q", 2}};
    heartbeat.contained_ = {"q"};
    const std::vector<node::Frame> frames{node::LeadFrame{4},
                                          node::PingFrame{4, {5}},
                                          node::PongFrame{4, {5}, {6}},
                                          report,
                                          orders,
                                          heartbeat,
                                          node::OffersFrame{{{"j", sampleRecord(), 1, true, {}, {500}, {1}}}},
                                          node::NoticesFrame{1, true, {{"j", cell::JobState::Completed, {}}}},
                                          node::CancelFrame{"j", true},
                                          node::UnknownJobFrame{"j"},
                                          node::CancelRefusedFrame{"j"}};
    std::vector<std::string> out;
    out.reserve(frames.size());
    for (const node::Frame &frame : frames) {
        out.push_back(node::formatFrame(frame));
    }
    return out;
}

std::string toBytes(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fuzz_parsers)

BOOST_AUTO_TEST_CASE(frames_of_a_cell)
{
    fuzz(sampleFrames(), [](const std::string &bytes) {
        if (const auto frame = node::parseFrame(bytes); frame.has_value()) {
            BOOST_TEST(node::parseFrame(node::formatFrame(frame.value())).has_value());
        }
    });
}

BOOST_AUTO_TEST_CASE(frames_of_a_mesh)
{
    const node::Peer peer{"agent-1", 1700000000000, true, 7};
    const Json announced = Json::array({Json::array({node::wire::formatPeer(peer)}), Json::array({"agent-2"})});
    const Json relayed = Json::array({"agent-1", "entry-2", node::wire::binary("payload")});
    fuzz({toBytes(node::wire::formatPeer(peer)), toBytes(announced), toBytes(relayed)}, [](const std::string &bytes) {
        try {
            const Json json = cell::parseCbor(bytes);
            const node::Peer parsed = node::wire::parsePeer(json);
            BOOST_TEST(node::wire::parsePeer(node::wire::formatPeer(parsed)).name_ == parsed.name_);
        } catch (const std::exception &) {
            // The mesh closes the link of the peer.
            return;
        }
    });
}

BOOST_AUTO_TEST_CASE(records)
{
    fuzz({cell::formatRecord(sampleRecord())}, [](const std::string &bytes) {
        if (const auto record = cell::parseRecord(bytes); record.has_value()) {
            BOOST_TEST(cell::parseRecord(cell::formatRecord(record.value())).has_value());
        }
    });
}

BOOST_AUTO_TEST_CASE(frames_between_own_entries_and_agents)
{
    const std::vector<std::string> valid{encode(AgentHello{protocolVersion, {{"a", 5}, {"t", "w", "fd-1"}, 8, 16}}),
                                         encode(PeerHello{protocolVersion, {"entry-9", 1}}),
                                         encode(LeaseRenewal{1, 0}),
                                         encode(TaskReports{}),
                                         encode(RelayRequest{1, RelayOp::Submit, "x", "studio", "{}"}),
                                         encode(RelayReply{1, 200, "{}"}),
                                         encode(PeerStatusRequest{1, 2}),
                                         encode(PeerChanges{}),
                                         encode(Orders{}),
                                         encode(AgentDraining{})};
    fuzz(valid, [](const std::string &bytes) {
        if (const auto message = decode(bytes); message.has_value()) {
            BOOST_TEST(decode(encode(message.value())).has_value());
        }
    });
}

BOOST_AUTO_TEST_CASE(bodies_of_callers)
{
    fuzz({R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},)"
          R"({"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,"after":[0],"saves_progress":true}],"best_effort":true})"},
         [](const std::string &bytes) {
             if (const auto job = platform::parseJob(bytes); job.has_value()) {
                 cell::JobRecord record;
                 record.spec_ = job.value();
                 record.spec_.queue_ = "q";
                 BOOST_TEST(!cell::formatRecord(record).empty());
             }
         });
    fuzz({R"({"kind":"note","tasks":["a","b"],"deadline_ms":1000})"},
         [](const std::string &bytes) { static_cast<void>(parseSubmission({}, "studio", bytes)); });
    fuzz({"entry-1.1.5.1.1", "5c0e7a21d94b36f8"}, [](const std::string &bytes) {
        static_cast<void>(parseJobId(bytes));
        static_cast<void>(platform::isJobId(bytes));
    });
}

BOOST_AUTO_TEST_CASE(announcements_of_targets)
{
    const std::string heartbeat
        = R"({"service":"desk","address":"10.0.0.9:8080","zone":"fd-1","version":"v1","slots":8,"state":"ready",)"
          R"("cold_left_ms":0,"room":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,)"
          R"("born":1700000000000})";
    for (const char *path : {"/Instances.Heartbeat/worker-1", "/Instances.Deregister/worker-1"}) {
        fuzz({heartbeat}, [path](const std::string &bytes) { static_cast<void>(platform::parseAnnouncement("POST", path, bytes)); });
    }
    fuzz({"/Instances.Heartbeat/worker-1"},
         [&heartbeat](const std::string &bytes) { static_cast<void>(platform::parseAnnouncement("POST", bytes, heartbeat)); });
}

BOOST_AUTO_TEST_CASE(configurations_of_a_cell)
{
    fuzz({R"({"version":1,"routes":[{"name":"r-desk","host":"desk.example","prefix":"/jobs/","kind":"non_idempotent",)"
          R"("timeout_ms":1500,"service":"desk","priority":0,"max_attempts":3,"stretch":1.6,"target_duration_ms":60}],)"
          R"("services":[{"name":"desk","admission_control":true}]})"},
         [](const std::string &bytes) {
             static_cast<void>(platform::parseConfig(bytes));
             static_cast<void>(platform::evacuatedDomain(bytes));
         });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
