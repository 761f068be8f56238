// Compares the dispatcher with naive policies on simulated workloads and prints a table of measures.

#include "measures.hpp"
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

namespace {

using namespace ibiswall::bench; // NOLINT(google-build-using-namespace)

struct NamedPolicy
{
    const char *name_;
    std::optional<NaivePolicy> naive_;
};

const std::vector<NamedPolicy> policies = {{"ibiswall", std::nullopt},
                                           {"random", NaivePolicy::Random},
                                           {"round-robin", NaivePolicy::RoundRobin},
                                           {"first-in-first-out", NaivePolicy::FirstInFirstOut},
                                           {"unlimited-retry", NaivePolicy::UnlimitedRetry}};

void printRow(const char *name, const Measures &row, double dispatcherMean)
{
    std::printf("  %-18s %6.2f %7.2f %6.2f %6.2f %8.3f %7.3f %5.1f %6.1f %6.1f %6.1f %6.1f %6.0f %6.1f %6.1f %6.2f %6llu\n", name,
                row.p50Slowdown_, row.p99Slowdown_, row.meanSlowdown_, row.meanSlowdown_ / dispatcherMean, row.wastedPerTask_,
                row.controlPerTask_, row.workPercent_, row.completePercent_, row.mostValuablePercent_, row.leastValuablePercent_,
                row.minFairnessPercent_, row.incompleteWaitMillis_, row.outageUtilizationPercent_, row.recoveryUtilizationPercent_,
                row.p99RecoverySlowdown_, static_cast<unsigned long long>(row.faultyCalls_));
}

void printHeader()
{
    std::printf("  %-18s %6s %7s %6s %6s %8s %7s %5s %6s %6s %6s %6s %6s %6s %6s %6s %6s\n", "policy", "p50", "p99", "mean", "ratio",
                "wasted", "control", "work%", "done%", "best%", "least%", "fair%", "no-ms", "out%", "back%", "p99bk", "faulty");
}

void measureWorkload(const Deployment &deployment, const Workload &workload, std::uint64_t seed)
{
    std::printf("%s %s seed %llu, %zu jobs\n", deployment.name_.c_str(), workload.name_.c_str(), static_cast<unsigned long long>(seed),
                workload.jobs_.size());
    printHeader();
    double dispatcherMean = 0;
    for (const NamedPolicy &policy : policies) {
        const Measures measures = measure(deployment, workload, simulate(deployment, workload, policy.naive_, seed));
        dispatcherMean = policy.naive_ ? dispatcherMean : measures.meanSlowdown_;
        printRow(policy.name_, measures, dispatcherMean);
    }
    if (workload.hasSharedQueueBound_) {
        printRow("shared-queue-bound", measure(deployment, workload, simulateSharedQueue(deployment, workload)), dispatcherMean);
    }
    std::fflush(stdout);
}

void measureAll(std::uint64_t seed, const std::string &workloadFilter)
{
    std::printf(
        "Response time over the ideal (p50, p99, mean; ratio: mean over that of ibiswall); wasted and control messages per\n"
        "finished task; work%%: useful work over the smaller of offered work and capacity; done%%, best%%, least%%: complete jobs,\n"
        "of all, of the most and of the least valuable kind; fair%%: smallest ratio of work to fair share of a member; no-ms:\n"
        "median response time of answered jobs that are not complete; out%%, back%%: utilization of the slots in service in\n"
        "seconds 14-25 and 25-30 (a fault lasts from 12 to 25); p99bk: p99 of jobs that arrive in seconds 25-30; faulty: tasks\n"
        "that a failing worker received.\n");
    for (const Deployment &deployment : makeDeployments()) {
        for (const Workload &workload : makeWorkloads(deployment, seed)) {
            if (workloadFilter.empty() || workload.name_ == workloadFilter) {
                measureWorkload(deployment, workload, seed);
            }
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("measure");
    description.add_options()("seed", options::value<std::uint64_t>()->default_value(1),
                              "seed of the workloads")("workload", options::value<std::string>()->default_value(""), "only this workload");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << "measure: " << error.what() << "\n" << description;
        return 2;
    }
    measureAll(values["seed"].as<std::uint64_t>(), values["workload"].as<std::string>());
    return 0;
}
