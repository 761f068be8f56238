// Measures the idle cost of links: memory, processor time and traffic of an entry with many agents and of an agent with
// many entries, and the time until a configuration change has reached every agent.

#include "usage.hpp"

#include "../../tests/system/cluster.hpp"
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <ibiswall/codec.hpp>
#include <iomanip>
#include <iostream>
#include <thread>

namespace ibiswall::bench {

namespace {

using system::Cluster;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds renewInterval(500);
constexpr std::chrono::seconds settleTime(2);
constexpr double bytesPerMebibyte = 1U << 20U;

// Link side of an agent without a target: announces itself and renews its lease.
class IdleAgent
{
public:
    IdleAgent(boost::asio::io_context &io, std::uint16_t port, int number, std::atomic<std::uint64_t> &versionsReceived)
        : timer_(io)
        , versionsReceived_(versionsReceived)
        , link_(io, {"127.0.0.1", port}, LinkLimits{}, events(number))
    {
        link_.start();
    }

private:
    LinkEvents events(int number)
    {
        LinkEvents events;
        events.opened_ = [this, number](LinkId /*link*/) {
            const std::string name = "idle-" + std::to_string(number);
            AgentHello hello;
            hello.info_ = {{name, 1}, {name, name, "fd-1"}, 1, 1};
            link_.send(encode(hello));
            renew();
        };
        events.closed_ = [](LinkId /*link*/) {
        };
        events.received_ = [this](LinkId /*link*/, std::string_view frame) {
            const auto message = decode(frame);
            const auto *lease = message.has_value() ? std::get_if<LeaseGrant>(&message.value()) : nullptr;
            if (lease != nullptr && lease->version_ > version_) {
                version_ = lease->version_;
                versionsReceived_ += 1;
            }
        };
        return events;
    }

    void renew()
    {
        link_.send(encode(LeaseRenewal{++renewal_, version_}));
        timer_.expires_after(renewInterval);
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                renew();
            }
        });
    }

    boost::asio::steady_timer timer_;
    /// Number of new configuration versions received, summed over all agents.
    std::atomic<std::uint64_t> &versionsReceived_;
    std::uint64_t version_ = 0;
    std::uint64_t renewal_ = 0;
    LinkClient link_;
};

// Link side of an entry that only answers lease renewals.
class IdleEntry
{
public:
    explicit IdleEntry(boost::asio::io_context &io)
        : server_(io, LinkLimits{}, events())
        , port_(server_.listen({"127.0.0.1", 0}).value())
    {
    }

    std::uint16_t port() const
    {
        return port_;
    }

private:
    LinkEvents events()
    {
        LinkEvents events;
        events.opened_ = [](LinkId /*link*/) {
        };
        events.closed_ = [](LinkId /*link*/) {
        };
        events.received_ = [this](LinkId link, std::string_view frame) {
            receive(link, frame);
        };
        return events;
    }

    void receive(LinkId link, std::string_view frame)
    {
        constexpr Millis leaseDuration{1500};
        const auto message = decode(frame);
        if (const auto *renewal = std::get_if<LeaseRenewal>(&message.value())) {
            server_.send(link, encode(LeaseGrant{renewal->number_, 1, false, leaseDuration}));
        }
    }

    LinkServer server_;
    std::uint16_t port_;
};

// Event loop on a separate thread.
class BackgroundLoop
{
public:
    ~BackgroundLoop()
    {
        stop();
    }

