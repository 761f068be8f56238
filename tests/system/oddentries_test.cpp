// Tests a cell among whose stored items and heartbeats are some of another writer.

#include "cell.hpp"
#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr std::size_t levels = 100000;
constexpr int settleMillis = 2000;

// Nested too deeply, with numbers out of range, or with a port out of range.
std::vector<std::string> oddItems()
{
    std::vector<std::string> items{std::string(levels, '\x7f'), std::string(levels, '\x5f'), std::string(levels, '\x81'),
                                   std::string(levels, '['), "\xff"};
    for (const Json &json : {Json::array({"127.0.0.1:70000", 1, "fd-1"}), Json::array({"127.0.0.1:0", 1, "fd-1"}),
                             Json::array({"127.0.0.1:1", 18446744073709551615U, "fd-1"}), Json::array({"127.0.0.1:1", 1e300, "fd-1"})}) {
        const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
        items.emplace_back(bytes.begin(), bytes.end());
    }
    return items;
}

Json heartbeat(const WorkerNode &node)
{
    return {{"service", "desk"},
            {"address", "127.0.0.1:" + std::to_string(node.workerPort_)},
            {"zone", "fd-1"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"room", {{"cpu", 8000}, {"mem_mb", 65536}, {"gpu", 0}}},
            {"labels", {"a", "r1"}},
            {"clock_ms", 1},
            {"born", 1},
            {"seq", 1000000}};
}

// Heartbeats with one field that no worker sends.
std::vector<std::string> oddHeartbeats(const WorkerNode &node)
{
    std::vector<std::string> beats{std::string(levels, '['), std::string(levels / 2, '{') + "1", "\xff\xfe", "null"};
    const Json numbers = {18446744073709551615U, 9223372036854775807, 1e300, -1, true, "x", Json::array(), nullptr};
    for (const char *field : {"born", "seq", "clock_ms", "service", "zone", "address", "state", "room", "labels"}) {
        for (const Json &value : numbers) {
            Json beat = heartbeat(node);
            if (beat[field].type() != value.type() || value.is_number()) {
                beat[field] = value;
                beats.push_back(beat.dump());
            }
        }
    }
    for (const char *field : {"cpu", "mem_mb", "gpu"}) {
        for (const Json &value : numbers) {
            Json beat = heartbeat(node);
            beat["born"] = wallClock().count_;
            beat["room"][field] = value;
            beats.push_back(beat.dump());
        }
    }
    Json later = heartbeat(node);
    constexpr std::int64_t year = 365LL * 24 * 3600 * 1000;
    later["born"] = wallClock().count_ + year;
    beats.push_back(later.dump());
    return beats;
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

// One deeply nested item ended every entry that read it, again after each restart.
BOOST_AUTO_TEST_CASE(items_of_another_writer_end_no_process)
{
    Cell cell(CellConfig{});
    cell.awaitReady();
    const std::vector<std::string> items = oddItems();
    for (std::size_t i = 0; i < items.size(); ++i) {
        for (const char *prefix : {"ibiswall/entries/", "ibiswall/jobs/", "ibiswall/agents/"}) {
            cell.putBytes(prefix + std::string("odd-") + std::to_string(i), items[i]);
        }
    }
    cell.entries()[cell.leader()].process_->kill();
    for (std::size_t i = 0; i < cell.entries().size(); ++i) {
        if (!cell.entries()[i].process_->isRunning()) {
            cell.startEntry(i);
        }
    }
    cell.awaitReady();
    std::this_thread::sleep_for(std::chrono::milliseconds(settleMillis));
    BOOST_TEST(cell.submit(jobId(1), 4, 1, true, {20000}).state_ == "completed");
    for (const CellEntry &entry : cell.entries()) {
        BOOST_TEST(entry.process_->isRunning());
    }
    for (const WorkerNode &node : cell.workerNodes()) {
        BOOST_TEST(node.agent_->isRunning());
    }
}

// A heartbeat under the id of a live worker that claimed a later start made the agent ignore the worker from then on.
BOOST_AUTO_TEST_CASE(odd_heartbeats_leave_a_worker_as_it_was)
{
    CellConfig config;
    config.workers_ = 1;
    Cell cell(config);
    cell.awaitReady();
    const WorkerNode &node = cell.workerNodes()[0];
    for (const char *id : {"worker-1", "stranger"}) {
        for (const std::string &body : oddHeartbeats(node)) {
            const auto answer
                = callHttp({"127.0.0.1", node.agentPort_}, {"POST", std::string("/Instances.Heartbeat/") + id, body, {}, {5000}, {}});
            BOOST_TEST(answer.has_value());
        }
    }
    for (int i = 1; i <= 5; ++i) {
        BOOST_TEST(cell.submit(jobId(i), 8, 1, true, {5000}).state_ == "completed");
    }
    constexpr int runMillis = 300;
    const Millis from = wallClock();
    BOOST_TEST(cell.submit(jobId(6), 40, runMillis, true, {20000}).state_ == "completed");
    constexpr std::size_t fitting = 16;
    BOOST_TEST(cell.mostRunsAtOnce(0, from, wallClock()) <= fitting);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
