// Planned stops must complete the requests in flight, and processes must exit with the documented codes.

#include "cluster.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <thread>

namespace ibiswall::system {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const Json noteKind = {{"op", "set-kind"}, {"name", "note"}, {"value", 1}, {"repeatable", false}, {"deadline_ms", 20000}};

ClusterConfig slowConfig()
{
    ClusterConfig config;
    config.entries_ = 1;
    config.targets_ = 1;
    config.domains_ = 1;
    config.runMillis_ = 3000;
    config.entrySettings_ = {{"drain_delay_ms", 300}};
    return config;
}

tcp::socket connectTo(asio::io_context &io, std::uint16_t port, const std::string &bytes)
{
    tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), port});
    asio::write(socket, asio::buffer(bytes));
    return socket;
}

std::string readToEnd(tcp::socket &socket)
{
    std::string received;
    boost::system::error_code ended;
    asio::read(socket, asio::dynamic_buffer(received), ended);
    return received;
}

// Waits until the only target has started this number of tasks.
void awaitStarts(const Cluster &cluster, std::size_t count)
{
    await("tasks have started", [&] { return cluster.starts(0).size() >= count; });
}

void awaitUnhealthy(const Cluster &cluster)
{
    await("the health check fails", [&] { return cluster.callAsMember(0, "GET", "/healthz").value().status_ == 503; });
}

void checkGracefulStop(int signal)
{
    Cluster cluster(slowConfig());
    cluster.planAndConfirm(0, noteKind);
    const std::uint16_t port = cluster.entries_[0].callersPort_;
    asio::io_context io;
    tcp::socket idleConnection = connectTo(io, port, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    tcp::socket partialRequest = connectTo(io, port, "GET /healthz HTTP/1.1\r\nHo");
    Json answer;
    std::thread caller([&] { answer = cluster.submit(0, "note", 4); });
    awaitStarts(cluster, 4);
    cluster.entries_[0].process_->signal(signal);
    BOOST_TEST(readToEnd(idleConnection).find("200 OK") != std::string::npos);
    // The entry has closed the idle connection but not the one with a partial request.
    asio::write(partialRequest, asio::buffer(std::string("st: x\r\n\r\n")));
    BOOST_TEST(readToEnd(partialRequest).substr(0, 12) == "HTTP/1.1 503");
    caller.join();
    BOOST_TEST(answer.value("state", "") == "complete", answer.dump());
    BOOST_TEST(cluster.entries_[0].process_->wait() == 0);
}

// Starts a process that is expected to fail and returns its exit code.
int exitCodeOf(const std::string &role, const Json &settings)
{
    const std::filesystem::path file = std::filesystem::temp_directory_path() / ("ibiswall-stop-" + std::to_string(freePort()) + ".json");
    std::ofstream(file) << settings.dump();
    Process process({programPath(), role, file.string()});
    const int code = process.wait();
    std::filesystem::remove(file);
    return code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stop)

BOOST_AUTO_TEST_CASE(sigterm_completes_open_requests)
{
    checkGracefulStop(SIGTERM);
}

BOOST_AUTO_TEST_CASE(sigint_completes_open_requests)
{
    checkGracefulStop(SIGINT);
}

BOOST_AUTO_TEST_CASE(health_check_fails_before_jobs_are_refused)
{
    ClusterConfig config = slowConfig();
    config.runMillis_ = 5;
    config.entrySettings_["drain_delay_ms"] = 600000;
    Cluster cluster(config);
    cluster.planAndConfirm(0, noteKind);
    cluster.entries_[0].process_->signal(SIGTERM);
    awaitUnhealthy(cluster);
    BOOST_TEST(cluster.submit(0, "note", 4).value("state", "") == "complete");
}

BOOST_AUTO_TEST_CASE(second_signal_stops_at_once)
{
    Cluster cluster(slowConfig());
    cluster.planAndConfirm(0, noteKind);
    cluster.setTargetMode(0, {{"run_ms", 600000}});
    const std::string id = cluster.allocateId(0);
    std::thread caller([&] {
        const auto unanswered = cluster.callAsMember(0, "PUT", "/v1/jobs/" + id, R"({"kind":"note","tasks":["a"]})");
        BOOST_TEST(unanswered.has_error());
    });
    awaitStarts(cluster, 1);
    cluster.entries_[0].process_->signal(SIGTERM);
    awaitUnhealthy(cluster);
    cluster.entries_[0].process_->signal(SIGTERM);
    BOOST_TEST(cluster.entries_[0].process_->wait() == 1);
    caller.join();
}

BOOST_AUTO_TEST_CASE(startup_failures_have_distinct_exit_codes)
{
    asio::io_context io;
    const tcp::acceptor occupied(io, {asio::ip::address_v4::loopback(), 0});
    const std::string address = "127.0.0.1:" + std::to_string(occupied.local_endpoint().port());
    const Json entry = {{"role", "entry"},
                        {"name", "entry-1"},
                        {"failure_domain", "fd-1"},
                        {"callers_address", address},
                        {"links_address", "127.0.0.1:0"},
                        {"platform_addresses", {"127.0.0.1:1"}},
                        {"members", Json::array()},
                        {"operators", Json::array()}};
    const Json agent = {{"role", "agent"},
                        {"target", "t"},
                        {"worker", "w"},
                        {"failure_domain", "fd-1"},
                        {"slots", 1},
                        {"target_address", "127.0.0.1:1"},
                        {"health_address", address},
                        {"entry_addresses", {"127.0.0.1:2"}}};
    BOOST_TEST(exitCodeOf("entry", entry) == 5);
    BOOST_TEST(exitCodeOf("agent", agent) == 5);
    BOOST_TEST(exitCodeOf("entry", agent) == 3);
    BOOST_TEST(exitCodeOf("agent", {{"role", "agent"}}) == 3);
    BOOST_TEST(exitCodeOf("fly", agent) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
