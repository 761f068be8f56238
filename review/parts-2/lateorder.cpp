// Workers that have been idle for a while, with clocks that are slow within the limit, get a job. One of them leaves its orders
// unanswered and carries them out late.

#include "deployment.hpp"

namespace {

// Orders that have arrived at all workers, and those of them that were left unanswered.
std::pair<int, int> countOrders(review::Deployment &deployment)
{
    std::pair<int, int> counts{0, 0};
    for (const review::Agent &each : deployment.agents()) {
        counts.first += each.worker_->orders();
        counts.second += each.worker_->unansweredOrders();
    }
    return counts;
}

constexpr std::int64_t idleMillis = 80000;
constexpr double clockSpeed = 0.98;
constexpr int workers = 12;
constexpr int tasks = 24;
constexpr int runMillis = 4000;
constexpr std::int64_t deadlineMillis = 1500;
// Orders are carried out 2 to 12 s late.
constexpr std::int64_t orderDelayMillis = 2300;
constexpr std::int64_t disruptionMillis = 2500;
constexpr std::int64_t restMillis = 9000;

int run(review::Record &record)
{
    review::DeploymentSettings settings;
    settings.workersInZone_ = workers;
    settings.clockSpeed_ = clockSpeed;
    review::Deployment &deployment = review::startDeployment(settings, record);
    deployment.awaitReady();
    record.line("nothing is sent for " + std::to_string(idleMillis) + " ms");
    review::sleepMillis(idleMillis);
    review::Worker &worker = *deployment.agents().front().worker_;
    if (!review::isCalm()) {
        worker.delayOrders(orderDelayMillis);
    }
    const int ordersBefore = countOrders(deployment).first;
    const std::string id = "00000000000000b1";
    if (deployment.request(0, "POST", id, review::makeJob(tasks, runMillis, false), deadlineMillis).status_ != 200) {
        return 2;
    }
    review::sleepMillis(disruptionMillis);
    worker.delayOrders(0);
    const auto [orders, unanswered] = countOrders(deployment);
    record.line(std::to_string(unanswered) + " of " + std::to_string(orders - ordersBefore) + " orders were left unanswered");
    review::sleepMillis(restMillis);
    const review::Reply state = deployment.request(0, "GET", id, {}, deadlineMillis);
    const std::vector<review::Overlap> overlaps = record.overlaps();
    for (const review::Overlap &each : overlaps) {
        record.line("TWICE: " + each.first_.task_ + " ran on " + each.first_.worker_ + " and " + each.second_.worker_
                    + " at the same time, for " + std::to_string(each.millis_) + " ms");
    }
    if (state.body_.find("completed") == std::string::npos) {
        record.line("the job was not completed");
        return overlaps.empty() ? 2 : 1;
    }
    return overlaps.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
