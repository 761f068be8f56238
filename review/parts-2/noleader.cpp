// The leader is lost for good, and all other entries are restarted at the same moment.

#include "deployment.hpp"

namespace {

constexpr std::size_t zones = 3;
constexpr std::int64_t deadlineMillis = 1500;
constexpr std::int64_t restartMillis = 500;
// contact_ms, and the 4 s before the 3 s of the rule.
constexpr std::int64_t calmMillis = 7000;
constexpr std::int64_t idleLimitMillis = 3000;
constexpr std::int64_t watchMillis = 12000;
constexpr const char *id = "00000000000000f1";

int run(review::Record &record)
{
    review::DeploymentSettings settings;
    settings.zones_ = zones;
    settings.workersInZone_ = 2;
    review::Deployment &deployment = review::startDeployment(settings, record);
    deployment.awaitReady();
    const std::size_t leader = deployment.leaderZone();
    const std::size_t other = (leader + 1) % zones;
    if (!review::isCalm()) {
        record.line("front-" + std::to_string(leader) + " leads and is lost for good; the other entries are killed");
        for (review::Entry &entry : deployment.entries()) {
            deployment.kill(entry.program_);
        }
        review::sleepMillis(restartMillis);
        for (std::size_t zone = 0; zone < zones; ++zone) {
            if (zone != leader) {
                deployment.start(deployment.entries()[zone].program_);
            }
        }
        record.line("the other entries are started again");
    }
    review::sleepMillis(calmMillis);
    if (deployment.request(other, "POST", id, review::makeJob(2, 200, false), deadlineMillis).status_ != 200) {
        record.line("not accepted");
        return 2;
    }
    const std::int64_t acceptedAt = record.now();
    review::sleepMillis(watchMillis);
    std::int64_t startedAt = record.now();
    for (const review::RecordedRun &each : record.runs()) {
        if (each.task_.compare(0, std::string(id).size(), id) == 0) {
            startedAt = std::min(startedAt, each.startedAt_);
        }
    }
    record.line("the accepted job had nothing running for " + std::to_string(startedAt - acceptedAt) + " ms");
    return startedAt - acceptedAt > idleLimitMillis ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
