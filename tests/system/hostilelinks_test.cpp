// Lets a crowd of peers send anything to the links of a cell: no process may end or exceed its memory or descriptors, and an ordinary
// job must be answered afterwards.

#include "cell.hpp"
#include "cluster.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <fstream>
#include <functional>

namespace ibiswall::system {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t maxDescriptors = 160;
// More than the entry may open in total.
constexpr std::size_t manyPeers = 300;
constexpr std::size_t fewPeers = 12;
constexpr std::size_t manyIdentified = 60;
// The smallest entry has 120 MB.
constexpr std::size_t memoryMb = 120;
constexpr std::size_t maxMemoryKb = std::size_t{110} * 1024;
constexpr std::size_t chunkBytes = 64U << 10U;
// Keeps the memory of a process that does not bound its own within what a test machine has.
constexpr std::size_t maxBytesPerPeer = 24U << 20U;
constexpr std::chrono::seconds sendingTime(4);
constexpr std::chrono::milliseconds pause(200);

const std::string upgrade = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";

enum Opcode : unsigned char { Continuation = 0, Binary = 2, Ping = 9 };

// Header of a frame from a client, with the shortest form of its length. The mask is zero, so that the payload follows as it is.
std::string frameHeader(Opcode opcode, std::uint64_t length, bool final = true)
{
    constexpr unsigned finalBit = 0x80;
    constexpr unsigned maskBit = 0x80;
    constexpr std::uint64_t maxShort = 125;
    constexpr std::uint64_t maxMedium = 0xffff;
    const int lengthBytes = length <= maxShort ? 0 : length <= maxMedium ? 2 : 8;
    const std::uint64_t first = lengthBytes == 0 ? length : lengthBytes == 2 ? maxShort + 1 : maxShort + 2;
    std::string header{static_cast<char>(opcode | (final ? finalBit : 0U)), static_cast<char>(maskBit | first)};
    for (int i = lengthBytes - 1; i >= 0; --i) {
        header += static_cast<char>(length >> (8U * static_cast<unsigned>(i)));
    }
    return header + std::string(4, '\0');
}

std::string frame(const std::string &payload)
{
    return frameHeader(Binary, payload.size()) + payload;
}

std::string frame(char kind, const Json &body)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(body);
    return frame(kind + std::string(bytes.begin(), bytes.end()));
}

std::string identification(const std::string &name, bool isEntry)
{
    return frame('i', Json::array({name, 1, isEntry, 1}));
}

std::string stranger(std::size_t peer)
{
    return "stranger-" + std::to_string(peer);
}

// Opens a link and identifies the peer as an entry.
std::string identifiedUpgrade(std::size_t peer)
{
    return upgrade + "\r\n" + identification(stranger(peer), true);
}

std::string repeat(const std::string &text)
{
    std::string out;
    while (out.size() < chunkBytes) {
        out += text;
    }
    return out;
}

struct Attack
{
    std::string name_;
    std::size_t peers_ = 0;
    /// Sent first; the argument is the number of the peer.
    std::function<std::string(std::size_t)> opening_;
    /// Sent over and over without a break, unless empty; the arguments are the numbers of the peer and of the chunk.
    std::function<std::string(std::size_t, std::size_t)> chunk_;
    /// Sent at intervals, unless empty.
    std::string heartbeat_;
    bool reads_ = false;
    /// Each peer stops sending chunks after this many bytes.
    std::size_t maxBytes_ = maxBytesPerPeer;
    /// Time between two connections. More peers can identify themselves if they do not connect at the same time.
    std::chrono::milliseconds connectInterval_{0};
};

// A connection that sends what an attack prescribes, until the other side closes it.
class HostilePeer
{
public:
    HostilePeer(boost::asio::io_context &io, std::uint16_t port, const Attack &attack, std::size_t number)
        : socket_(io)
        , timer_(io)
        , attack_(attack)
        , number_(number)
    {
        socket_.open(tcp::v4());
        // Processes that the test starts must not inherit the connection.
        fcntl(socket_.native_handle(), F_SETFD, FD_CLOEXEC);
        socket_.async_connect({boost::asio::ip::address_v4::loopback(), port}, [this](error_code error) {
            if (!error) {
                if (attack_.reads_) {
                    read();
                }
                send(attack_.opening_(number_));
            }
        });
    }

private:
    void send(std::string bytes)
    {
        out_ = std::move(bytes);
        boost::asio::async_write(socket_, boost::asio::buffer(out_), [this](error_code error, std::size_t sent) {
            sent_ += sent;
            if (!error) {
                continueSending();
            }
        });
    }

