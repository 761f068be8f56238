// The operator removes a queue while an accepted job of it is half done.

#include "deployment.hpp"

namespace {

constexpr std::int64_t deadlineMillis = 1500;
constexpr int firstStepMillis = 2000;
constexpr int secondStepMillis = 200;
constexpr std::int64_t changeAfterMillis = 500;
// The rule asks for 3 s with nothing running, after 4 s that are calm.
constexpr std::int64_t restMillis = 16000;
constexpr std::int64_t calmBeforeMillis = 4000;
constexpr std::int64_t idleLimitMillis = 3000;
constexpr const char *id = "00000000000000c1";

int run(review::Record &record)
{
    review::Deployment &deployment = review::startDeployment({}, record);
    deployment.awaitReady();
    deployment.store().put("op/config", review::makeConfiguration(4, {{"r-desk", "/jobs/"}, {"r-short", "/short/"}}, true));
    record.line("operator: version 4 adds the queue r-short at /short/");
    review::sleepMillis(2 * idleLimitMillis);
    const nlohmann::json first = {{"count", 2}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", firstStepMillis}};
    const nlohmann::json second = {{"count", 2}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", secondStepMillis}, {"after", {0}}};
    const nlohmann::json job = {{"spec", "ms=" + std::to_string(firstStepMillis)}, {"steps", {first, second}}};
    if (deployment.request(0, "POST", id, job.dump(), deadlineMillis, "/short/").status_ != 200) {
        return 2;
    }
    review::sleepMillis(changeAfterMillis);
    if (!review::isCalm()) {
        deployment.store().put("op/config", review::makeConfiguration(9, {{"r-desk", "/jobs/"}}, true));
        record.line("operator: version 9 removes the queue r-short");
    }
    review::sleepMillis(restMillis);
    deployment.request(0, "GET", id, {}, deadlineMillis, "/short/");
    std::int64_t lastEnd = 0;
    std::size_t ended = 0;
    for (const review::RecordedRun &each : record.runs()) {
        if (each.task_.compare(0, std::string(id).size(), id) == 0 && each.how_ == "done") {
            ++ended;
            lastEnd = std::max(lastEnd, each.endedAt_);
        }
    }
    constexpr std::size_t tasks = 4;
    if (ended == tasks) {
        return 0;
    }
    const std::int64_t idle = record.now() - lastEnd;
    record.line("LOST: " + std::to_string(ended) + " of 4 tasks of the accepted job are done, and for " + std::to_string(idle)
                + " ms nothing of it has run, with the worker idle and its service in the configuration");
    return ended == 2 && idle > calmBeforeMillis + idleLimitMillis ? 1 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
