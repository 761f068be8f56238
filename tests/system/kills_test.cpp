// Processes killed in the middle of a job: what callers are told agrees with the targets' records.

#include "load.hpp"
#include "truth.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasks = 40;
constexpr std::size_t callers = 4;
constexpr Millis deadline{20000};

ClusterShape smallShape()
{
    ClusterShape shape;
    shape.targets_ = 3;
    shape.slots_ = 4;
    shape.runMillis_ = 50;
    return shape;
}

void awaitStarts(const Cluster &cluster, std::size_t more)
{
    const std::size_t before = allStarts(cluster).size();
    await("tasks start", [&] { return allStarts(cluster).size() >= before + more; });
}

// Ends the load and checks every answer.
// @param lost most submissions that got no answer
// @param uncertain most tasks that may have run
void checkTruth(const Cluster &cluster, Load &load, std::size_t lost, std::size_t uncertain)
{
    const std::vector<Json> answers = load.finish();
    const std::vector<Start> starts = allStarts(cluster);
    BOOST_TEST(load.unanswered() <= lost);
    const Verdict verdict = judge(answers, tasks, starts);
    BOOST_TEST_MESSAGE(describe(verdict));
    BOOST_TEST(verdict.lies_.empty(), describe(verdict));
    BOOST_TEST(verdict.mayHaveRun_ <= uncertain, describe(verdict));
    BOOST_TEST(startedTwice(starts).empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(kills)

BOOST_AUTO_TEST_CASE(agent_killed_and_replaced)
{
    Cluster cluster(smallShape());
    setNoteKind(cluster, deadline);
    Load load(cluster, callers, tasks);
    awaitStarts(cluster, 20);
    cluster.places_[0].agent_->kill();
    awaitStarts(cluster, 100);
    cluster.startAgent(0);
    cluster.awaitAgents(cluster.places_.size());
    awaitStarts(cluster, 100);
    // What each of two entries had sent to the agent.
    checkTruth(cluster, load, 0, 8);
}

BOOST_AUTO_TEST_CASE(target_killed_and_replaced_at_the_same_address)
{
    Cluster cluster(smallShape());
    setNoteKind(cluster, deadline);
    Load load(cluster, callers, tasks);
    awaitStarts(cluster, 20);
    cluster.places_[0].target_->kill();
    awaitStarts(cluster, 100);
    cluster.startTarget(0);
    awaitStarts(cluster, 200);
    // Calls in progress; every other call was refused the connection and did not start.
    checkTruth(cluster, load, 0, 4);
    const std::size_t before = cluster.starts(0).size();
    await("the new target gets work", [&] {
        cluster.submit(0, "note", tasks);
        return cluster.starts(0).size() > before;
    });
}

BOOST_AUTO_TEST_CASE(entry_killed_and_replaced)
{
    Cluster cluster(smallShape());
    setNoteKind(cluster, deadline);
    Load load(cluster, callers, tasks);
    awaitStarts(cluster, 20);
    cluster.entries_[0].process_->kill();
    awaitStarts(cluster, 100);
    cluster.startEntry(0);
    cluster.awaitAgents(cluster.places_.size());
    awaitStarts(cluster, 100);
    checkTruth(cluster, load, callers / 2, 0);
}

BOOST_AUTO_TEST_CASE(agent_and_target_killed_together)
{
    Cluster cluster(smallShape());
    setNoteKind(cluster, deadline);
    Load load(cluster, callers, tasks);
    awaitStarts(cluster, 20);
    cluster.places_[1].target_->kill();
    cluster.places_[1].agent_->kill();
    awaitStarts(cluster, 100);
    cluster.startTarget(1);
    cluster.startAgent(1);
    awaitStarts(cluster, 100);
    // Calls in progress at the target, and then what both entries had sent to the agent.
    checkTruth(cluster, load, 0, 12);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
