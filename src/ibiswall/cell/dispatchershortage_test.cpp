// Tests that jobs which find no target keep others waiting only where they compete for the same targets.

#include "dispatcherfixture.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

// More jobs than may miss a target before it is closed.
constexpr int blockingJobs = 6;

Step labelledStep(const std::string &label, std::uint32_t count = 1, std::int64_t cpu = 1000)
{
    Step step = testStep(count, cpu);
    step.requiredLabel_ = label;
    return step;
}

/// Targets a and b, of which only b has the label "b".
struct LabelFixture : DispatcherFixture
{
    LabelFixture()
    {
        add("a");
        addLabelled();
    }

    void addLabelled()
    {
        TargetInfo info = testTarget("t-b");
        info.labels_ = {"b", "r1"};
        dispatcher_.applyFullReport("b", info, 1, {}, {}, now_);
    }

    void addBlockingJobs(const Step &step)
    {
        for (int i = 0; i < blockingJobs; ++i) {
            dispatcher_.addJob(testJob("blocking" + std::to_string(i), {step}, false), now_);
        }
    }

    std::vector<std::string> agentsOf(const std::string &job)
    {
        std::vector<std::string> agents;
        for (const StartOrder &start : schedule().starts_) {
            if (start.run_.task_.job_ == job) {
                agents.push_back(start.agent_);
            }
        }
        return agents;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_shortage)

// Four jobs that needed a label which no target had kept all jobs that were due later from being started.
BOOST_AUTO_TEST_CASE(jobs_whose_label_is_gone_do_not_block_others)
{
    LabelFixture fixture;
    fixture.addBlockingJobs(labelledStep("gone"));
    fixture.now_ = fixture.now_ + Millis{50};
    fixture.dispatcher_.addJob(testJob("plain", {testStep(2)}, false), fixture.now_);
    BOOST_TEST(fixture.agentsOf("plain").size() == 2U);
}

BOOST_AUTO_TEST_CASE(jobs_that_have_run_on_a_lost_target_do_not_block_others)
{
    LabelFixture fixture;
    fixture.addBlockingJobs(labelledStep("b"));
    fixture.schedule();
    fixture.dispatcher_.markTargetLost("b", fixture.now_);
    fixture.now_ = fixture.now_ + Millis{50};
    fixture.dispatcher_.requeueLostTasks(fixture.now_);
    fixture.dispatcher_.addJob(testJob("plain", {testStep(2)}, false), fixture.now_);
    BOOST_TEST(fixture.agentsOf("plain").size() == 2U);
}

BOOST_AUTO_TEST_CASE(jobs_whose_only_target_is_busy_do_not_block_others)
{
    LabelFixture fixture;
    fixture.dispatcher_.addJob(testJob("running", {labelledStep("b", 1, 8000)}, false), fixture.now_);
    fixture.schedule();
    fixture.addBlockingJobs(labelledStep("b", 1, 8000));
    fixture.dispatcher_.addJob(testJob("plain", {testStep(2)}, false), fixture.now_);
    BOOST_TEST(fixture.agentsOf("plain").size() == 2U);
}

// Otherwise small jobs would take all capacity that becomes free, and a large one would never find enough.
BOOST_AUTO_TEST_CASE(capacity_is_kept_for_jobs_that_wait_for_it)
{
    LabelFixture fixture;
    fixture.dispatcher_.addJob(testJob("running", {labelledStep("b", 1, 4000)}, false), fixture.now_);
    fixture.schedule();
    fixture.addBlockingJobs(labelledStep("b", 1, 8000));
    fixture.dispatcher_.addJob(testJob("plain", {testStep(12)}, false), fixture.now_);
    const std::vector<std::string> agents = fixture.agentsOf("plain");
    BOOST_TEST(agents.size() == 8U);
    BOOST_TEST(std::count(agents.begin(), agents.end(), "a") == 8);
}

BOOST_AUTO_TEST_CASE(jobs_that_are_too_large_for_every_target_do_not_block_others)
{
    LabelFixture fixture;
    fixture.addBlockingJobs(testStep(1, 9000));
    fixture.dispatcher_.addJob(testJob("plain", {testStep(2)}, false), fixture.now_);
    BOOST_TEST(fixture.agentsOf("plain").size() == 2U);
}

BOOST_AUTO_TEST_CASE(jobs_of_a_service_without_targets_do_not_block_others)
{
    LabelFixture fixture;
    CellConfig config = testConfig();
    config.queues_["empty"] = {"empty", "h", "/e/", "other", 0, 2, 1.6, {60}};
    fixture.dispatcher_.setConfig(config, {});
    for (int i = 0; i < blockingJobs; ++i) {
        fixture.dispatcher_.addJob(testJob("blocking" + std::to_string(i), {testStep(1)}, false, "empty"), fixture.now_);
    }
    fixture.dispatcher_.addJob(testJob("plain", {testStep(2)}, false), fixture.now_);
    BOOST_TEST(fixture.agentsOf("plain").size() == 2U);
}

BOOST_AUTO_TEST_CASE(jobs_at_their_limit_per_target_do_not_block_others)
{
    LabelFixture fixture;
    Step step = testStep(4);
    step.maxPerTarget_ = 1;
    fixture.addBlockingJobs(step);
    BOOST_TEST(fixture.schedule().starts_.size() == blockingJobs * 2U);
    fixture.dispatcher_.addJob(testJob("plain", {testStep(2)}, false), fixture.now_);
    BOOST_TEST(fixture.agentsOf("plain").size() == 2U);
}

BOOST_AUTO_TEST_CASE(step_without_a_target_does_not_block_another_step_of_its_job)
{
    LabelFixture fixture;
    fixture.dispatcher_.addJob(testJob("job", {labelledStep("gone"), testStep(2)}, false), fixture.now_);
    BOOST_TEST(fixture.agentsOf("job").size() == 2U);
}

BOOST_AUTO_TEST_CASE(job_without_a_target_is_started_once_there_is_one)
{
    DispatcherFixture fixture;
    fixture.add("a");
    for (int i = 0; i < blockingJobs; ++i) {
        fixture.dispatcher_.addJob(testJob("labelled" + std::to_string(i), {labelledStep("b")}, false), fixture.now_);
    }
    BOOST_TEST(fixture.schedule().starts_.empty());
    BOOST_TEST(fixture.schedule().starts_.empty());
    TargetInfo info = testTarget("t-b");
    info.labels_ = {"b"};
    fixture.dispatcher_.applyFullReport("b", info, 1, {}, {}, fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.size() == static_cast<std::size_t>(blockingJobs));
}

BOOST_AUTO_TEST_CASE(less_urgent_jobs_do_not_overtake_jobs_that_wait_for_capacity)
{
    DispatcherFixture fixture;
    fixture.add("a");
    fixture.dispatcher_.addJob(testJob("running", {testStep(1, 4000)}, false), fixture.now_);
    fixture.schedule();
    for (int i = 0; i < blockingJobs; ++i) {
        fixture.dispatcher_.addJob(testJob("large" + std::to_string(i), {testStep(1, 8000)}, false), fixture.now_);
    }
    fixture.dispatcher_.addJob(testJob("small", {testStep(1)}, false, "later"), fixture.now_);
    BOOST_TEST(fixture.schedule().starts_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
