// A client cancels a job while the agent that runs it restarts and the answer to one write to the store is lost.

#include "deployment.hpp"

#include <csignal>
#include <thread>

namespace {

constexpr const char *id = "00000000000000d1";
constexpr std::int64_t deadlineMillis = 3000;
constexpr int runMillis = 60000;
constexpr std::int64_t runBeforeMillis = 3000;
constexpr std::int64_t restartMillis = 100;
// From the sheet: contact_ms, cancel_ms and stop_ms.
constexpr std::int64_t contactMillis = 3000;
constexpr std::int64_t cancelMillis = 3000;
constexpr std::int64_t stopMillis = 50;

int run(review::Record &record)
{
    review::DeploymentSettings settings;
    settings.workersInZone_ = 2;
    review::Deployment &deployment = review::startDeployment(settings, record);
    deployment.awaitReady();
    if (deployment.request(0, "POST", id, review::makeJob(1, runMillis, false), deadlineMillis).status_ != 200) {
        return 2;
    }
    review::sleepMillis(runBeforeMillis);
    std::string worker;
    for (const review::RecordedRun &each : record.runs()) {
        worker = each.task_.compare(0, std::string(id).size(), id) == 0 ? each.worker_ : worker;
    }
    review::Agent *agent = nullptr;
    for (review::Agent &each : deployment.agents()) {
        agent = "i-" + each.program_.name_ == worker ? &each : agent;
    }
    if (agent == nullptr) {
        record.line("the task does not run");
        return 2;
    }
    std::thread restart;
    if (!review::isCalm()) {
        record.line("the agent " + agent->program_.name_ + " is killed; the answer to the next write of the job's record is lost");
        deployment.store().loseNextWriteAnswer(id);
        deployment.kill(agent->program_);
        restart = std::thread([&] {
            review::sleepMillis(restartMillis);
            deployment.start(agent->program_);
            record.line("the agent is started again");
        });
    }
    review::Reply reply;
    constexpr int attempts = 3;
    for (int i = 0; i < attempts && reply.status_ != 200 && reply.status_ != 410; ++i) {
        reply = deployment.request(0, "DELETE", id, {}, deadlineMillis);
    }
    if (restart.joinable()) {
        restart.join();
    }
    if (reply.status_ != 200) {
        record.line("the cancel was not acknowledged");
        return 2;
    }
    review::sleepMillis(contactMillis + cancelMillis + stopMillis);
    deployment.request(0, "GET", id, {}, deadlineMillis);
    review::sleepMillis(cancelMillis);
    for (const review::RecordedRun &each : record.runs()) {
        if (each.task_.compare(0, std::string(id).size(), id) == 0 && each.endedAt_ == 0) {
            record.line("UNASKED: " + each.task_ + " of the cancelled job still runs on " + each.worker_);
            return 1;
        }
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
