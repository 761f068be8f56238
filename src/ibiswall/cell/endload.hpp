// Plays the load of a deployment on a fifth of its targets, with a dispatcher, on one simulated clock.

#pragma once

#include "testparts.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <random>

namespace ibiswall::cell {

/// A queue's jobs: all have one step.
struct LoadQueue
{
    std::string name_;
    std::uint32_t priority_;
    double jobsPerSecond_;
    std::uint32_t tasks_;
    std::int64_t duration_;
    double longTasks_;
    double value_;
};

/// A deployment, reduced to some targets.
struct Deployment
{
    std::vector<LoadQueue> queues_;
    std::int64_t cpuOfTask_;
    int targets_;
    std::function<double(int)> speed_;
    /// Factor on the demand at a time in ms.
    std::function<double(std::int64_t)> demand_;
};

/// Time of a fault in which a target runs so many times slower; 0 for a target whose tasks hang.
struct Slowdown
{
    int target_;
    std::int64_t begin_;
    std::int64_t end_;
    double factor_;
};

constexpr double shareOfTargets = 0.2;

inline Deployment deploymentS()
{
    return {{{"p0", 0, 181, 8, 51, 0.03, 0.00485}, {"p1", 1, 529, 2, 170, 0, 0.00167}, {"p2", 2, 33, 4, 760, 0, 0.0267}},
            3200,
            13,
            [](int i) { return i % 4 == 0 ? 0.55 : 1.2; },
            [](std::int64_t now) {
                return 1 + 0.55 * std::sin(static_cast<double>(now) * 2 * 3.14159 / 15000);
            }};
}

inline Deployment deploymentQ()
{
    return {{{"p0", 0, 206, 8, 60, 0, 0.00485}, {"p1", 1, 601, 2, 200, 0, 0.00167}, {"p2", 2, 37.6, 4, 900, 0, 0.0267}},
            2900,
            12,
            [](int i) { return i % 3 == 0 ? 1.3 : 1.0; },
            // Bursts of 3 s at about 95 % of the capacity.
            [](std::int64_t now) {
                return now % 10000 < 3000 ? 1.7 : 1.0;
            }};
}

class EndLoad
{
public:
    EndLoad(const Deployment &deployment, bool placeByEnd, std::uint32_t seed)
        : deployment_(deployment)
        , placeByEnd_(placeByEnd)
        , random_(seed)
    {
        for (int i = 0; i < deployment.targets_; ++i) {
            names_.push_back("a" + std::to_string(i));
        }
        lead();
    }

    void play(std::int64_t duration)
    {
        for (; now_.count_ < duration; now_ = now_ + Millis{1}) {
            if (now_.count_ == leaderLostAt_) {
                lead();
            }
            submit();
            runEvents();
            dispatcher_->refuseUnservable(now_);
            dispatcher_->schedule(now_);
            carryOut(dispatcher_->takeActions());
        }
    }

    // Share of a queue's jobs that ended in time.
    double inTime(std::size_t queue) const
    {
        return inTime_.at(queue) / submitted_.at(queue);
    }

    double value() const
    {
        double most = 0;
        double got = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            most += submitted_.at(i) * deployment_.queues_.at(i).value_;
            got += (inTime_.at(i) + 0.2 * late_.at(i)) * deployment_.queues_.at(i).value_;
        }
        return got / most;
    }

    std::vector<Slowdown> slowdowns_;
    std::int64_t leaderLostAt_ = -1;
    /// Starts by target in the time of its slowdown.
    std::map<std::string, std::size_t> startsWhileSlow_;
    std::map<StallChange::Kind, int> changes_;
    bool ranTwice_ = false;

private:
    struct OpenJob
    {
        std::size_t queue_;
        std::int64_t submittedAt_;
        std::int64_t criticalPath_;
    };

    struct OpenRun
    {
        std::string agent_;
        Run run_;
        /// Work left, in ms on a target of speed 1.
        double work_ = 0;
        std::int64_t updatedAt_ = 0;
    };

