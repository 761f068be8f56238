// Drives a deployment of real processes on loopback and prints its throughput, latency and cost.

#include "client.hpp"
#include "usage.hpp"

#include "../../tests/system/cluster.hpp"
#include <algorithm>
#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>

namespace ibiswall::bench {

namespace {

using system::Cluster;
using system::ClusterConfig;
using Clock = std::chrono::steady_clock;

constexpr std::size_t idsPerCall = 200;
constexpr std::size_t bareCalls = 2000;
constexpr double microsPerSecond = 1e6;

struct Options
{
    ClusterConfig shape_;
    std::size_t tasks_ = 100;
    std::size_t callers_ = 8;
    std::size_t payload_ = 64;
    std::chrono::seconds length_{10};
};

// What one or more callers saw.
struct Tally
{
    std::vector<double> jobMicros_;
    std::size_t complete_ = 0;
    std::size_t failed_ = 0;
};

struct CallerPlan
{
    Address entry_;
    std::string body_;
    Clock::time_point until_;
    std::size_t maxJobs_ = SIZE_MAX;
};

// Submits jobs until the time or the count is over, taking ids in batches.
class Caller
{
public:
    Caller(boost::asio::io_context &io, CallerPlan plan, Tally &tally)
        : plan_(std::move(plan))
        , tally_(tally)
        , client_(io, plan_.entry_, "Bearer studio-token", [this](const ClientReply &reply, ClientRequest &request) {
            return next(reply, request);
        })
    {
        client_.start();
    }

private:
    bool next(const ClientReply &reply, ClientRequest &request)
    {
        take(reply);
        if (done_ >= plan_.maxJobs_ || Clock::now() >= plan_.until_) {
            return false;
        }
        if (ids_.empty()) {
            request = {"POST", "/v1/ids?count=" + std::to_string(idsPerCall), {}};
            return true;
        }
        request = {"PUT", "/v1/jobs/" + ids_.back(), plan_.body_};
        ids_.pop_back();
        submitted_ = true;
        return true;
    }

    void take(const ClientReply &reply)
    {
        if (reply.status_ == 0) {
            return;
        }
        if (!submitted_) {
            ids_ = system::Json::parse(reply.body_).at("ids").get<std::vector<std::string>>();
            return;
        }
        submitted_ = false;
        ++done_;
        const bool complete = reply.body_.find(R"("state":"complete")") != std::string::npos;
        ++(complete ? tally_.complete_ : tally_.failed_);
        tally_.jobMicros_.push_back(std::chrono::duration<double, std::micro>(reply.took_).count());
    }