    void continueSending()
    {
        if (attack_.chunk_ && sent_ < attack_.maxBytes_) {
            send(attack_.chunk_(number_, chunk_++));
        } else if (!attack_.heartbeat_.empty()) {
            timer_.expires_after(pause);
            timer_.async_wait([this](error_code error) {
                if (!error) {
                    send(attack_.heartbeat_);
                }
            });
        }
    }

    void read()
    {
        socket_.async_read_some(boost::asio::buffer(in_), [this](error_code error, std::size_t /*bytes*/) {
            if (!error) {
                read();
            }
        });
    }

    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    const Attack &attack_;
    std::size_t number_;
    std::string out_;
    std::array<char, 4096> in_{};
    std::size_t sent_ = 0;
    std::size_t chunk_ = 0;
};

// Largest resident memory that a process has had, in kB.
std::size_t peakMemory(const Process &process)
{
    std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

std::size_t openDescriptors(const Process &process)
{
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process.pid()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

void checkWithinBounds(const Process &process, const std::string &attack)
{
    BOOST_TEST(process.isRunning(), attack << ": a process has ended");
    BOOST_TEST(peakMemory(process) < maxMemoryKb, attack << ": " << peakMemory(process) << " kB");
    BOOST_TEST(openDescriptors(process) < maxDescriptors, attack << ": " << openDescriptors(process) << " descriptors");
}

// The crowd stays connected while an agent starts again and the job is submitted.
void run(const Attack &attack)
{
    CellConfig config;
    config.workers_ = 2;
    config.entrySettings_ = {{"max_descriptors", maxDescriptors}, {"memory_mb", memoryMb}};
    Cell cell(config);
    cell.awaitReady();
    boost::asio::io_context io;
    std::vector<std::unique_ptr<HostilePeer>> crowd;
    for (std::size_t i = 0; i < attack.peers_; ++i) {
        crowd.push_back(std::make_unique<HostilePeer>(io, cell.entries()[cell.leader()].linksPort_, attack, i));
        io.run_for(attack.connectInterval_);
    }
    io.run_for(sendingTime);
    for (const CellEntry &entry : cell.entries()) {
        checkWithinBounds(*entry.process_, attack.name_ + ", " + entry.name_);
    }
    cell.workerNodes()[0].agent_->kill();
    cell.startAgent(0);
    BOOST_TEST(cell.submit(jobId(1), 2, 1, true, {20000}).state_ == "completed", attack.name_ << ": the job was not answered");
    for (const CellEntry &entry : cell.entries()) {
        checkWithinBounds(*entry.process_, attack.name_ + ", after the job, " + entry.name_);
    }
    for (const WorkerNode &node : cell.workerNodes()) {
        checkWithinBounds(*node.agent_, attack.name_ + ", " + node.name_);
    }
}

std::function<std::string(std::size_t)> open(const std::string &bytes)
{
    return [bytes](std::size_t /*peer*/) {
        return bytes;
    };
}

std::function<std::string(std::size_t, std::size_t)> endlessly(const std::string &bytes)
{
    return [chunk = repeat(bytes)](std::size_t /*peer*/, std::size_t /*chunk*/) {
        return chunk;
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(hostile_links)

BOOST_AUTO_TEST_CASE(connections_that_stay_idle)
{
    run({"idle", manyPeers, open(""), {}, {}, true});
}

BOOST_AUTO_TEST_CASE(upgrades_that_never_finish)
{
    run({"unfinished upgrade", manyPeers, open("GET / HTTP/1.1\r\nHost: x\r\n"), {}, "X-a: b\r\n", true});
}

BOOST_AUTO_TEST_CASE(upgrades_with_a_body)
{
    run({"body", fewPeers, open(upgrade + "Content-Length: 31000000\r\n\r\n"), endlessly("x"), {}, true});
}

BOOST_AUTO_TEST_CASE(header_floods)
{
    run({"many headers", fewPeers, open("GET / HTTP/1.1\r\n"), endlessly("X-a: b\r\n"), {}, true});
    run({"endless line", fewPeers, open("GET /"), endlessly("a"), {}, true});
}

BOOST_AUTO_TEST_CASE(bytes_of_tls)
{
    const std::string hello("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11);
    run({"TLS", manyPeers, open(hello), endlessly(hello), {}, false});
}

BOOST_AUTO_TEST_CASE(large_frames_before_identification)
{
    run({"large frame", fewPeers, open(upgrade + "\r\n" + frameHeader(Binary, (16U << 20U) - 1)), endlessly("i"), {}, true});
}

BOOST_AUTO_TEST_CASE(fragments_without_end)
{
    const std::string fragment = frameHeader(Continuation, 4000, false) + std::string(4000, 'i');
    run({"fragments", fewPeers, open(upgrade + "\r\n" + frameHeader(Binary, 1, false) + "i"), endlessly(fragment), {}, true});
}

BOOST_AUTO_TEST_CASE(pings_without_reading_the_pongs)
{
    const std::string ping = frameHeader(Ping, 4) + "ping";
    run({"pings", fewPeers, open(upgrade + "\r\n"), endlessly(ping), {}, false});
    run({"pings of an identified peer",
         fewPeers,
         [](std::size_t peer) { return upgrade + "\r\n" + identification("stranger-" + std::to_string(peer), false); },
         endlessly(ping),
         {},
         false});
}

// Such links stayed open for as long as they sent anything.
BOOST_AUTO_TEST_CASE(links_that_never_identify_themselves)
{
    run({"heartbeats", manyPeers, open(upgrade + "\r\n"), {}, frame("b"), true});
}

BOOST_AUTO_TEST_CASE(relayed_frames_of_unidentified_links)
{
    const std::string relayed = frame('r', Json::array({"agent-1", "entry-2", Json::binary(std::vector<std::uint8_t>(3000, 0))}));
    run({"relayed", fewPeers, open(upgrade + "\r\n"), endlessly(relayed), {}, true});
}

BOOST_AUTO_TEST_CASE(neighbours_without_end)
{
    const auto announce = [](std::size_t peer, std::size_t chunk) {
        Json opened = Json::array();
        for (std::size_t i = 0; i < 1000; ++i) {
            opened.push_back(
                Json::array({"n-" + std::to_string(peer) + '-' + std::to_string(chunk) + '-' + std::to_string(i), 1, false, 1}));
        }
        return frame('c', Json::array({opened, Json::array()}));
    };
    run({"neighbours", fewPeers, identifiedUpgrade, announce, {}, true});
}

BOOST_AUTO_TEST_CASE(names_of_a_megabyte)
{
    run({"names",
         60,
         [](std::size_t peer) { return upgrade + "\r\n" + identification(std::string(1U << 20U, 'n') + std::to_string(peer), false); },
         {},
         {},
         true});
}

BOOST_AUTO_TEST_CASE(unfinished_frames_of_identified_peers)
{
    constexpr std::size_t frameBytes = (16U << 20U) - 1;
    run({"unfinished frames",
         fewPeers,
         [](std::size_t peer) { return identifiedUpgrade(peer) + frameHeader(Binary, frameBytes) + "p"; },
         endlessly("x"),
         {},
         true,
         frameBytes - chunkBytes * 2});
}

BOOST_AUTO_TEST_CASE(unfinished_fragments_of_identified_peers)
{
    const std::string fragment = frameHeader(Continuation, 4000, false) + std::string(4000, 'x');
    run({"unfinished fragments",
         fewPeers,
         [](std::size_t peer) { return identifiedUpgrade(peer) + frameHeader(Binary, 1, false) + "p"; },
         endlessly(fragment),
         {},
         true,
         15U << 20U});
}

// An empty array takes one byte of a frame and many in memory.
BOOST_AUTO_TEST_CASE(frames_of_empty_arrays)
{
    constexpr std::uint32_t arrays = 8U << 20U;
    const std::string list = std::string("\x9a") + std::string{static_cast<char>(arrays >> 24U), static_cast<char>(arrays >> 16U), 0, 0}
        + std::string(arrays, '\x80');
    // Payload, neighbours, changes of neighbours, relayed frame.
    for (const char kind : {'p', 'n', 'c', 'r'}) {
        run({std::string("arrays in frame ") + kind,
             fewPeers,
             [&](std::size_t peer) { return identifiedUpgrade(peer) + frame(kind + list); },
             {},
             {},
             true});
    }
}

BOOST_AUTO_TEST_CASE(relayed_frames_to_peers_that_do_not_read)
{
    const auto relayed = [](std::size_t peer, std::size_t /*chunk*/) {
        return frame(
            'r',
            Json::array({stranger((peer + 1) % manyIdentified), stranger(peer), Json::binary(std::vector<std::uint8_t>(chunkBytes, 0))}));
    };
    run({"relayed to peers that do not read",
         manyIdentified,
         identifiedUpgrade,
         relayed,
         {},
         false,
         maxBytesPerPeer,
         std::chrono::milliseconds(20)});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
