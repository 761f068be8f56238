// Takes out a failure domain while an agent in it is suspended or unreachable: no task may start there
// later than the guaranteed time after the confirmation.

#include "loadgenerator.hpp"
#include "outcomecheck.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasksPerJob = 20;
constexpr std::size_t callerCount = 4;
constexpr Millis deadline{20000};
// Guaranteed limit between the answer to the confirmation and the last start in the failure domain.
constexpr Millis maxStartDelay{3000};
constexpr std::chrono::milliseconds longerThanMaxStartDelay(4000);
constexpr std::chrono::milliseconds recoveryTime(1500);

ClusterConfig relayedConfig()
{
    ClusterConfig config;
    config.targets_ = 3;
    config.slots_ = 4;
    config.runMillis_ = 20;
    config.useRelays_ = true;
    return config;
}

// Takes out the failure domain of the first target.
// @return the time of the answer to the confirmation, by the boot clock
Millis takeOutFirstDomain(const Cluster &cluster)
{
    const Json accepted = cluster.planAndConfirm(1, {{"op", "domain-out"}, {"name", "fd-1"}});
    BOOST_TEST(accepted.contains("version"), accepted.dump());
    return bootClock();
}

void awaitFirstTargetBusy(const Cluster &cluster)
{
    await("the first target has started tasks", [&] { return cluster.starts(0).size() > 10; });
}

void finishAndCheckStarts(const Cluster &cluster, LoadGenerator &generator, Millis confirmed)
{
    const std::vector<Json> answers = generator.finish();
    BOOST_TEST(generator.unanswered() == 0U);
    const std::vector<Start> starts = allStarts(cluster);
    const OutcomeSummary summary = compareWithRecords(answers, tasksPerJob, starts);
    BOOST_TEST_MESSAGE(describe(summary));
    BOOST_TEST(countStartsAfter(starts, 0, confirmed + maxStartDelay) == 0U);
    BOOST_TEST(summary.contradictions_.empty(), describe(summary));
    BOOST_TEST(tasksStartedTwice(starts).empty());
    BOOST_TEST(countStartsAfter(starts, 1, confirmed + maxStartDelay) > 0U);
}

// Freezes the links of the first target's agent in the given directions while its failure domain is taken out.
void takeOutDomainWhileFrozen(const std::vector<Direction> &directions)
{
    const Cluster cluster(relayedConfig());
    setNoteKind(cluster, deadline);
    LoadGenerator generator(cluster, callerCount, tasksPerJob);
    awaitFirstTargetBusy(cluster);
    for (const auto &relay : cluster.targetNodes_[0].relays_) {
        for (const Direction direction : directions) {
            relay->freeze(direction);
        }
    }
    const Millis confirmed = takeOutFirstDomain(cluster);
    std::this_thread::sleep_for(longerThanMaxStartDelay);
    for (const auto &relay : cluster.targetNodes_[0].relays_) {
        relay->unfreeze();
    }
    std::this_thread::sleep_for(recoveryTime);
    finishAndCheckStarts(cluster, generator, confirmed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(frozen)

BOOST_AUTO_TEST_CASE(agent_suspended_past_its_lease)
{
    const Cluster cluster(relayedConfig());
    setNoteKind(cluster, deadline);
    LoadGenerator generator(cluster, callerCount, tasksPerJob);
    awaitFirstTargetBusy(cluster);
    cluster.targetNodes_[0].agent_->signal(SIGSTOP);
    const Millis confirmed = takeOutFirstDomain(cluster);
    std::this_thread::sleep_for(longerThanMaxStartDelay);
    cluster.targetNodes_[0].agent_->signal(SIGCONT);
    std::this_thread::sleep_for(recoveryTime);
    finishAndCheckStarts(cluster, generator, confirmed);
}

BOOST_AUTO_TEST_CASE(entry_suspended_while_the_other_accepts_the_change)
{
    const Cluster cluster(relayedConfig());
    setNoteKind(cluster, deadline);
    LoadGenerator generator(cluster, callerCount, tasksPerJob);
    awaitFirstTargetBusy(cluster);
    cluster.entries_[0].process_->signal(SIGSTOP);
    const Millis confirmed = takeOutFirstDomain(cluster);
    std::this_thread::sleep_for(longerThanMaxStartDelay);
    cluster.entries_[0].process_->signal(SIGCONT);
    std::this_thread::sleep_for(recoveryTime);
    finishAndCheckStarts(cluster, generator, confirmed);
}

BOOST_AUTO_TEST_CASE(links_frozen_in_both_directions)
{
    takeOutDomainWhileFrozen({Direction::ToServer, Direction::ToClient});
}

BOOST_AUTO_TEST_CASE(links_frozen_towards_the_agent)
{
    takeOutDomainWhileFrozen({Direction::ToClient});
}

BOOST_AUTO_TEST_CASE(links_frozen_towards_the_entries)
{
    takeOutDomainWhileFrozen({Direction::ToServer});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
