// Load generator: starts a deployment of real processes on loopback and prints its throughput, latency and resource usage.

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

constexpr std::size_t idsPerRequest = 200;
constexpr std::size_t baselineCalls = 2000;
constexpr double microsPerSecond = 1e6;

struct Options
{
    ClusterConfig clusterConfig_;
    std::size_t tasksPerJob_ = 100;
    std::size_t callers_ = 8;
    std::size_t payloadBytes_ = 64;
    std::chrono::seconds loadDuration_{10};
};

// Results of one or more callers.
struct JobStats
{
    std::vector<double> jobMicros_;
    std::size_t complete_ = 0;
    std::size_t failed_ = 0;
};

struct CallerOptions
{
    Address entry_;
    std::string body_;
    Clock::time_point deadline_;
    std::size_t maxJobs_ = SIZE_MAX;
};

// Submits jobs one after the other until the deadline or the maximum number of jobs; requests job ids in batches.
class Caller
{
public:
    Caller(boost::asio::io_context &io, CallerOptions callerOptions, JobStats &stats)
        : options_(std::move(callerOptions))
        , stats_(stats)
        , client_(io, options_.entry_, "Bearer studio-token", [this](const ClientReply &reply, ClientRequest &request) {
            return nextRequest(reply, request);
        })
    {
        client_.start();
    }

private:
    bool nextRequest(const ClientReply &reply, ClientRequest &request)
    {
        handleReply(reply);
        if (answered_ >= options_.maxJobs_ || Clock::now() >= options_.deadline_) {
            return false;
        }
        if (ids_.empty()) {
            request = {"POST", "/v1/ids?count=" + std::to_string(idsPerRequest), {}};
            return true;
        }
        request = {"PUT", "/v1/jobs/" + ids_.back(), options_.body_};
        ids_.pop_back();
        submitted_ = true;
        return true;
    }

    void handleReply(const ClientReply &reply)
    {
        if (reply.status_ == 0) {
            return;
        }
        if (!submitted_) {
            ids_ = system::Json::parse(reply.body_).at("ids").get<std::vector<std::string>>();
            return;
        }
        submitted_ = false;
        ++answered_;
        const bool complete = reply.body_.find(R"("state":"complete")") != std::string::npos;
        ++(complete ? stats_.complete_ : stats_.failed_);
        stats_.jobMicros_.push_back(std::chrono::duration<double, std::micro>(reply.duration_).count());
    }

    CallerOptions options_;
    JobStats &stats_;
    std::vector<std::string> ids_;
    std::size_t answered_ = 0;
    bool submitted_ = false;
    Client client_;
};

std::string makeBody(std::size_t tasks, std::size_t payload)
{
    return system::Json({{"kind", "load"}, {"tasks", std::vector<std::string>(tasks, std::string(payload, 'x'))}}).dump();
}

// Lower quantile without interpolation; 0 if there are no values.
double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// Latencies of calls to a target without ibiswall, in microseconds.
std::vector<double> measureDirectCalls(std::uint16_t target, std::size_t payload)
{
    boost::asio::io_context io(1);
    std::vector<double> micros;
    std::size_t sent = 0;
    Client client(io, {"127.0.0.1", target}, "", [&](const ClientReply &reply, ClientRequest &request) {
        if (reply.status_ != 0) {
            micros.push_back(std::chrono::duration<double, std::micro>(reply.duration_).count());
        }
        request = {"POST", "/run", std::string(payload, 'x')};
        return sent++ < baselineCalls;
    });
    client.start();
    io.run();
    return micros;
}

// Latencies of jobs with one task, in microseconds.
std::vector<double> measureSingleTasks(const Cluster &cluster, std::size_t payload)
{
    boost::asio::io_context io(1);
    JobStats stats;
    const CallerOptions callerOptions{
        {"127.0.0.1", cluster.entries_[0].callersPort_}, makeBody(1, payload), Clock::time_point::max(), baselineCalls};
    const Caller caller(io, callerOptions, stats);
    io.run();
    return stats.jobMicros_;
}

// Resource usage of all entries and agents at one point in time.
struct Sample
{
    Clock::time_point takenAt_;
    Usage entries_;
    Usage agents_;
    LinkBytes links_;
};

void add(Usage &sum, const Usage &usage)
{
    sum.cpuSeconds_ += usage.cpuSeconds_;
    sum.residentBytes_ += usage.residentBytes_;
}

Sample takeSample(const Cluster &cluster)
{
    Sample sample;
    sample.takenAt_ = Clock::now();
    for (const auto &entry : cluster.entries_) {
        add(sample.entries_, readUsage(entry.process_->pid()));
        const LinkBytes bytes = readLinkBytes(entry.linksPort_);
        sample.links_.received_ += bytes.received_;
        sample.links_.sent_ += bytes.sent_;
    }
    for (const auto &node : cluster.targetNodes_) {
        add(sample.agents_, readUsage(node.agent_->pid()));
    }
    return sample;
}

void runCallers(const Cluster &cluster, const Options &options, JobStats &stats)
{
    boost::asio::io_context io(1);
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t i = 0; i < options.callers_; ++i) {
        const auto &entry = cluster.entries_[i % cluster.entries_.size()];
        callers.push_back(std::make_unique<Caller>(io,
                                                   CallerOptions{{"127.0.0.1", entry.callersPort_},
                                                                 makeBody(options.tasksPerJob_, options.payloadBytes_),
                                                                 Clock::now() + options.loadDuration_},
                                                   stats));
    }
    io.run();
}

