// Measures the cost of a placement, with and without separation of kinds of tasks that interfere.

#include <chrono>
#include <cstdio>
#include <ibiswall/cell/dispatcher.hpp>

namespace {

using namespace ibiswall; // NOLINT(google-build-using-namespace)

constexpr int kinds = 12;
// Six of about eleven tasks run on each target on average.
constexpr int runsPerTarget = 6;
constexpr int passes = 20;
constexpr int jobsPerPass = 10;

cell::JobOffer makeJob(int number)
{
    cell::Step step;
    step.count_ = 1;
    step.need_ = {2900, 64, 0};
    step.estimate_ = {100};
    step.image_ = "image-" + std::to_string(number % kinds);
    cell::JobOffer offer;
    offer.id_ = "job-" + std::to_string(number);
    offer.record_.spec_ = {"queue", "", {step}, true};
    offer.fresh_ = true;
    offer.origin_ = "entry";
    return offer;
}

/// Microseconds for each placement, jobs being placed ten at a time.
double measurePlacement(int targets, bool separates, int pairs)
{
    cell::Dispatcher dispatcher(1);
    cell::CellConfig config;
    config.queues_["queue"] = {"queue", "h", "/", "service", 0, 1, 1.6, {60}};
    dispatcher.setConfig(config, {});
    cell::SchedulingSettings settings;
    settings.separateInterfering_ = separates;
    dispatcher.setScheduling(settings);
    dispatcher.markReconciled({0});
    std::vector<cell::InterferingPair> known;
    known.reserve(static_cast<std::size_t>(pairs));
    for (int i = 0; i < pairs; ++i) {
        known.push_back({"image-" + std::to_string(i % kinds), "image-" + std::to_string((i * 7 + 1) % kinds), 1.5});
    }
    dispatcher.adoptInterference(known, {0});
    // Each target reports what it runs, so that the preparation takes no decisions.
    int number = 0;
    for (int target = 0; target < targets; ++target) {
        cell::TargetInfo info{"t" + std::to_string(target), 1, "service", "domain", {}, {32000, 64000, 0}};
        std::vector<cell::Run> running;
        running.reserve(runsPerTarget);
        for (int i = 0; i < runsPerTarget; ++i) {
            cell::JobOffer job = makeJob(number++);
            job.fresh_ = false;
            running.push_back({{job.id_, 0, 0}, static_cast<std::uint64_t>(number)});
            dispatcher.addJob(std::move(job), {0});
        }
        dispatcher.applyFullReport("agent-" + std::to_string(target), info, 1, running, {}, {0});
    }
    dispatcher.takeActions();
    std::chrono::steady_clock::duration spent{};
    std::size_t placed = 0;
    for (int pass = 0; pass < passes; ++pass) {
        for (int i = 0; i < jobsPerPass; ++i) {
            dispatcher.addJob(makeJob(number++), {1});
        }
        const auto start = std::chrono::steady_clock::now();
        dispatcher.schedule({1});
        spent += std::chrono::steady_clock::now() - start;
        placed += dispatcher.takeActions().starts_.size();
    }
    return std::chrono::duration<double, std::micro>(spent).count() / static_cast<double>(std::max<std::size_t>(placed, 1));
}

} // namespace

int main()
{
    std::printf("microseconds per placement; %d kinds, %d runs on each target\n", kinds, runsPerTarget);
    std::printf("%8s %10s %10s %10s %10s\n", "targets", "off", "no pairs", "2 pairs", "16 pairs");
    for (const int targets : {70, 300, 20000}) {
        std::printf("%8d %10.1f %10.1f %10.1f %10.1f\n", targets, measurePlacement(targets, false, 0), measurePlacement(targets, true, 0),
                    measurePlacement(targets, true, 2), measurePlacement(targets, true, 16));
    }
    return 0;
}
