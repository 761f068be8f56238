// Simulated load on a dispatcher whose targets run some kinds of tasks longer beside others, on one simulated clock.

#pragma once

#include "testparts.hpp"

#include <array>
#include <cmath>
#include <random>

namespace ibiswall::cell {

/// Load, noise and faults of a scenario. Kinds are 0 (short, urgent), 1 and 2 (long).
struct InterferenceScenario
{
    std::uint32_t seed_ = 1;
    int targets_ = 12;
    /// Mean share of the capacity that is needed without interference.
    double load_ = 0.55;
    std::int64_t duration_ = 12000;
    bool separates_ = true;
    /// Factor on the run time of the first kind while a run of the second goes on beside it.
    std::array<std::array<double, 3>, 3> slowdown_{{{1, 1, 1}, {1, 1, 1}, {1, 1, 1}}};
    /// When the slowdown ends.
    std::int64_t slowdownUntil_ = 1000000;
    bool slowTarget_ = false;
    /// Targets restart about every two seconds, and reports of a target are delayed by a second as often.
    bool faults_ = false;
    std::int64_t leaderLostAt_ = -1;
};

/// Plays a scenario.
class InterferenceLoad
{
public:
    explicit InterferenceLoad(const InterferenceScenario &scenario)
        : scenario_(scenario)
        , random_(scenario.seed_)
        , hosts_(static_cast<std::size_t>(scenario.targets_))
    {
        startLeader(1);
    }

    void play()
    {
        while (now_.count_ < scenario_.duration_) {
            now_ = now_ + Millis{1};
            for (std::size_t kind = 0; kind < tasks.size(); ++kind) {
                submit(kind);
            }
            injectFaults();
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                advance(host);
            }
            dispatcher_->refuseUnservable(now_);
            dispatcher_->schedule(now_);
            carryOut(dispatcher_->takeActions());
            for (const InterferenceChange &change : dispatcher_->takeInterferenceChanges()) {
                changes_.emplace_back(now_, change);
            }
        }
    }

    /// Share of the jobs, submitted long enough ago, that ended in time.
    double inTime() const
    {
        return submitted_ == 0 ? 0 : static_cast<double>(inTime_) / submitted_;
    }

    /// Mean time from the submission to the end of the completed jobs, over their critical path on a healthy target.
    double meanStretch() const
    {
        return stretch_ / std::max(completed_, 1);
    }

    std::vector<std::pair<Millis, InterferenceChange>> changes_;
    std::array<int, 3> ended_{};
    std::unique_ptr<Dispatcher> dispatcher_;

private:
    static constexpr std::array<std::uint32_t, 3> tasks{8, 2, 4};
    static constexpr std::array<double, 3> runTimes{60, 200, 900};
    // Jobs in the ratio of deployment Q.
    static constexpr std::array<double, 3> jobs{206, 601, 37.6};
    static constexpr std::array<const char *, 3> queues{"urgent", "middle", "later"};
    static constexpr std::int64_t cpuOfTask = 2900;
    static constexpr std::int64_t cpuOfTarget = 32000;
    static constexpr double spread = 0.4;
    static constexpr double longShare = 0.03;
    static constexpr double longFactor = 7;
    static constexpr std::int64_t lastCounted = 3000;

    struct LocalRun
    {
        Run run_;
        std::size_t kind_ = 0;
        double left_ = 0;
    };

    struct Host
    {
        std::vector<LocalRun> runs_;
        std::vector<RunResult> unreported_;
        std::uint64_t results_ = 0;
        std::int64_t incarnation_ = 1;
        Millis silentUntil_;
    };

    struct CallersJob
    {
        JobOffer offer_;
        std::vector<double> work_;
        Millis at_;
        std::size_t kind_ = 0;
    };

    double noise()
    {
        return std::exp(spread * std::normal_distribution<double>()(random_));
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>()(random_) < probability;
    }

    std::string agentOf(std::size_t host) const
    {
        return "a" + std::to_string(100 + host);
    }

    void report(std::size_t host)
    {
        TargetInfo info = testTarget("t" + std::to_string(host), cpuOfTarget);
        info.targetIncarnation_ = hosts_[host].incarnation_;
        std::vector<Run> running;
        for (const LocalRun &run : hosts_[host].runs_) {
            running.push_back(run.run_);
        }
        dispatcher_->applyFullReport(agentOf(host), info, info.targetIncarnation_, running, hosts_[host].unreported_, now_);
        hosts_[host].unreported_.clear();
    }