void print(const std::string &name, double value, const std::string &unit)
{
    std::cout << std::left << std::setw(36) << name << std::right << std::setw(14) << std::fixed << std::setprecision(1) << value << ' '
              << unit << '\n';
}

void printLatency(const std::vector<double> &direct, const std::vector<double> &singleTask)
{
    for (const auto &[name, fraction] : {std::pair("p50", 0.5), std::pair("p99", 0.99)}) {
        const std::string label = name;
        print("bare target call " + label, quantile(direct, fraction), "us");
        print("single task " + label, quantile(singleTask, fraction), "us");
        print("added latency " + label, quantile(singleTask, fraction) - quantile(direct, fraction), "us");
    }
}

void printLoad(const Options &options, const JobStats &stats, const Sample &before, const Sample &after)
{
    const double seconds = std::chrono::duration<double>(after.takenAt_ - before.takenAt_).count();
    const double tasks = static_cast<double>(stats.complete_ * options.tasksPerJob_);
    const double entryCpu = after.entries_.cpuSeconds_ - before.entries_.cpuSeconds_;
    const double agentCpu = after.agents_.cpuSeconds_ - before.agents_.cpuSeconds_;
    constexpr double bytesPerMebibyte = 1U << 20U;
    print("jobs complete", static_cast<double>(stats.complete_), "");
    print("jobs not complete", static_cast<double>(stats.failed_), "");
    print("tasks a second", tasks / seconds, "");
    print("job time p50", quantile(stats.jobMicros_, 0.5), "us");
    print("job time p99", quantile(stats.jobMicros_, 0.99), "us");
    print("entry: tasks a second per core", tasks / entryCpu, "");
    print("entry: processor time a task", entryCpu / tasks * microsPerSecond, "us");
    print("agent: tasks a second per core", tasks / agentCpu, "");
    print("agent: processor time a task", agentCpu / tasks * microsPerSecond, "us");
    print("links to entries: bytes a task", static_cast<double>(after.links_.received_ - before.links_.received_) / tasks, "B");
    print("links to agents: bytes a task", static_cast<double>(after.links_.sent_ - before.links_.sent_) / tasks, "B");
    print("entries resident at start", static_cast<double>(before.entries_.residentBytes_) / bytesPerMebibyte, "MiB");
    print("entries resident at end", static_cast<double>(after.entries_.residentBytes_) / bytesPerMebibyte, "MiB");
    print("agents resident at start", static_cast<double>(before.agents_.residentBytes_) / bytesPerMebibyte, "MiB");
    print("agents resident at end", static_cast<double>(after.agents_.residentBytes_) / bytesPerMebibyte, "MiB");
}

void run(const Options &options)
{
    Cluster cluster(options.clusterConfig_);
    cluster.planAndConfirm(0, {{"op", "set-kind"}, {"name", "load"}, {"value", 1}, {"deadline_ms", 60000}, {"repeatable", false}});
    for (std::size_t i = 0; i < cluster.targetNodes_.size(); ++i) {
        cluster.setTargetMode(i, {{"run_ms", options.clusterConfig_.runMillis_}, {"recording", false}});
    }
    for (std::size_t i = 0; i < cluster.entries_.size(); ++i) {
        system::await("the entry completes a job of the new kind",
                      [&] { return cluster.submit(i, "load", 1).value("state", "") == "complete"; });
    }
    printLatency(measureDirectCalls(cluster.targetNodes_[0].targetPort_, options.payloadBytes_),
                 measureSingleTasks(cluster, options.payloadBytes_));
    JobStats stats;
    const Sample before = takeSample(cluster);
    runCallers(cluster, options, stats);
    printLoad(options, stats, before, takeSample(cluster));
}

int runMain(int argc, char **argv)
{
    namespace po = boost::program_options;
    Options options;
    ClusterConfig &clusterConfig = options.clusterConfig_;
    int seconds = 0;
    po::options_description description("Options");
    auto add = description.add_options();
    add("help", "print this");
    add("entries", po::value(&clusterConfig.entries_)->default_value(1), "entries");
    add("agents", po::value(&clusterConfig.targets_)->default_value(6), "agents, each with a stand-in target");
    add("slots", po::value(&clusterConfig.slots_)->default_value(16), "slots of each target");
    add("run-ms", po::value(&clusterConfig.runMillis_)->default_value(0), "run time of a task, in ms");
    add("tasks", po::value(&options.tasksPerJob_)->default_value(100), "tasks of each job");
    add("callers", po::value(&options.callers_)->default_value(8), "callers, each with one job in progress");
    add("payload", po::value(&options.payloadBytes_)->default_value(64), "bytes of each task's payload");
    add("seconds", po::value(&seconds)->default_value(10), "length of the load, in s, at most 120");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
        std::cout << "Usage: bench_load [OPTION]...\n\n" << description;
        return 0;
    }
    constexpr int maxSeconds = 120;
    options.loadDuration_ = std::chrono::seconds(std::clamp(seconds, 1, maxSeconds));
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
