// Sends invalid input to every socket: each case must get a numbered error or a closed connection, and the process must keep running.

#include "cluster.hpp"
#include "rawpeer.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <ibiswall/codec.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t maxConnections = 40;
constexpr std::size_t maxLinks = 20;
const std::string member = "studio-token";
const std::string ops = "ops-token";

ClusterConfig lowLimitsConfig()
{
    ClusterConfig config;
    config.entries_ = 1;
    config.targets_ = 1;
    config.domains_ = 1;
    config.entrySettings_ = {{"max_body_bytes", 400000}, {"max_header_bytes", 2048}, {"max_connections", maxConnections},
                             {"idle_ms", 1500},          {"max_links", maxLinks},    {"max_frame_bytes", 1000000},
                             {"hello_ms", 1500},         {"max_tasks_per_job", 5}};
    return config;
}

std::string request(const std::string &line, const std::string &token, const std::string &body = {})
{
    return line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + token
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string repeat(const std::string &text, std::size_t count)
{
    std::string out;
    for (std::size_t i = 0; i < count; ++i) {
        out += text;
    }
    return out;
}

struct HttpCase
{
    std::string name_;
    std::string bytes_;
    int status_;
    int code_;
    AfterSend afterSend_ = AfterSend::KeepOpen;
};

std::string confirmation(const std::string &baseVersion)
{
    return R"({"intent":{"op":"domain-out","name":"fd-1"},"base_version":)" + baseVersion + R"(,"digest":"1","who":"","why":"x"})";
}

std::string kindIntent(const std::string &value, const std::string &deadline)
{
    return R"({"op":"set-kind","name":"note","repeatable":false,"value":)" + value + R"(,"deadline_ms":)" + deadline + "}";
}

std::string memberIntent(const std::string &weight, const std::string &quota)
{
    return R"({"op":"set-member","name":"studio","weight":)" + weight + R"(,"quota":)" + quota + "}";
}

std::vector<HttpCase> malformedHttp()
{
    const std::string head = "POST /v1/ids HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + member + "\r\n";
    return {
        {"garbage", std::string("\x00\xff\x16\x03\x01 \r\n\r\n", 10), 400, 100},
        {"unknown HTTP version", "GET /healthz HTTP/9.9\r\n\r\n", 400, 100},
        {"negative length", head + "Content-Length: -5\r\n\r\n", 400, 100},
        {"two lengths", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400, 100},
        {"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, 100},
        {"truncated header", "GET /heal", 400, 100, AfterSend::HalfClose},
        {"truncated body", head + "Content-Length: 50\r\n\r\nhello", 400, 100, AfterSend::HalfClose},
        {"oversized header", head + "X-Filler: " + std::string(5000, 'x') + "\r\n\r\n", 431, 101},
        {"oversized path", "GET /" + std::string(5000, 'x') + " HTTP/1.1\r\n\r\n", 431, 101},
        {"declared body too large", head + "Content-Length: 99999999\r\n\r\n", 413, 101},
        {"sent body too large", request("POST /v1/plan", ops, std::string(3000000, ' ')), 413, 101},
        {"chunked body too large", head + "Transfer-Encoding: chunked\r\n\r\n" + repeat("10000\r\n" + std::string(65536, 'x') + "\r\n", 20),
         413, 101},
    };
}

std::vector<HttpCase> invalidCalls(const std::string &id)
{
    return {
        {"no token", "POST /v1/ids HTTP/1.1\r\nConnection: close\r\n\r\n", 401, 103},
        {"wrong token", request("POST /v1/ids", "nobody"), 401, 103},
        {"member on an operator's path", request("GET /v1/status", member), 404, 111},
        {"operator on a member's path", request("POST /v1/ids", ops), 404, 111},
        {"unknown path", request("GET /v1/nothing", member), 404, 111},
        {"unknown method", request("FROB /v1/ids", member), 405, 108},
        {"wrong method for ids", request("GET /v1/ids", member), 405, 108},
        {"wrong method for a job", request("PATCH /v1/jobs/" + id, member), 405, 108},
        {"wrong method for a plan", request("GET /v1/plan", ops), 405, 108},
        {"wrong method for health", request("POST /healthz", ops), 405, 108},
        {"wrong method for metrics", request("DELETE /metrics", ops), 405, 108},
        {"bad id", request("GET /v1/jobs/..%2f", member), 404, 105},
        {"long id", request("GET /v1/jobs/" + std::string(1000, 'a'), member), 404, 105},
        {"overflowing id", request("GET /v1/jobs/entry-1.ffffffffffffffffff.1.1.1", member), 404, 105},
        {"id from the far future", request("PUT /v1/jobs/entry-1.1.ffffffffffffffff.1.1", member, R"({"kind":"n","tasks":["a"]})"), 200,
         301},
        {"overflowing count", request("POST /v1/ids?count=99999999999999999999", member), 400, 100},
        {"negative count", request("POST /v1/ids?count=-1", member), 400, 100},
        {"too many ids", request("POST /v1/ids?count=10001", member), 400, 100},
        {"count twice", request("POST /v1/ids?count=1&count=2", member), 400, 100},
        {"unknown query", request("GET /v1/audit?%00=%ff", ops), 400, 100},
    };
}

std::vector<HttpCase> invalidBodies(const std::string &id)
{
    const std::string put = "PUT /v1/jobs/" + id;
    return {
        {"empty body", request(put, member), 400, 100},
        {"not JSON", request(put, member, "{\"kind\":"), 400, 100},
        {"nested arrays", request(put, member, std::string(350000, '[')), 400, 100},
        {"nested and closed", request(put, member, std::string(150000, '[') + std::string(150000, ']')), 400, 100},
        {"nested inside tasks",
         request(put, member, R"({"kind":"n","tasks":[)" + std::string(100000, '[') + std::string(100000, ']') + "]}"), 400, 100},
        {"nested objects", request("POST /v1/plan", ops, repeat("{\"a\":", 60000)), 400, 506},
        {"nested intent", request("POST /v1/confirm", ops, R"({"intent":)" + repeat("{\"a\":", 50000) + "1" + std::string(50001, '}')), 400,
         506},
        {"payload not UTF-8", request(put, member, "{\"kind\":\"n\",\"tasks\":[\"\xff\xfe\"]}"), 400, 100},
        {"unknown key not UTF-8", request(put, member, "{\"\xc3\x28\":1}"), 400, 100},
        {"task is a number", request(put, member, R"({"kind":"n","tasks":[1]})"), 400, 100},
        {"no tasks", request(put, member, R"({"kind":"n","tasks":[]})"), 400, 100},
        {"too many tasks", request(put, member, R"({"kind":"n","tasks":["1","2","3","4","5","6"]})"), 413, 102},
        {"huge kind", request(put, member, R"({"kind":")" + std::string(300000, 'k') + R"(","tasks":["a"]})"), 400, 104},
        {"negative version", request("POST /v1/confirm", ops, confirmation("-1")), 400, 506},
        {"huge version", request("POST /v1/confirm", ops, confirmation("18446744073709551615")), 400, 506},
        {"overflowing version", request("POST /v1/confirm", ops, confirmation("1e400")), 400, 506},
        {"huge deadline", request("POST /v1/plan", ops, kindIntent("1", "18446744073709551615")), 400, 506},
        {"negative deadline", request("POST /v1/plan", ops, kindIntent("1", "-1")), 400, 506},
        {"huge value", request("POST /v1/plan", ops, kindIntent("18446744073709551615", "1000")), 400, 506},
        {"fractional value", request("POST /v1/plan", ops, kindIntent("1.5", "1000")), 400, 506},
        {"zero weight", request("POST /v1/plan", ops, memberIntent("0", "0")), 400, 506},
        {"negative quota", request("POST /v1/plan", ops, memberIntent("1", "-1")), 400, 506},
        {"intent name not a name", request("POST /v1/plan", ops, R"({"op":"domain-out","name":"../\u0000"})"), 400, 506},
        {"oversized reason",
         request("POST /v1/confirm", ops,
                 R"({"intent":{"op":"domain-out","name":"fd-1"},"base_version":0,"digest":"1","who":"","why":")" + std::string(300000, 'y')
                     + "\"}"),
         400, 506},
    };
}

// Checks the HTTP status and the error code of a reply.
void checkReply(const HttpCase &testCase, const std::string &reply)
{
    const std::string statusLine = "HTTP/1.1 " + std::to_string(testCase.status_) + ' ';
    BOOST_TEST(reply.substr(0, statusLine.size()) == statusLine, testCase.name_ << ": " << reply.substr(0, 300));
    const auto body = reply.find("\r\n\r\n");
    const Json json = Json::parse(body == std::string::npos ? std::string() : reply.substr(body), nullptr, false);
    BOOST_TEST((json.is_object() && json.value("code", 0) == testCase.code_), testCase.name_ << ": " << reply.substr(0, 500));
}

void checkHealthy(const Cluster &cluster, const std::string &after)
{
    const auto health = cluster.callAsMember(0, "GET", "/healthz");
    BOOST_REQUIRE_MESSAGE(health.has_value() && health.value().status_ == 200, "the entry is unhealthy after: " << after);
}

void runCases(const Cluster &cluster, const std::vector<HttpCase> &cases)
{
    for (const HttpCase &testCase : cases) {
        checkReply(testCase, exchangeRaw(cluster.entries_[0].callersPort_, testCase.bytes_, testCase.afterSend_));
        checkHealthy(cluster, testCase.name_);
    }
}

struct FrameCase
{
    std::string name_;
    std::string frame_;
};

std::vector<FrameCase> badFrames()
{
    const std::string hello = encode(AgentHello{protocolVersion, {{"a", 5}, {"t", "w", "fd-1"}, 8, 16}});
    return {
        {"nothing", ""},
        {"garbage", "\xff\xff\xff\xff"},
        {"truncated hello", hello.substr(0, hello.size() - 3)},
        {"deep arrays", std::string(900000, '\x81')},
        {"deep objects", repeat("\xa1\x60", 400000)},
        {"array that claims too many items", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"},
        {"text that claims too many bytes", "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"},
        {"unknown message", "\x82\x18\x63\x80"},
        {"oversized frame", std::string(1500000, '\x80')},
        {"agent of another version", encode(AgentHello{99, {{"a", 5}, {"t", "w", "fd-1"}, 8, 16}})},
        {"entry of another version", encode(PeerHello{99, {"entry-9", 1}})},
        {"agent without slots", encode(AgentHello{protocolVersion, {{"a", 5}, {"t", "w", "fd-1"}, 0, 16}})},
        {"reports before hello", encode(TaskReports{})},
        {"renewal before hello", encode(LeaseRenewal{1, 0})},
        {"relay before hello", encode(RelayRequest{1, RelayOp::Fetch, "x", "studio", ""})},
        {"draining before hello", encode(AgentDraining{})},
        {"lease grant sent to an entry", encode(LeaseGrant{1, 2, true, {300}})},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(badinput)

BOOST_AUTO_TEST_CASE(invalid_requests_get_a_numbered_error)
{
    const Cluster cluster(lowLimitsConfig());
    const std::string id = cluster.allocateId(0);
    runCases(cluster, malformedHttp());
    runCases(cluster, invalidCalls(id));
    runCases(cluster, invalidBodies(id));
}

BOOST_AUTO_TEST_CASE(head_reply_has_no_body)
{
    const Cluster cluster(lowLimitsConfig());
    const std::string reply
        = exchangeRaw(cluster.entries_[0].callersPort_, "HEAD /healthz HTTP/1.1\r\n\r\n" + request("GET /healthz", member));
    const auto second = reply.find("\r\n\r\n");
    BOOST_REQUIRE(second != std::string::npos);
    BOOST_TEST(reply.substr(second + 4, 12) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(invalid_frames_close_the_link)
{
    const Cluster cluster(lowLimitsConfig());
    for (const FrameCase &testCase : badFrames()) {
        BOOST_CHECK_NO_THROW(sendFrame(cluster.entries_[0].linksPort_, testCase.frame_));
        checkHealthy(cluster, testCase.name_);
    }
    cluster.awaitAgents(1);
}

BOOST_AUTO_TEST_CASE(idle_and_slow_peers_are_disconnected)
{
    const Cluster cluster(lowLimitsConfig());
    const std::string partialRequest = "POST /v1/ids HTTP/1.1\r\nAuth";
    for (const std::string &bytes : {std::string(), partialRequest}) {
        BOOST_TEST(exchangeRaw(cluster.entries_[0].callersPort_, bytes).empty());
        BOOST_TEST(exchangeRaw(cluster.entries_[0].linksPort_, bytes).empty());
    }
    BOOST_CHECK_NO_THROW(exchangeRaw(cluster.entries_[0].linksPort_, "not a websocket\r\n\r\n"));
    checkHealthy(cluster, "idle peers");
}

// A new caller takes the place of the connection that has waited longest without a request.
BOOST_AUTO_TEST_CASE(connections_over_the_limit_replace_the_one_that_has_waited_longest)
{
    const Cluster cluster(lowLimitsConfig());
    boost::asio::io_context io;
    std::vector<tcp::socket> connections;
    for (std::size_t i = 0; i < maxConnections; ++i) {
        connections.emplace_back(io).connect({boost::asio::ip::address_v4::loopback(), cluster.entries_[0].callersPort_});
    }
    BOOST_TEST(exchangeRaw(cluster.entries_[0].callersPort_, request("GET /healthz", member)).substr(0, 12) == "HTTP/1.1 200");
    char byte = 0;
    boost::system::error_code error;
    connections.front().read_some(boost::asio::buffer(&byte, 1), error);
    BOOST_TEST(error.failed());
    connections.clear();
    await("callers are served again", [&] {
        const auto health = cluster.callAsMember(0, "GET", "/healthz");
        return health.has_value() && health.value().status_ == 200;
    });
}

// A connection that the other side has neither closed nor sent anything on.
bool isOpen(tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true);
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

// Connections that send nothing must neither stay open beyond the limit nor keep out an agent.
BOOST_AUTO_TEST_CASE(links_over_the_limit_are_closed)
{
    ClusterConfig config = lowLimitsConfig();
    // Only the limit closes them.
    config.entrySettings_["hello_ms"] = 60000;
    Cluster cluster(config);
    cluster.awaitAgents(1);
    cluster.targetNodes_[0].agent_.reset();
    cluster.awaitAgents(0);
    boost::asio::io_context io;
    std::vector<tcp::socket> connections;
    for (std::size_t i = 0; i < 3 * maxLinks; ++i) {
        connections.emplace_back(io).connect({boost::asio::ip::address_v4::loopback(), cluster.entries_[0].linksPort_});
    }
    await("connections over the limit are closed",
          [&] { return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), isOpen)) <= maxLinks; });
    checkHealthy(cluster, "links over the limit");
    cluster.startAgent(0);
    cluster.awaitAgents(1);
}

// Opens more connections than a process has file descriptors, then closes them.
void exhaustDescriptors(std::uint16_t port)
{
    constexpr std::size_t count = 150;
    boost::asio::io_context io;
    std::vector<tcp::socket> connections;
    for (std::size_t i = 0; i < count; ++i) {
        connections.emplace_back(io).connect({boost::asio::ip::address_v4::loopback(), port});
    }
    // Long enough for the entry to poll the platform while it has no free descriptor.
    std::this_thread::sleep_for(std::chrono::seconds(1));
}

BOOST_AUTO_TEST_CASE(entry_survives_descriptor_exhaustion)
{
    Cluster cluster(lowLimitsConfig());
    EntryNode &entry = cluster.entries_[0];
    entry.process_.reset();
    entry.process_.emplace(
        std::vector<std::string>{"/bin/sh", "-c", "ulimit -n 50; exec \"$0\" entry \"$1\"", programPath(), entry.settingsFile_.string()});
    for (const std::uint16_t port : {entry.callersPort_, entry.linksPort_}) {
        exhaustDescriptors(port);
        await("callers are served again", [&] {
            const auto health = cluster.callAsMember(0, "GET", "/healthz");
            return health.has_value() && health.value().status_ == 200;
        });
    }
    entry.process_->signal(SIGTERM);
    BOOST_TEST(entry.process_->wait() == 0);
}

BOOST_AUTO_TEST_CASE(agent_health_endpoint_returns_numbered_errors)
{
    Cluster cluster(lowLimitsConfig());
    const std::string line = cluster.targetNodes_[0].agent_->firstLine();
    const auto port = static_cast<std::uint16_t>(std::stoi(line.substr(line.find(' '))));
    const std::vector<HttpCase> cases = {
        {"garbage", "\xff\xff \r\n\r\n", 400, 100},
        {"unknown path", "GET /nothing HTTP/1.1\r\nConnection: close\r\n\r\n", 404, 111},
        {"wrong method", "POST /healthz HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 405, 108},
        {"body too large", "POST /healthz HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413, 101},
    };
    for (const HttpCase &testCase : cases) {
        checkReply(testCase, exchangeRaw(port, testCase.bytes_, testCase.afterSend_));
    }
    BOOST_TEST(exchangeRaw(port, "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n").substr(0, 12) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