    void startLeader(std::uint64_t epoch)
    {
        auto next = std::make_unique<Dispatcher>(epoch);
        CellConfig config = testConfig();
        config.queues_["middle"] = {"middle", "h", "/m/", "desk", 1, 2, 1.6, {60}};
        next->setConfig(config, {});
        SchedulingSettings settings;
        settings.separateInterfering_ = scenario_.separates_;
        next->setScheduling(settings);
        if (dispatcher_) {
            next->adoptInterference(dispatcher_->interferingPairs(16), now_);
        }
        dispatcher_ = std::move(next);
        for (auto &[id, job] : open_) {
            job.offer_.fresh_ = false;
            dispatcher_->addJob(job.offer_, now_);
        }
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            report(host);
        }
        dispatcher_->markReconciled(now_);
    }

    void submit(std::size_t kind)
    {
        const double work = 206 * 8 * 60 + 601 * 2 * 200 + 37.6 * 4 * 900;
        const double meanFactor = std::exp(spread * spread / 2) * (1 + longShare * (longFactor - 1));
        constexpr int slotsOfTarget = cpuOfTarget / cpuOfTask;
        const double slots = slotsOfTarget * scenario_.targets_;
        if (!chance(jobs[kind] * slots * scenario_.load_ / (work * meanFactor))) {
            return;
        }
        CallersJob job;
        job.at_ = now_;
        job.kind_ = kind;
        for (std::uint32_t i = 0; i < tasks[kind]; ++i) {
            job.work_.push_back(runTimes[kind] * noise() * (chance(longShare) ? longFactor : 1));
        }
        Step step = testStep(tasks[kind], cpuOfTask);
        step.estimate_ = {static_cast<std::int64_t>(runTimes[kind] * noise())};
        job.offer_ = testJob("j" + std::to_string(++jobs_), {step}, true, queues[kind]);
        job.offer_.callerTimeout_ = {9500};
        submitted_ += now_.count_ < scenario_.duration_ - lastCounted ? 1 : 0;
        dispatcher_->addJob(job.offer_, now_);
        open_.emplace(job.offer_.id_, std::move(job));
    }

    void injectFaults()
    {
        constexpr double perMilli = 0.0005;
        if (scenario_.faults_ && chance(perMilli)) {
            Host &host = hosts_[random_() % hosts_.size()];
            std::vector<RunResult> lost;
            for (const LocalRun &run : host.runs_) {
                lost.push_back({0, run.run_, RunOutcome::Lost, {}});
            }
            host = {};
            host.incarnation_ = now_.count_;
            const std::size_t at = static_cast<std::size_t>(&host - hosts_.data());
            host.unreported_ = lost;
            report(at);
        }
        if (scenario_.faults_ && chance(perMilli)) {
            hosts_[random_() % hosts_.size()].silentUntil_ = now_ + Millis{1000};
        }
        if (now_.count_ == scenario_.leaderLostAt_) {
            startLeader(2);
        }
    }

    void advance(std::size_t at)
    {
        Host &host = hosts_[at];
        std::array<int, 3> beside{};
        for (const LocalRun &run : host.runs_) {
            ++beside[run.kind_];
        }
        for (auto run = host.runs_.begin(); run != host.runs_.end();) {
            double pace = scenario_.slowTarget_ && at == 0 ? 0.55 : 1;
            for (std::size_t other = 0; other < beside.size() && now_.count_ < scenario_.slowdownUntil_; ++other) {
                const bool present = beside[other] > (other == run->kind_ ? 1 : 0);
                pace /= present ? scenario_.slowdown_[run->kind_][other] : 1;
            }
            run->left_ -= pace;
            if (run->left_ > 0) {
                ++run;
                continue;
            }
            host.unreported_.push_back({++host.results_, run->run_, RunOutcome::Done, {}});
            ++ended_[run->kind_];
            run = host.runs_.erase(run);
        }
        if (now_ >= host.silentUntil_) {
            for (const RunResult &result : std::exchange(host.unreported_, {})) {
                dispatcher_->applyResult(agentOf(at), result, now_);
            }
        }
    }

    void carryOut(const DispatcherActions &actions)
    {
        for (const StartOrder &start : actions.starts_) {
            const CallersJob &job = open_.at(start.run_.task_.job_);
            const std::size_t host = std::stoul(start.agent_.substr(1)) - 100;
            hosts_[host].runs_.push_back({start.run_, job.kind_, job.work_[start.run_.task_.index_]});
        }
        for (const Notice &notice : actions.notices_) {
            const auto found = open_.find(notice.job_);
            if (found == open_.end()) {
                continue;
            }
            const CallersJob &job = found->second;
            const double path = *std::max_element(job.work_.begin(), job.work_.end());
            const auto took = static_cast<double>((now_ - job.at_).count_);
            if (notice.state_ == JobState::Completed && job.at_.count_ < scenario_.duration_ - lastCounted) {
                inTime_ += took <= 1.6 * path + 60 ? 1 : 0;
                stretch_ += took / path;
                ++completed_;
            }
            open_.erase(found);
        }
    }

    InterferenceScenario scenario_;
    std::mt19937 random_;
    Millis now_{0};
    std::vector<Host> hosts_;
    std::map<std::string, CallersJob> open_;
    int jobs_ = 0;
    int submitted_ = 0;
    int completed_ = 0;
    int inTime_ = 0;
    double stretch_ = 0;
};

} // namespace ibiswall::cell
