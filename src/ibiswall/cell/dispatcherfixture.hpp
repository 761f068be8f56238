// Fixture for tests of the dispatcher.

#pragma once

#include "testparts.hpp"

namespace ibiswall::cell {

/// A dispatcher with its configuration and targets.
struct DispatcherFixture
{
    explicit DispatcherFixture(bool reconciled = true, std::uint64_t epoch = 5)
        : dispatcher_(epoch)
    {
        dispatcher_.setConfig(testConfig(), {});
        if (reconciled) {
            dispatcher_.markReconciled({0});
        }
    }

    void add(const std::string &agent, std::int64_t cpu = 8000, const std::string &domain = "fd-1")
    {
        dispatcher_.applyFullReport(agent, testTarget("t-" + agent, cpu, domain), 1, {}, {}, now_);
    }

    DispatcherActions schedule()
    {
        dispatcher_.schedule(now_);
        return dispatcher_.takeActions();
    }

    void finishRun(const StartOrder &start, RunOutcome kind = RunOutcome::Done)
    {
        dispatcher_.applyResult(start.agent_, {++results_[start.agent_], start.run_, kind, {}}, now_);
    }

    /// The target crashes during the given runs, and is back as another incarnation once their ends are certain.
    void crash(const std::string &agent, const std::vector<StartOrder> &runs, bool suspected = true)
    {
        std::vector<RunCrash> crashes;
        crashes.reserve(runs.size());
        for (const StartOrder &run : runs) {
            crashes.push_back({run.run_, suspected, true, {}});
        }
        dispatcher_.recordCrashes(crashes, now_);
        now_ = now_ + Millis{3000};
        TargetInfo info = testTarget("t-" + agent);
        info.targetIncarnation_ = ++incarnations_[agent] + 1;
        dispatcher_.updateTarget(agent, info);
        for (const StartOrder &run : runs) {
            dispatcher_.applyResult(agent, {0, run.run_, RunOutcome::Lost, {}}, now_);
        }
    }

    /// Contains the queue "urgent": a job of it crashes two targets.
    void containUrgent()
    {
        const TaskId task{"crashing", 0, 0};
        dispatcher_.addJob(testJob(task.job_, {testStep(1)}), now_);
        const std::vector<RunCrash> crashes{{{task, 1}, true, true, {}}, {{task, 2}, true, true, {}}};
        dispatcher_.recordCrashes(crashes, now_);
        dispatcher_.takeActions();
    }

    Millis now_{1000};
    Dispatcher dispatcher_;
    std::map<std::string, std::uint64_t> results_;
    std::map<std::string, std::int64_t> incarnations_;
};

} // namespace ibiswall::cell
