// A zone with the leader and a worker is cut off. A client gets no answer in time and sends its job again.

#include "deployment.hpp"

#include <thread>

namespace {

constexpr std::size_t zones = 3;
constexpr int jobs = 6;
constexpr int runMillis = 3600;
constexpr std::int64_t deadlineMillis = 1500;
constexpr std::int64_t resendMillis = 1300;
constexpr std::int64_t cutAfterMillis = 1250;
constexpr std::int64_t cutMillis = 5000;

// Sends a job until it gets an answer other than those after which it is to be sent again.
void runClient(review::Deployment &deployment, std::size_t entry, std::size_t leader, const std::string &id)
{
    constexpr int attempts = 5;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const int status = deployment.request(entry, "POST", id, review::makeJob(1, runMillis, true), deadlineMillis).status_;
        if (status != 0 && status != 502 && status != 504) {
            return;
        }
        review::sleepMillis(resendMillis);
        // Any entry but the one that is cut off: the platform has taken it out of the rotation.
        do {
            entry = (entry + 1) % zones;
        } while (entry == leader);
    }
}

int run(review::Record &record)
{
    review::DeploymentSettings settings;
    settings.zones_ = zones;
    settings.separable_ = true;
    review::Deployment &deployment = review::startDeployment(settings, record);
    deployment.awaitReady();
    const std::size_t leader = deployment.leaderZone();
    record.line("the leader is in zone " + std::to_string(leader));
    std::vector<std::thread> clients;
    for (int i = 0; i < jobs; ++i) {
        const std::size_t entry = (leader + 1 + static_cast<std::size_t>(i) % 2) % zones;
        clients.emplace_back(
            [&deployment, entry, leader, i] { runClient(deployment, entry, leader, "00000000000000a" + std::to_string(i)); });
    }
    review::sleepMillis(cutAfterMillis);
    if (!review::isCalm()) {
        deployment.cutZone(leader, true);
        review::sleepMillis(cutMillis);
        deployment.cutZone(leader, false);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const std::vector<review::Overlap> overlaps = record.overlaps();
    for (const review::Overlap &each : overlaps) {
        record.line("TWICE: " + each.first_.task_ + " ran on " + each.first_.worker_ + " and " + each.second_.worker_
                    + " at the same time, for " + std::to_string(each.millis_) + " ms");
    }
    if (record.runs().size() < jobs) {
        record.line("too few runs");
        return 2;
    }
    return overlaps.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
