// Measures the cost of a placement by the number of targets, with targets chosen by free capacity or by expected end.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ibiswall/cell/dispatcher.hpp>

using namespace ibiswall;
using namespace ibiswall::cell;

namespace {

constexpr std::uint32_t tasksOfJob = 8;
constexpr std::int64_t estimate = 60;
constexpr std::int64_t cpuOfTask = 2900;
constexpr std::size_t maxOpenRuns = 1600;

CellConfig config()
{
    CellConfig config;
    config.version_ = 1;
    config.queues_["q"] = {"q", "h", "/", "s", 0, 2, 1.6, {60}};
    config.admissionControl_["s"] = true;
    return config;
}

JobOffer offer(int number)
{
    Step step;
    step.count_ = tasksOfJob;
    step.need_ = {cpuOfTask, 64, 0};
    step.estimate_ = {estimate};
    JobOffer offer;
    offer.id_ = "job-" + std::to_string(number);
    offer.record_.spec_ = {"q", "payload", {step}, true};
    offer.fresh_ = true;
    offer.origin_ = "entry-1";
    return offer;
}

// Returns the time of a placement with its part of the end of the run, in ns. Half of the capacity is in use.
double measure(int targets, bool placeByEnd, int jobs)
{
    Dispatcher dispatcher(1);
    dispatcher.setConfig(config(), {});
    SchedulingSettings scheduling;
    scheduling.placeByEnd_ = placeByEnd;
    dispatcher.setScheduling(scheduling);
    dispatcher.markReconciled({0});
    Millis now{1000};
    for (int i = 0; i < targets; ++i) {
        TargetInfo info;
        info.id_ = "t" + std::to_string(i);
        info.targetIncarnation_ = 1;
        info.service_ = "s";
        info.failureDomain_ = "fd-" + std::to_string(i % 3);
        info.labels_ = {"rack-" + std::to_string(i / 8)};
        info.capacity_ = {32000, 64000, 0};
        dispatcher.applyFullReport("agent-" + std::to_string(i), info, 1, {}, {}, now);
    }
    // Targets have 11 places each. The number is limited, since filling 20,000 targets takes minutes.
    const std::size_t open = std::min<std::size_t>(static_cast<std::size_t>(targets) * 11 / 2, maxOpenRuns);
    std::map<std::string, std::uint64_t> results;
    std::deque<StartOrder> running;
    std::chrono::nanoseconds spent{0};
    std::size_t placed = 0;
    for (int i = 0; i < jobs; ++i) {
        now = now + Millis{i % 2};
        dispatcher.addJob(offer(i), now);
        const auto begin = std::chrono::steady_clock::now();
        dispatcher.schedule(now);
        DispatcherActions actions = dispatcher.takeActions();
        const bool full = running.size() >= open;
        for (StartOrder &start : actions.starts_) {
            running.push_back(std::move(start));
            ++placed;
        }
        while (running.size() > open) {
            const StartOrder &start = running.front();
            dispatcher.applyResult(start.agent_, {++results[start.agent_], start.run_, RunOutcome::Done, {}}, now);
            running.pop_front();
        }
        if (full) {
            spent += std::chrono::steady_clock::now() - begin;
        } else {
            placed = 0;
        }
    }
    return placed == 0 ? 0 : static_cast<double>(spent.count()) / static_cast<double>(placed);
}

} // namespace

int main()
{
    struct Size
    {
        int targets_;
        int jobs_;
    };
    for (const Size &size : {Size{70, 3000}, Size{300, 1500}, Size{20000, 260}}) {
        // In turn, so that other load of the machine affects both alike; the least is the least disturbed.
        double today = 1e12;
        double byEnd = 1e12;
        for (int i = 0; i < (size.targets_ > 1000 ? 2 : 5); ++i) {
            today = std::min(today, measure(size.targets_, false, size.jobs_));
            byEnd = std::min(byEnd, measure(size.targets_, true, size.jobs_));
        }
        std::printf("%d targets: %.0f ns by free capacity, %.0f ns by expected end, ratio %.2f\n", size.targets_, today, byEnd,
                    byEnd / today);
    }
}
