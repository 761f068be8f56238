// Prints the measures of the dispatcher's policy beside those of naive ones.

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

void printRow(const char *name, const Measures &m, double ownMean)
{
    std::printf("  %-18s %6.2f %7.2f %6.2f %6.2f %8.3f %7.3f %5.1f %6.1f %6.1f %6.1f %6.1f %6.0f %6.1f %6.1f %6.2f %6llu\n", name, m.p50_,
                m.p99_, m.mean_, m.mean_ / ownMean, m.wasted_, m.control_, m.work_, m.complete_, m.best_, m.least_, m.fair_, m.refusalWait_,
                m.workOut_, m.workBack_, m.p99Back_, static_cast<unsigned long long>(m.faultyCalls_));
}

void printHead()
{
    std::printf("  %-18s %6s %7s %6s %6s %8s %7s %5s %6s %6s %6s %6s %6s %6s %6s %6s %6s\n", "policy", "p50", "p99", "mean", "ratio",
                "wasted", "control", "work%", "done%", "best%", "least%", "fair%", "no-ms", "out%", "back%", "p99bk", "faulty");
}

void measureWorkload(const Deployment &deployment, const Workload &workload, std::uint64_t seed)
{
    std::printf("%s %s seed %llu, %zu jobs\n", deployment.name_.c_str(), workload.name_.c_str(), static_cast<unsigned long long>(seed),
                workload.jobs_.size());
    printHead();
    double ownMean = 0;
    for (const NamedPolicy &policy : policies) {
        const Measures measures = measure(deployment, workload, simulate(deployment, workload, policy.naive_, seed));
        ownMean = policy.naive_ ? ownMean : measures.mean_;
        printRow(policy.name_, measures, ownMean);
    }
    if (workload.bounded_) {
        printRow("shared-queue-bound", measure(deployment, workload, simulateSharedQueue(deployment, workload)), ownMean);
    }
    std::fflush(stdout);
}

void measureAll(std::uint64_t seed, const std::string &only)
{
    std::printf("Response over the ideal (p50, p99, mean; ratio: mean over ibiswall's); wasted and control messages a finished task;\n"
                "work%%: useful work over the lesser of offered and capacity; done%%, best%%, least%%: jobs complete, of all and of the\n"
                "most and least valuable kind; fair%%: worst member over its fair share; no-ms: median wait for an answer that is not\n"
                "complete; out%%, back%%: use of the slots in service in seconds 14-25 and 25-30 (a fault lasts from 12 to 25); p99bk:\n"
                "p99 of jobs that arrive in seconds 25-30; faulty: calls that a failing worker drew.\n");
    for (const Deployment &deployment : makeDeployments()) {
        for (const Workload &workload : makeWorkloads(deployment, seed)) {
            if (only.empty() || workload.name_ == only) {
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
