// A worker that is idle crashes and starts again under its id. Jobs come from shortly before its first heartbeat on.

#include "deployment.hpp"

namespace {

constexpr std::int64_t deadlineMillis = 1500;
constexpr std::int64_t idleMillis = 3000;
constexpr std::int64_t downMillis = 2000;
// Heartbeats come about every 1,500 ms.
constexpr std::int64_t firstHeartbeatMillis = 800;
constexpr std::int64_t jobAfterMillis = 500;
constexpr std::int64_t restMillis = 6000;
// At most stop_ms, which is 50.
constexpr std::int64_t stopMillis = 45;
constexpr int shortMillis = 60;
constexpr int longMillis = 2000;
constexpr int tasks = 14;
constexpr int laterJobs = 20;
constexpr std::int64_t laterMillis = 50;

std::string makeId(int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(0xe0 + number));
    return id;
}

int run(review::Record &record)
{
    review::DeploymentSettings settings;
    settings.workersInZone_ = 7;
    settings.stopMillis_ = stopMillis;
    // Room for all tasks at once.
    settings.cpu_ = 64000;
    review::Deployment &deployment = review::startDeployment(settings, record);
    deployment.awaitReady();
    review::sleepMillis(idleMillis);
    review::Worker &worker = *deployment.agents().front().worker_;
    if (!review::isCalm()) {
        worker.crash();
        review::sleepMillis(downMillis);
        worker.restart(firstHeartbeatMillis);
        review::sleepMillis(jobAfterMillis);
    }
    int number = 0;
    const auto submit = [&](int runMillis) {
        return deployment.request(0, "POST", makeId(number++), review::makeJob(tasks, runMillis, false), deadlineMillis).status_ == 200;
    };
    bool accepted = submit(longMillis) && submit(shortMillis);
    for (int i = 0; i < laterJobs; ++i) {
        review::sleepMillis(laterMillis);
        accepted = submit(shortMillis) && accepted;
    }
    review::sleepMillis(restMillis);
    bool completed = true;
    for (int i = 0; i < number; ++i) {
        const review::Reply state = deployment.request(0, "GET", makeId(i), {}, deadlineMillis);
        completed = completed && state.body_.find("completed") != std::string::npos;
    }
    const std::vector<review::Overlap> overlaps = record.overlaps();
    for (const review::Overlap &each : overlaps) {
        record.line("TWICE: " + each.first_.task_ + " ran on " + each.first_.worker_ + " and " + each.second_.worker_
                    + " at the same time, for " + std::to_string(each.millis_) + " ms");
    }
    const auto repetitions = record.repetitions();
    for (const auto &[first, second] : repetitions) {
        record.line("TWICE: " + second.task_ + " was started on " + second.worker_ + " "
                    + std::to_string(second.startedAt_ - first.endedAt_) + " ms after it had ended done on " + first.worker_
                    + ", and that end was taken note of");
    }
    if (!overlaps.empty() || !repetitions.empty()) {
        return 1;
    }
    return accepted && completed ? 0 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
