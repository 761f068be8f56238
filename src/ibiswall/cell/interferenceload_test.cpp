// Plays loads in which tasks slow others down, and loads in which none does.

#include "interferenceload.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

constexpr int mediumTargets = 24;

InterferenceScenario slowUrgentTasks(std::uint32_t seed)
{
    InterferenceScenario scenario;
    scenario.seed_ = seed;
    scenario.targets_ = mediumTargets;
    scenario.duration_ = 30000;
    scenario.slowdown_[0][2] = 1.8;
    return scenario;
}

} // namespace

BOOST_AUTO_TEST_SUITE(interference_load)

// Guards against detection that is too slow to matter, and against separation that helps no caller.
BOOST_AUTO_TEST_CASE(jobs_end_sooner_when_interfering_kinds_are_kept_apart)
{
    constexpr std::uint32_t seeds = 5;
    constexpr int maxRunsToDetect = 5000;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        InterferenceScenario scenario = slowUrgentTasks(seed);
        InterferenceLoad load(scenario);
        load.play();
        BOOST_REQUIRE(load.changes_.size() >= 1U);
        const auto &[at, change] = load.changes_.front();
        BOOST_TEST(change.believed_);
        BOOST_TEST(change.pair_.victim_ == "urgent/0");
        BOOST_TEST(change.pair_.neighbour_ == "later/0");
        const auto runs = load.ended_[0] * at.count_ / scenario.duration_;
        BOOST_TEST(runs < maxRunsToDetect);
        scenario.separates_ = false;
        InterferenceLoad mixed(scenario);
        mixed.play();
        BOOST_TEST_MESSAGE("seed " << seed << ": found after " << runs << " runs; in time " << load.inTime() << ", mixed " << mixed.inTime()
                                   << "; time over critical path " << load.meanStretch() << ", mixed " << mixed.meanStretch());
        BOOST_TEST(load.inTime() > mixed.inTime());
        BOOST_TEST(load.meanStretch() - 1 < 0.75 * (mixed.meanStretch() - 1));
    }
}

BOOST_AUTO_TEST_CASE(no_pair_is_believed_without_interference)
{
    constexpr std::uint32_t seeds = 100;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        InterferenceScenario scenario;
        scenario.seed_ = seed;
        scenario.slowTarget_ = seed % 2 == 1;
        scenario.faults_ = seed % 4 >= 2;
        scenario.leaderLostAt_ = seed % 3 == 0 ? scenario.duration_ / 2 : -1;
        InterferenceLoad load(scenario);
        load.play();
        BOOST_TEST(load.changes_.empty(), "seed " << seed);
    }
}

// Guards against separation that leaves capacity unused when it is short.
BOOST_AUTO_TEST_CASE(service_at_high_load_is_as_good_as_without_separation)
{
    constexpr std::uint32_t seeds = 6;
    constexpr double highLoad = 0.95;
    constexpr double maxLoss = 0.01;
    double apart = 0;
    double mixed = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        InterferenceScenario scenario = slowUrgentTasks(seed);
        scenario.load_ = highLoad;
        InterferenceLoad load(scenario);
        // Detection is not the point here: the pair is known from the start.
        load.dispatcher_->adoptInterference(std::vector<InterferingPair>{{"urgent/0", "later/0", 1.8}}, {});
        load.play();
        scenario.separates_ = false;
        InterferenceLoad without(scenario);
        without.play();
        apart += load.inTime() / seeds;
        mixed += without.inTime() / seeds;
    }
    BOOST_TEST_MESSAGE("in time at high load: " << apart << ", mixed " << mixed);
    BOOST_TEST(apart >= mixed - maxLoss);
}

BOOST_AUTO_TEST_CASE(pair_outlasts_the_loss_of_the_leader)
{
    InterferenceScenario scenario = slowUrgentTasks(1);
    scenario.leaderLostAt_ = 15000;
    scenario.duration_ = scenario.leaderLostAt_;
    InterferenceLoad before(scenario);
    before.play();
    BOOST_REQUIRE(before.dispatcher_->interferingPairCount() == 1U);
    scenario.duration_ = 30000;
    InterferenceLoad load(scenario);
    load.play();
    BOOST_TEST(load.dispatcher_->interferingPairCount() == 1U);
    // The later leader had it from the start.
    BOOST_TEST(load.changes_.at(1).second.samplesWith_ == 0);
    BOOST_TEST((load.changes_.at(1).first - Millis{scenario.leaderLostAt_}).count_ <= 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
