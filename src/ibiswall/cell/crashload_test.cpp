// Plays a load in which a tenth of the jobs of one queue crash their targets, and checks what the callers of the others get.

#include "testparts.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

namespace ibiswall::cell {

namespace {

// Eleven targets, two queues and a crashing job about three times a second, on one simulated clock.
class CrashLoad
{
public:
    explicit CrashLoad(std::uint32_t seed)
        : random_(seed)
    {
        dispatcher_.setConfig(testConfig(), {});
        dispatcher_.markReconciled({0});
        for (int i = 0; i < targets; ++i) {
            const std::string agent = "a" + std::to_string(i);
            agents_[agent] = testTarget("t-" + agent, cpuOfTarget);
            dispatcher_.applyFullReport(agent, agents_[agent], 1, {}, {}, now_);
        }
    }

    void play()
    {
        constexpr std::int64_t duration = 10000;
        while (now_.count_ < duration) {
            now_ = now_ + Millis{1};
            submit("urgent", 34, 8, 60);
            submit("later", 100, 2, 200);
            runEvents();
            dispatcher_.refuseUnservable(now_);
            dispatcher_.schedule(now_);
            carryOut(dispatcher_.takeActions());
        }
    }

    // Share of a queue's jobs that completed, of those that do not crash their targets and were submitted long enough ago.
    double completedShare(const std::string &queue) const
    {
        const auto completed = completed_.find(queue);
        return completed == completed_.end() ? 0 : static_cast<double>(completed->second) / submitted_.at(queue);
    }

private:
    static constexpr int targets = 11;
    static constexpr std::int64_t cpuOfTarget = 64000;
    static constexpr std::int64_t cpuOfTask = 6200;
    static constexpr std::int64_t timeToCrash = 10;
    static constexpr std::int64_t timeToReport = 20;
    static constexpr std::int64_t timeToLose = 1150;
    static constexpr std::int64_t downtime = 3300;
    static constexpr std::int64_t suspicionWindow = 50;
    static constexpr std::int64_t callerTimeout = 1500;
    static constexpr unsigned crashingJobs = 10;
    static constexpr std::int64_t lastCounted = 8000;

    void at(std::int64_t delay, std::function<void()> action)
    {
        events_.emplace((now_ + Millis{delay}).count_, std::move(action));
    }

    void runEvents()
    {
        while (!events_.empty() && events_.begin()->first <= now_.count_) {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
    }

    void submit(const std::string &queue, unsigned jobsPerSecond, std::uint32_t tasks, std::int64_t duration)
    {
        if (random_() % 1000 >= jobsPerSecond) {
            return;
        }
        const std::string id = queue + std::to_string(++jobs_);
        const bool crashes = queue == "urgent" && random_() % crashingJobs == 0;
        Step step = testStep(tasks, cpuOfTask);
        step.estimate_ = {duration};
        JobOffer offer = testJob(id, {step}, true, queue);
        offer.callerTimeout_ = {callerTimeout};
        if (crashes) {
            crashing_.insert(id);
        }
        if (!crashes && now_.count_ < lastCounted) {
            ++submitted_[queue];
        }
        dispatcher_.addJob(std::move(offer), now_);
        at(callerTimeout, [this, id] { dispatcher_.abandon(id, "entry-1", now_); });
    }

    void carryOut(const DispatcherActions &actions)
    {
        for (const Notice &notice : actions.notices_) {
            const std::string queue = notice.job_[0] == 'u' ? "urgent" : "later";
            if (notice.state_ == JobState::Completed && crashing_.count(notice.job_) == 0 && now_.count_ < lastCounted) {
                ++completed_[queue];
            }
        }
        for (const StopOrder &stop : actions.stops_) {
            endRun(stop.agent_, stop.run_, RunOutcome::Stopped);
        }
        for (const StartOrder &start : actions.starts_) {
            running_[start.agent_].push_back({start.run_, now_});
            const std::int64_t incarnation = agents_.at(start.agent_).targetIncarnation_;
            if (crashing_.count(start.run_.task_.job_) != 0 && start.run_.task_.index_ == 0) {
                at(timeToCrash, [this, start, incarnation] { crash(start.agent_, incarnation); });
            }
            at(start.run_.task_.job_[0] == 'u' ? 60 : 200, [this, start] { endRun(start.agent_, start.run_, RunOutcome::Done); });
        }
    }

    void endRun(const std::string &agent, const Run &run, RunOutcome kind)
    {
        auto &running = running_[agent];
        const auto found
            = std::find_if(running.begin(), running.end(), [&run](const auto &each) { return each.first.number_ == run.number_; });
        if (found != running.end()) {
            running.erase(found);
            dispatcher_.applyResult(agent, {++results_[agent], run, kind, {}}, now_);
        }
    }

    void crash(const std::string &agent, std::int64_t incarnation)
    {
        TargetInfo &info = agents_[agent];
        if (info.targetIncarnation_ != incarnation || !info.responsive_) {
            return;
        }
        info.responsive_ = false;
        const auto lost = std::exchange(running_[agent], {});
        std::vector<RunCrash> crashes;
        crashes.reserve(lost.size());
        for (const auto &[run, startedAt] : lost) {
            crashes.push_back({run, now_.count_ - startedAt.count_ <= suspicionWindow, true, {}});
        }
        at(timeToReport, [this, agent, crashes] {
            dispatcher_.updateTarget(agent, agents_[agent]);
            dispatcher_.recordCrashes(crashes, now_);
        });
        at(timeToLose, [this, agent, crashes] {
            for (const RunCrash &each : crashes) {
                dispatcher_.applyResult(agent, {0, each.run_, RunOutcome::Lost, {}}, now_);
            }
        });
        at(downtime, [this, agent] {
            agents_[agent].responsive_ = true;
            agents_[agent].targetIncarnation_ = now_.count_;
            results_[agent] = 0;
            dispatcher_.updateTarget(agent, agents_[agent]);
        });
    }

    std::mt19937 random_;
    Millis now_;
    Dispatcher dispatcher_{1};
    std::map<std::string, TargetInfo> agents_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::map<std::string, std::vector<std::pair<Run, Millis>>> running_;
    std::map<std::string, std::uint64_t> results_;
    std::set<std::string> crashing_;
    std::map<std::string, int> submitted_;
    std::map<std::string, int> completed_;
    int jobs_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_load)

BOOST_AUTO_TEST_CASE(jobs_that_crash_targets_do_not_keep_other_queues_from_being_served)
{
    constexpr std::uint32_t seeds = 5;
    // A gate of the users asks for at least 40 % of the requests on any day; queues without such jobs must hardly notice.
    constexpr double minShare = 0.9;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CrashLoad load(seed);
        load.play();
        BOOST_TEST(load.completedShare("later") >= minShare, "seed " << seed << ": " << load.completedShare("later"));
        BOOST_TEST_MESSAGE("seed " << seed << ": urgent " << load.completedShare("urgent") << ", later " << load.completedShare("later"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
