// Kills processes while jobs run: the answers to callers must agree with the starts recorded by the targets.

#include "loadgenerator.hpp"
#include "outcomecheck.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasksPerJob = 40;
constexpr std::size_t callerCount = 4;
constexpr Millis deadline{20000};

ClusterConfig smallConfig()
{
    ClusterConfig config;
    config.targets_ = 3;
    config.slots_ = 4;
    config.runMillis_ = 50;
    return config;
}

void awaitStarts(const Cluster &cluster, std::size_t more)
{
    const std::size_t before = allStarts(cluster).size();
    await("more tasks have started", [&] { return allStarts(cluster).size() >= before + more; });
}

// Stops the load and checks every answer.
// @param maxUnanswered upper limit of submissions without an answer
// @param maxMayHaveRun upper limit of tasks reported as may-have-run
void finishAndCheckOutcomes(const Cluster &cluster, LoadGenerator &generator, std::size_t maxUnanswered, std::size_t maxMayHaveRun)
{
    const std::vector<Json> answers = generator.finish();
    const std::vector<Start> starts = allStarts(cluster);
    BOOST_TEST(generator.unanswered() <= maxUnanswered);
    const OutcomeSummary summary = compareWithRecords(answers, tasksPerJob, starts);
    BOOST_TEST_MESSAGE(describe(summary));
    BOOST_TEST(summary.contradictions_.empty(), describe(summary));
    BOOST_TEST(summary.mayHaveRun_ <= maxMayHaveRun, describe(summary));
    BOOST_TEST(tasksStartedTwice(starts).empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(kills)

BOOST_AUTO_TEST_CASE(agent_killed_and_restarted)
{
    Cluster cluster(smallConfig());
    setNoteKind(cluster, deadline);
    LoadGenerator generator(cluster, callerCount, tasksPerJob);
    awaitStarts(cluster, 20);
    cluster.targetNodes_[0].agent_->kill();
    awaitStarts(cluster, 100);
    cluster.startAgent(0);
    cluster.awaitAgents(cluster.targetNodes_.size());
    awaitStarts(cluster, 100);
    // Limit: the tasks that each of the two entries had sent to the agent.
    finishAndCheckOutcomes(cluster, generator, 0, 8);
}

BOOST_AUTO_TEST_CASE(target_killed_and_restarted_at_the_same_address)
{
    Cluster cluster(smallConfig());
    setNoteKind(cluster, deadline);
    LoadGenerator generator(cluster, callerCount, tasksPerJob);
    awaitStarts(cluster, 20);
    cluster.targetNodes_[0].target_->kill();
    awaitStarts(cluster, 100);
    cluster.startTarget(0);
    awaitStarts(cluster, 200);
    // Limit: the calls in progress at the target. The connection of every later call was refused, so its task did not start.
    finishAndCheckOutcomes(cluster, generator, 0, 4);
    const std::size_t before = cluster.starts(0).size();
    await("the restarted target receives tasks", [&] {
        cluster.submit(0, "note", tasksPerJob);
        return cluster.starts(0).size() > before;
    });
}

BOOST_AUTO_TEST_CASE(entry_killed_and_restarted)
{
    Cluster cluster(smallConfig());
    setNoteKind(cluster, deadline);
    LoadGenerator generator(cluster, callerCount, tasksPerJob);
    awaitStarts(cluster, 20);
    cluster.entries_[0].process_->kill();
    awaitStarts(cluster, 100);
    cluster.startEntry(0);
    cluster.awaitAgents(cluster.targetNodes_.size());
    awaitStarts(cluster, 100);
    // Limit: the submission in flight of each caller of the killed entry. The callers are spread evenly over two entries.
    finishAndCheckOutcomes(cluster, generator, callerCount / 2, 0);
}

BOOST_AUTO_TEST_CASE(agent_and_target_killed_together)
{
    Cluster cluster(smallConfig());
    setNoteKind(cluster, deadline);
    LoadGenerator generator(cluster, callerCount, tasksPerJob);
    awaitStarts(cluster, 20);
    cluster.targetNodes_[1].target_->kill();
    cluster.targetNodes_[1].agent_->kill();
    awaitStarts(cluster, 100);
    cluster.startTarget(1);
    cluster.startAgent(1);
    awaitStarts(cluster, 100);
    // Limit: the calls in progress at the target, plus the tasks that both entries had sent to the agent.
    finishAndCheckOutcomes(cluster, generator, 0, 12);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