    void lead()
    {
        dispatcher_ = std::make_unique<Dispatcher>(++epoch_);
        CellConfig config;
        config.version_ = 1;
        for (const LoadQueue &queue : deployment_.queues_) {
            config.queues_[queue.name_] = {queue.name_, "h", "/" + queue.name_, "desk", queue.priority_, 2, 1.6, {60}};
        }
        config.admissionControl_["desk"] = true;
        dispatcher_->setConfig(config, {});
        SchedulingSettings scheduling;
        scheduling.placeByEnd_ = placeByEnd_;
        dispatcher_->setScheduling(scheduling);
        // Entries offer their jobs again, then the agents report.
        for (const auto &[id, job] : open_) {
            JobOffer offer = offers_.at(id);
            offer.fresh_ = false;
            offer.age_ = now_ - Millis{job.submittedAt_};
            dispatcher_->addJob(offer, now_);
        }
        for (std::size_t i = 0; i < names_.size(); ++i) {
            TargetInfo info = testTarget("t-" + names_[i], i % 3 == 0 ? 48000 : 32000);
            std::vector<Run> running;
            for (const auto &[task, run] : running_) {
                if (run.agent_ == names_[i]) {
                    running.push_back(run.run_);
                }
            }
            dispatcher_->applyFullReport(names_[i], info, 1, running, {}, now_);
        }
        dispatcher_->markReconciled(now_);
    }

    void at(std::int64_t delay, std::function<void()> action)
    {
        events_.emplace(now_.count_ + delay, std::move(action));
    }