    CallerPlan plan_;
    Tally &tally_;
    std::vector<std::string> ids_;
    std::size_t done_ = 0;
    bool submitted_ = false;
    Client client_;
};

std::string makeBody(std::size_t tasks, std::size_t payload)
{
    return system::Json({{"kind", "load"}, {"tasks", std::vector<std::string>(tasks, std::string(payload, 'x'))}}).dump();
}

// The value below which a share of the values lies.
double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

std::vector<double> timeBareCalls(std::uint16_t target, std::size_t payload)
{
    boost::asio::io_context io(1);
    std::vector<double> micros;
    std::size_t sent = 0;
    Client client(io, {"127.0.0.1", target}, "", [&](const ClientReply &reply, ClientRequest &request) {
        if (reply.status_ != 0) {
            micros.push_back(std::chrono::duration<double, std::micro>(reply.took_).count());
        }
        request = {"POST", "/run", std::string(payload, 'x')};
        return sent++ < bareCalls;
    });
    client.start();
    io.run();
    return micros;
}

std::vector<double> timeSingleTasks(const Cluster &cluster, std::size_t payload)
{
    boost::asio::io_context io(1);
    Tally tally;
    const CallerPlan plan{{"127.0.0.1", cluster.entries_[0].callersPort_}, makeBody(1, payload), Clock::time_point::max(), bareCalls};
    const Caller caller(io, plan, tally);
    io.run();
    return tally.jobMicros_;
}

struct Sample
{
    Clock::time_point at_;
    Usage entries_;
    Usage agents_;
    LinkBytes links_;
};

void add(Usage &sum, const Usage &one)
{
    sum.cpuSeconds_ += one.cpuSeconds_;
    sum.residentBytes_ += one.residentBytes_;
}

Sample takeSample(const Cluster &cluster)
{
    Sample sample;
    sample.at_ = Clock::now();
    for (const auto &entry : cluster.entries_) {
        add(sample.entries_, readUsage(entry.process_->pid()));
        const LinkBytes bytes = readLinkBytes(entry.linksPort_);
        sample.links_.received_ += bytes.received_;
        sample.links_.sent_ += bytes.sent_;
    }
    for (const auto &place : cluster.targetNodes_) {
        add(sample.agents_, readUsage(place.agent_->pid()));
    }
    return sample;
}

void runCallers(const Cluster &cluster, const Options &options, Tally &tally)
{
    boost::asio::io_context io(1);
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t i = 0; i < options.callers_; ++i) {
        const auto &entry = cluster.entries_[i % cluster.entries_.size()];
        callers.push_back(std::make_unique<Caller>(
            io, CallerPlan{{"127.0.0.1", entry.callersPort_}, makeBody(options.tasks_, options.payload_), Clock::now() + options.length_},
            tally));
    }
    io.run();
}

void print(const std::string &name, double value, const std::string &unit)
{
    std::cout << std::left << std::setw(36) << name << std::right << std::setw(14) << std::fixed << std::setprecision(1) << value << ' '
              << unit << '\n';
}

void printLatency(const std::vector<double> &bare, const std::vector<double> &single)
{
    for (const auto &[name, share] : {std::pair("p50", 0.5), std::pair("p99", 0.99)}) {
        const std::string label = name;
        print("bare target call " + label, quantile(bare, share), "us");
        print("single task " + label, quantile(single, share), "us");
        print("added latency " + label, quantile(single, share) - quantile(bare, share), "us");
    }
}

void printLoad(const Options &options, const Tally &tally, const Sample &before, const Sample &after)
{
    const double seconds = std::chrono::duration<double>(after.at_ - before.at_).count();
    const double tasks = static_cast<double>(tally.complete_ * options.tasks_);
    const double entryCpu = after.entries_.cpuSeconds_ - before.entries_.cpuSeconds_;
    const double agentCpu = after.agents_.cpuSeconds_ - before.agents_.cpuSeconds_;
    constexpr double mebi = 1U << 20U;
    print("jobs complete", static_cast<double>(tally.complete_), "");
    print("jobs not complete", static_cast<double>(tally.failed_), "");
    print("tasks a second", tasks / seconds, "");
    print("job time p50", quantile(tally.jobMicros_, 0.5), "us");
    print("job time p99", quantile(tally.jobMicros_, 0.99), "us");
    print("entry: tasks a second per core", tasks / entryCpu, "");
    print("entry: processor time a task", entryCpu / tasks * microsPerSecond, "us");
    print("agent: tasks a second per core", tasks / agentCpu, "");
    print("agent: processor time a task", agentCpu / tasks * microsPerSecond, "us");
    print("links to entries: bytes a task", static_cast<double>(after.links_.received_ - before.links_.received_) / tasks, "B");
    print("links to agents: bytes a task", static_cast<double>(after.links_.sent_ - before.links_.sent_) / tasks, "B");
    print("entries resident at start", static_cast<double>(before.entries_.residentBytes_) / mebi, "MiB");
    print("entries resident at end", static_cast<double>(after.entries_.residentBytes_) / mebi, "MiB");
    print("agents resident at start", static_cast<double>(before.agents_.residentBytes_) / mebi, "MiB");
    print("agents resident at end", static_cast<double>(after.agents_.residentBytes_) / mebi, "MiB");
}

void run(const Options &options)
{
    Cluster cluster(options.shape_);
    cluster.planAndConfirm(0, {{"op", "set-kind"}, {"name", "load"}, {"value", 1}, {"deadline_ms", 60000}, {"repeatable", false}});
    for (std::size_t i = 0; i < cluster.targetNodes_.size(); ++i) {
        cluster.setTargetMode(i, {{"run_ms", options.shape_.runMillis_}, {"recording", false}});
    }
    for (std::size_t i = 0; i < cluster.entries_.size(); ++i) {
        system::await("the kind is known", [&] { return cluster.submit(i, "load", 1).value("state", "") == "complete"; });
    }
    printLatency(timeBareCalls(cluster.targetNodes_[0].targetPort_, options.payload_), timeSingleTasks(cluster, options.payload_));
    Tally tally;
    const Sample before = takeSample(cluster);
    runCallers(cluster, options, tally);
    printLoad(options, tally, before, takeSample(cluster));
}

int runMain(int argc, char **argv)
{
    namespace po = boost::program_options;
    Options options;
    ClusterConfig &shape = options.shape_;
    int seconds = 0;
    po::options_description known("Options");
    auto add = known.add_options();
    add("help", "print this");
    add("entries", po::value(&shape.entries_)->default_value(1), "entries");
    add("agents", po::value(&shape.targets_)->default_value(6), "agents, each with a stand-in target");
    add("slots", po::value(&shape.slots_)->default_value(16), "slots of each target");
    add("run-ms", po::value(&shape.runMillis_)->default_value(0), "run time of a task, in ms");
    add("tasks", po::value(&options.tasks_)->default_value(100), "tasks of each job");
    add("callers", po::value(&options.callers_)->default_value(8), "callers, each with one job in progress");
    add("payload", po::value(&options.payload_)->default_value(64), "bytes of each task's payload");
    add("seconds", po::value(&seconds)->default_value(10), "length of the load, in s, at most 120");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, known), values);
    po::notify(values);
    if (values.count("help") > 0) {
        std::cout << "Usage: bench_load [OPTION]...\n\n" << known;
        return 0;
    }
    constexpr int maxSeconds = 120;
    options.length_ = std::chrono::seconds(std::clamp(seconds, 1, maxSeconds));
    run(options);
    return 0;
}

} // namespace

} // namespace ibiswall::bench

int main(int argc, char **argv)
{
    try {
        return ibiswall::bench::runMain(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "bench_load: " << error.what() << '\n';
        return 1;
    }
}
