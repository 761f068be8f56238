// Many users come at once: more jobs are accepted than the entries have memory for. The platform kills a process over its limit.

#include "deployment.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

namespace {

constexpr std::size_t zones = 3;
constexpr std::int64_t deadlineMillis = 1500;
constexpr std::size_t specBytes = 4000;
constexpr int runMillis = 900;
constexpr int clients = 18;
constexpr int manyJobs = 60000;
constexpr int fewJobs = 600;
constexpr std::int64_t trafficMillis = 45000;
constexpr std::int64_t finishMillis = 14000;
constexpr std::int64_t watchMillis = 20000;
// memory_mb of a front machine.
constexpr long memoryKilobytes = 260L * 1024;
constexpr std::int64_t restartMillis = 500;
// The rule asks for 3 s with nothing running.
constexpr std::int64_t idleLimitMillis = 3000;

long residentKilobytes(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (in >> word) {
        if (word == "VmRSS:") {
            long kilobytes = 0;
            in >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

// Kills entries that exceed their memory and starts them again, as the platform does.
class Platform
{
public:
    Platform(review::Deployment &deployment, review::Record &record)
        : deployment_(deployment)
        , record_(record)
    {
        for (std::size_t zone = 0; zone < zones; ++zone) {
            std::thread([this, zone] { watch(zone); }).detach();
        }
    }

    int kills() const
    {
        return kills_;
    }

    long peakKilobytes() const
    {
        return peak_;
    }

private:
    void watch(std::size_t zone)
    {
        constexpr std::int64_t interval = 20;
        for (;;) {
            review::sleepMillis(interval);
            review::Program &program = deployment_.entries()[zone].program_;
            const long used = residentKilobytes(program.pid_);
            peak_ = std::max(peak_.load(), used);
            if (used > memoryKilobytes) {
                ++kills_;
                record_.line("platform: " + program.name_ + " has " + std::to_string(used) + " KB and is killed");
                deployment_.kill(program);
                review::sleepMillis(restartMillis);
                deployment_.start(program);
            }
        }
    }

    review::Deployment &deployment_;
    review::Record &record_;
    std::atomic<int> kills_{0};
    std::atomic<long> peak_{0};
};

std::string makeId(int number)
{
    constexpr int first = 0x100000;
    char id[17];
    std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(first + number));
    return id;
}

int run(review::Record &record)
{
    review::DeploymentSettings settings;
    settings.zones_ = zones;
    review::Deployment &deployment = review::startDeployment(settings, record);
    deployment.awaitReady();
    static std::unique_ptr<Platform> platform;
    platform = std::make_unique<Platform>(deployment, record);
    const nlohmann::json step = {{"count", 1}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", runMillis}};
    std::string spec = "ms=" + std::to_string(runMillis) + " ";
    spec.resize(specBytes, 'x');
    const std::string job = nlohmann::json({{"spec", spec}, {"steps", {step}}}).dump();
    const int jobs = review::isCalm() ? fewJobs : manyJobs;
    std::atomic<int> next{0};
    std::atomic<int> accepted{0};
    const std::int64_t begin = record.now();
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            std::size_t entry = static_cast<std::size_t>(client) % zones;
            for (int number = next++; number < jobs && record.now() < begin + trafficMillis; number = next++) {
                const review::Reply reply
                    = review::call(deployment.entries()[entry].callers_, "POST", "/jobs/" + makeId(number), job,
                                   {{"Host", review::Deployment::host}, {"Deadline-Ms", std::to_string(deadlineMillis)}}, deadlineMillis);
                accepted += reply.status_ == 200 ? 1 : 0;
                if (reply.status_ != 200) {
                    constexpr std::int64_t pause = 300;
                    review::sleepMillis(pause);
                    entry = (entry + 1) % zones;
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.line("the traffic has ended: " + std::to_string(accepted) + " jobs were accepted with 200, peak memory "
                + std::to_string(platform->peakKilobytes()) + " KB, " + std::to_string(platform->kills()) + " kills");
    review::sleepMillis(finishMillis);
    const std::int64_t from = record.now();
    review::sleepMillis(watchMillis);
    std::int64_t lastStart = from;
    std::int64_t longest = 0;
    std::size_t done = 0;
    for (const review::RecordedRun &each : record.runs()) {
        done += each.how_ == "done" ? 1 : 0;
        if (each.startedAt_ >= from) {
            longest = std::max(longest, each.startedAt_ - lastStart);
            lastStart = std::max(lastStart, each.startedAt_);
        }
    }
    longest = std::max(longest, record.now() - lastStart);
    record.line(std::to_string(done) + " runs are done; from " + std::to_string(finishMillis)
                + " ms after the traffic on, no task was started for " + std::to_string(longest) + " ms; "
                + std::to_string(platform->kills()) + " kills in all, peak memory " + std::to_string(platform->peakKilobytes()) + " KB");
    if (done < static_cast<std::size_t>(accepted) && longest > idleLimitMillis + runMillis) {
        record.line("LOST: accepted jobs are not run though the workers are idle");
        return 1;
    }
    return accepted > 0 ? 0 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