    void runEvents()
    {
        while (!events_.empty() && events_.begin()->first <= now_.count_) {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
    }

    double spread()
    {
        return std::exp(std::normal_distribution<double>(0, 0.4)(random_));
    }

    void submit()
    {
        for (std::size_t i = 0; i < deployment_.queues_.size(); ++i) {
            const LoadQueue &queue = deployment_.queues_[i];
            const double rate = queue.jobsPerSecond_ * shareOfTargets * deployment_.demand_(now_.count_) / 1000;
            for (int n = std::poisson_distribution<int>(rate)(random_); n > 0; --n) {
                submit(i);
            }
        }
    }

    void submit(std::size_t number)
    {
        const LoadQueue &queue = deployment_.queues_[number];
        const std::string id = queue.name_ + "-" + std::to_string(++jobs_);
        const double real = static_cast<double>(queue.duration_) * spread();
        Step step = testStep(queue.tasks_, deployment_.cpuOfTask_);
        step.estimate_ = {std::max<std::int64_t>(static_cast<std::int64_t>(real * spread()), 1)};
        double longest = 0;
        for (std::uint32_t i = 0; i < queue.tasks_; ++i) {
            const bool isLong = std::bernoulli_distribution(queue.longTasks_)(random_);
            work_[{id, 0, i}] = real * (isLong ? 7 : 1);
            longest = std::max(longest, work_[{id, 0, i}]);
        }
        JobOffer offer = testJob(id, {step}, true, queue.name_);
        const std::int64_t timeout = std::max<std::int64_t>(1500, static_cast<std::int64_t>(5 * longest));
        offer.callerTimeout_ = {timeout};
        open_[id] = {number, now_.count_, static_cast<std::int64_t>(longest)};
        offers_[id] = offer;
        submitted_.at(number) += 1;
        dispatcher_->addJob(std::move(offer), now_);
        at(timeout, [this, id] {
            dispatcher_->abandon(id, "entry-1", now_);
            open_.erase(id);
        });
    }

    double speedOf(const std::string &agent) const
    {
        const auto target = static_cast<int>(std::find(names_.begin(), names_.end(), agent) - names_.begin());
        double speed = deployment_.speed_(target);
        for (const Slowdown &each : slowdowns_) {
            if (each.target_ == target && now_.count_ >= each.begin_ && now_.count_ < each.end_) {
                speed = each.factor_ == 0 ? 0 : speed / each.factor_;
            }
        }
        return speed;
    }

    bool isSlow(const std::string &agent) const
    {
        return std::any_of(slowdowns_.begin(), slowdowns_.end(), [this, &agent](const Slowdown &each) {
            return names_.at(static_cast<std::size_t>(each.target_)) == agent && now_.count_ >= each.begin_ && now_.count_ < each.end_;
        });
    }

    // Continues a run, in steps of at most 20 ms on a slow target.
    void advance(const TaskId &task, std::uint64_t number)
    {
        const auto found = running_.find(task);
        if (found == running_.end() || found->second.run_.number_ != number) {
            return;
        }
        OpenRun &run = found->second;
        run.work_ -= static_cast<double>(now_.count_ - run.updatedAt_) * rate_[run.agent_];
        run.updatedAt_ = now_.count_;
        if (run.work_ <= 0) {
            const std::string agent = run.agent_;
            const Run ended = run.run_;
            running_.erase(found);
            at(messageTime, [this, agent, ended] {
                dispatcher_->applyResult(agent, {++results_[agent], ended, RunOutcome::Done, {}}, now_);
            });
            return;
        }
        rate_[run.agent_] = speedOf(run.agent_);
        at(20, [this, task, number] { advance(task, number); });
    }

    void carryOut(const DispatcherActions &actions)
    {
        for (const Notice &notice : actions.notices_) {
            if (const auto found = open_.find(notice.job_); found != open_.end() && isFinal(notice.state_)) {
                const OpenJob &job = found->second;
                const std::int64_t taken = now_.count_ + messageTime - job.submittedAt_;
                const auto allowed = static_cast<double>(job.criticalPath_) * 1.6 + 60;
                const bool completed = notice.state_ == JobState::Completed;
                inTime_.at(job.queue_) += completed && static_cast<double>(taken) <= allowed ? 1 : 0;
                late_.at(job.queue_)
                    += completed && static_cast<double>(taken) > allowed && static_cast<double>(taken) <= 3 * allowed ? 1 : 0;
                open_.erase(found);
            }
        }
        for (const StallChange &change : actions.stalls_) {
            ++changes_[change.kind_];
        }
        for (const StopOrder &stop : actions.stops_) {
            at(messageTime, [this, stop] {
                const auto found = running_.find(stop.run_.task_);
                if (found != running_.end() && found->second.run_.number_ == stop.run_.number_) {
                    running_.erase(found);
                    at(messageTime, [this, stop] {
                        dispatcher_->applyResult(stop.agent_, {++results_[stop.agent_], stop.run_, RunOutcome::Stopped, {}}, now_);
                    });
                }
            });
        }
        for (const StartOrder &start : actions.starts_) {
            if (isSlow(start.agent_)) {
                ++startsWhileSlow_[start.agent_];
            }
            at(messageTime, [this, start] {
                ranTwice_ = ranTwice_ || running_.count(start.run_.task_) != 0;
                rate_[start.agent_] = speedOf(start.agent_);
                running_[start.run_.task_] = {start.agent_, start.run_, work_.at(start.run_.task_), now_.count_};
                advance(start.run_.task_, start.run_.number_);
            });
        }
    }

    static constexpr std::int64_t messageTime = 2;

    const Deployment deployment_;
    bool placeByEnd_;
    std::mt19937 random_;
    std::uint64_t epoch_ = 0;
    Millis now_{1000};
    std::unique_ptr<Dispatcher> dispatcher_;
    std::vector<std::string> names_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::map<TaskId, double> work_;
    std::map<TaskId, OpenRun> running_;
    std::map<std::string, double> rate_;
    std::map<std::string, OpenJob> open_;
    std::map<std::string, JobOffer> offers_;
    std::map<std::string, std::uint64_t> results_;
    std::array<double, 3> submitted_{};
    std::array<double, 3> inTime_{};
    std::array<double, 3> late_{};
    int jobs_ = 0;
};

} // namespace ibiswall::cell
