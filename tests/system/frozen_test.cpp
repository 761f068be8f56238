// A failure domain goes out while an agent in it is frozen or cut off: no start later than the promise.

#include "load.hpp"
#include "truth.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasks = 20;
constexpr std::size_t callers = 4;
constexpr Millis deadline{20000};
// After the confirmation was answered nothing starts later than this.
constexpr Millis lastStart{3000};
constexpr std::chrono::milliseconds pastLastStart(4000);
constexpr std::chrono::milliseconds afterReturn(1500);

ClusterShape relayedShape()
{
    ClusterShape shape;
    shape.targets_ = 3;
    shape.slots_ = 4;
    shape.runMillis_ = 20;
    shape.relayed_ = true;
    return shape;
}

// Takes the failure domain of the first target out.
// @return when the confirmation had been answered
Millis takeFirstOut(const Cluster &cluster)
{
    const Json accepted = cluster.change(1, {{"op", "domain-out"}, {"name", "fd-1"}});
    BOOST_TEST(accepted.contains("version"), accepted.dump());
    return bootClock();
}

void awaitWork(const Cluster &cluster)
{
    await("the first target works", [&] { return cluster.starts(0).size() > 10; });
}

void checkPromise(const Cluster &cluster, Load &load, Millis confirmed)
{
    const std::vector<Json> answers = load.finish();
    BOOST_TEST(load.unanswered() == 0U);
    const std::vector<Start> starts = allStarts(cluster);
    const Verdict verdict = judge(answers, tasks, starts);
    BOOST_TEST_MESSAGE(describe(verdict));
    BOOST_TEST(startsAfter(starts, 0, confirmed + lastStart) == 0U);
    BOOST_TEST(verdict.lies_.empty(), describe(verdict));
    BOOST_TEST(startedTwice(starts).empty());
    BOOST_TEST(startsAfter(starts, 1, confirmed + lastStart) > 0U);
}

// Freezes the links of the first target's agent in some directions while its failure domain goes out.
void changeWhileCutOff(const std::vector<Way> &ways)
{
    const Cluster cluster(relayedShape());
    setNoteKind(cluster, deadline);
    Load load(cluster, callers, tasks);
    awaitWork(cluster);
    for (const auto &link : cluster.places_[0].links_) {
        for (const Way way : ways) {
            link->freeze(way);
        }
    }
    const Millis confirmed = takeFirstOut(cluster);
    std::this_thread::sleep_for(pastLastStart);
    for (const auto &link : cluster.places_[0].links_) {
        link->thaw();
    }
    std::this_thread::sleep_for(afterReturn);
    checkPromise(cluster, load, confirmed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(frozen)

BOOST_AUTO_TEST_CASE(agent_stopped_past_its_grant)
{
    const Cluster cluster(relayedShape());
    setNoteKind(cluster, deadline);
    Load load(cluster, callers, tasks);
    awaitWork(cluster);
    cluster.places_[0].agent_->signal(SIGSTOP);
    const Millis confirmed = takeFirstOut(cluster);
    std::this_thread::sleep_for(pastLastStart);
    cluster.places_[0].agent_->signal(SIGCONT);
    std::this_thread::sleep_for(afterReturn);
    checkPromise(cluster, load, confirmed);
}

BOOST_AUTO_TEST_CASE(entry_stopped_while_the_other_accepts)
{
    const Cluster cluster(relayedShape());
    setNoteKind(cluster, deadline);
    Load load(cluster, callers, tasks);
    awaitWork(cluster);
    cluster.entries_[0].process_->signal(SIGSTOP);
    const Millis confirmed = takeFirstOut(cluster);
    std::this_thread::sleep_for(pastLastStart);
    cluster.entries_[0].process_->signal(SIGCONT);
    std::this_thread::sleep_for(afterReturn);
    checkPromise(cluster, load, confirmed);
}

BOOST_AUTO_TEST_CASE(links_cut_both_ways)
{
    changeWhileCutOff({Way::ToServer, Way::ToClient});
}

BOOST_AUTO_TEST_CASE(links_cut_towards_the_agent)
{
    changeWhileCutOff({Way::ToClient});
}

BOOST_AUTO_TEST_CASE(links_cut_towards_the_entries)
{
    changeWhileCutOff({Way::ToServer});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