    // Call before destroying the objects that the loop runs handlers of.
    void stop()
    {
        io_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    boost::asio::io_context io_{1};

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_{boost::asio::make_work_guard(io_)};
    std::thread thread_{[this] {
        io_.run();
    }};
};

// Resource usage of a process at one point in time.
struct ResourceSample
{
    Usage usage_;
    LinkBytes bytes_;
    Clock::time_point takenAt_;
};

void print(const std::string &label, int count, const ResourceSample &before, const ResourceSample &after, const std::string &suffix)
{
    const double seconds = std::chrono::duration<double>(after.takenAt_ - before.takenAt_).count();
    const auto bytes = static_cast<double>(after.bytes_.received_ - before.bytes_.received_ + after.bytes_.sent_ - before.bytes_.sent_);
    const auto segments = static_cast<double>(after.bytes_.segments_ - before.bytes_.segments_);
    constexpr double segmentHeaderBytes = 66; // Ethernet, IP, and TCP with timestamps
    constexpr double percent = 100;
    std::cout << label << ' ' << std::setw(4) << count << std::fixed << "  resident " << std::setprecision(2)
              << static_cast<double>(after.usage_.residentBytes_) / bytesPerMebibyte << " MiB  processor " << std::setprecision(3)
              << (after.usage_.cpuSeconds_ - before.usage_.cpuSeconds_) / seconds * percent << " %  links " << std::setprecision(0)
              << bytes / seconds << " B/s, " << (bytes + segments * segmentHeaderBytes) / seconds << " B/s with headers" << suffix
              << std::endl;
}

ResourceSample takeSample(pid_t pid, const std::vector<std::uint16_t> &ports)
{
    ResourceSample sample{readUsage(pid), {}, Clock::now()};
    for (const std::uint16_t port : ports) {
        const LinkBytes linkBytes = readLinkBytes(port);
        sample.bytes_.received_ += linkBytes.received_;
        sample.bytes_.sent_ += linkBytes.sent_;
        sample.bytes_.segments_ += linkBytes.segments_;
    }
    return sample;
}

// Time from submitting a change until every agent has received the new version, in milliseconds.
double changePropagationMillis(const Cluster &cluster, int agents, const std::atomic<std::uint64_t> &versionsReceived)
{
    const std::uint64_t before = versionsReceived;
    const auto startedAt = Clock::now();
    cluster.planAndConfirm(0, {{"op", "set-kind"}, {"name", "fan-out"}, {"value", 1}, {"deadline_ms", 1000}, {"repeatable", false}});
    while (versionsReceived < before + static_cast<std::uint64_t>(agents)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count();
}

void measureEntry(int agents, std::chrono::seconds interval)
{
    system::ClusterConfig clusterConfig;
    clusterConfig.entries_ = 1;
    clusterConfig.targets_ = 0;
    const Cluster cluster(clusterConfig);
    std::atomic<std::uint64_t> versionsReceived{0};
    BackgroundLoop backgroundLoop;
    std::vector<std::unique_ptr<IdleAgent>> idleAgents;
    boost::asio::post(backgroundLoop.io_, [&] {
        for (int i = 0; i < agents; ++i) {
            idleAgents.push_back(std::make_unique<IdleAgent>(backgroundLoop.io_, cluster.entries_[0].linksPort_, i, versionsReceived));
        }
    });
    cluster.awaitAgents(static_cast<std::size_t>(agents));
    std::this_thread::sleep_for(settleTime);
    const pid_t pid = cluster.entries_[0].process_->pid();
    const std::vector<std::uint16_t> ports = {cluster.entries_[0].linksPort_};
    const ResourceSample before = takeSample(pid, ports);
    std::this_thread::sleep_for(interval);
    const ResourceSample after = takeSample(pid, ports);
    const double changeMillis = changePropagationMillis(cluster, agents, versionsReceived);
    backgroundLoop.stop();
    print("entry, agents", agents, before, after, "  change at all agents after " + std::to_string(std::lround(changeMillis)) + " ms");
}

void measureAgent(int entries, std::chrono::seconds interval)
{
    BackgroundLoop backgroundLoop;
    std::vector<std::unique_ptr<IdleEntry>> idleEntries;
    std::vector<std::uint16_t> ports;
    system::Json addresses = system::Json::array();
    for (int i = 0; i < entries; ++i) {
        idleEntries.push_back(std::make_unique<IdleEntry>(backgroundLoop.io_));
        ports.push_back(idleEntries.back()->port());
        addresses.push_back("127.0.0.1:" + std::to_string(ports.back()));
    }
    const auto settingsFile = std::filesystem::temp_directory_path() / ("ibiswall-bench-" + std::to_string(getpid()) + ".json");
    std::ofstream(settingsFile) << system::Json({{"role", "agent"},
                                                 {"target", "t"},
                                                 {"worker", "w"},
                                                 {"failure_domain", "fd-1"},
                                                 {"slots", 8},
                                                 {"target_address", "127.0.0.1:1"},
                                                 {"health_address", "127.0.0.1:0"},
                                                 {"log_level", "warning"},
                                                 {"entry_addresses", addresses}})
                                       .dump();
    const system::Process agent({IBISWALL_BINARY, "agent", settingsFile.string()});
    std::this_thread::sleep_for(settleTime);
    const ResourceSample before = takeSample(agent.pid(), ports);
    std::this_thread::sleep_for(interval);
    const ResourceSample after = takeSample(agent.pid(), ports);
    backgroundLoop.stop();
    print("agent, entries", entries, before, after, "");
    std::filesystem::remove(settingsFile);
}

// Rate of platform reads and writes by idle entries.
void measurePlatform(int entries, std::chrono::seconds interval)
{
    system::ClusterConfig clusterConfig;
    clusterConfig.entries_ = entries;
    clusterConfig.targets_ = 0;
    const Cluster cluster(clusterConfig);
    std::this_thread::sleep_for(settleTime);
    const auto readStats = [&] {
        return system::Json::parse(callHttp({"127.0.0.1", cluster.platformPort_}, {"GET", "/standin/stats", {}, {}}).value().body_);
    };
    const system::Json before = readStats();
    std::this_thread::sleep_for(interval);
    const system::Json after = readStats();
    const auto rate = [&](const char *key) {
        return (after[key].get<double>() - before[key].get<double>()) / static_cast<double>(interval.count());
    };
    std::cout << "platform, entries " << std::setw(4) << entries << std::fixed << std::setprecision(1) << "  reads " << rate("reads")
              << " /s  writes " << rate("writes") << " /s" << std::endl;
}

int runMain(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::vector<int> agents;
    std::vector<int> entries;
    std::vector<int> platform;
    int seconds = 0;
    po::options_description description("Options");
    auto add = description.add_options();
    add("help", "print this");
    add("agents", po::value(&agents)->multitoken(), "measure an entry with so many idle agents");
    add("entries", po::value(&entries)->multitoken(), "measure an idle agent with so many entries");
    add("platform", po::value(&platform)->multitoken(), "count the platform's calls by so many idle entries");
    add("seconds", po::value(&seconds)->default_value(5), "length of each measurement, in s");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
        std::cout << "Usage: bench_links [OPTION]...\n\n" << description;
        return 0;
    }
    for (const int count : agents) {
        measureEntry(count, std::chrono::seconds(seconds));
    }
    for (const int count : entries) {
        measureAgent(count, std::chrono::seconds(seconds));
    }
    for (const int count : platform) {
        measurePlatform(count, std::chrono::seconds(seconds));
    }
    return 0;
}

} // namespace

} // namespace ibiswall::bench

int main(int argc, char **argv)
{
    try {
        return ibiswall::bench::runMain(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "bench_links: " << error.what() << '\n';
        return 1;
    }
}
