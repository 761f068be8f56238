// Tests what is learned from run times, with the speeds, spreads and long tasks of the deployments of 2026.

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <ibiswall/cell/runtimes.hpp>
#include <random>

namespace ibiswall::cell {

namespace {

/// Runs on targets of which every fourth has 0.55 of the normal speed and the others 1.2.
struct RunTimesFixture
{
    static double speedOf(int target)
    {
        return target % 4 == 0 ? 0.55 : 1.2;
    }

    void record(const std::string &kind, double kindFactor, int target, double slowdown = 1)
    {
        const double longTask = std::bernoulli_distribution(0.03)(random_) ? 7 : 1;
        // Estimates and run times have a spread of 0.4 each.
        const double noise = std::exp(std::normal_distribution<double>(0, 0.57)(random_));
        recordRunTime(runTimes_, kind, nameOf(target), kindFactor * longTask * noise * slowdown / speedOf(target), now_);
    }

    // Kind "short" runs on all targets, kind "long" on the fast ones only.
    void recordSeconds(int seconds)
    {
        for (int i = 0; i < seconds * 40; ++i) {
            now_ = now_ + Millis{25};
            for (int target = 0; target < targets; ++target) {
                record("short", 1, target);
                if (target % 4 != 0) {
                    record("long", 1.5, target);
                }
            }
        }
    }

    static std::string nameOf(int target)
    {
        return "agent-" + std::to_string(target);
    }

    double ratio(const std::string &kind, int target) const
    {
        return expectedRatio(runTimes_, kind, nameOf(target)).ratio_;
    }

    static constexpr int targets = 12;
    std::mt19937 random_{1};
    Millis now_{1000000};
    RunTimes runTimes_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(run_times)

BOOST_AUTO_TEST_CASE(unknown_kinds_and_targets_run_as_estimated)
{
    const ExpectedRatio expected = expectedRatio({}, "kind", "agent");
    BOOST_TEST(expected.ratio_ == 1);
    BOOST_TEST(expected.samples_ == 0);
}

// A kind that runs on fast targets only must not seem short, nor the fast targets normal.
BOOST_AUTO_TEST_CASE(kinds_and_targets_are_told_apart)
{
    RunTimesFixture fixture;
    fixture.recordSeconds(20);
    const double longTasks = std::exp(0.03 * std::log(7));
    BOOST_TEST(fixture.ratio("short", 4) == longTasks / 0.55, boost::test_tools::tolerance(0.25));
    BOOST_TEST(fixture.ratio("short", 5) == longTasks / 1.2, boost::test_tools::tolerance(0.25));
    BOOST_TEST(fixture.ratio("long", 5) == 1.5 * longTasks / 1.2, boost::test_tools::tolerance(0.25));
    // Has never run there.
    BOOST_TEST(fixture.ratio("long", 4) == 1.5 * longTasks / 0.55, boost::test_tools::tolerance(0.3));
    BOOST_TEST(expectedRatio(fixture.runTimes_, "short", "agent-4").samples_ == 40);
}

BOOST_AUTO_TEST_CASE(one_run_says_little)
{
    RunTimes runTimes;
    recordRunTime(runTimes, "kind", "agent", 1000, {1000});
    const ExpectedRatio expected = expectedRatio(runTimes, "kind", "agent");
    BOOST_TEST(expected.ratio_ < 2);
    BOOST_TEST(expected.samples_ == 1);
}

BOOST_AUTO_TEST_CASE(slower_target_is_known_after_twenty_runs_and_tried_again_after_half_a_minute)
{
    RunTimesFixture fixture;
    fixture.recordSeconds(5);
    for (int i = 0; i < 20; ++i) {
        fixture.record("short", 1, 1, 6);
    }
    BOOST_TEST(fixture.ratio("short", 1) > 1.6 * fixture.ratio("short", 2));
    for (int i = 0; i < 30; ++i) {
        fixture.now_ = fixture.now_ + Millis{1000};
        fixture.record("short", 1, 2);
    }
    BOOST_TEST(fixture.ratio("short", 1) < 1.4 * fixture.ratio("short", 3));
}

BOOST_AUTO_TEST_CASE(restarted_target_is_unknown)
{
    RunTimesFixture fixture;
    fixture.recordSeconds(2);
    forgetTarget(fixture.runTimes_, "agent-4");
    BOOST_TEST(logTargetFactor(fixture.runTimes_, "agent-4") == 0);
}

// Callers name the kinds: a series of new names must neither use up memory nor displace what is known.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    RunTimesFixture fixture;
    fixture.recordSeconds(2);
    for (int i = 0; i < 3000; ++i) {
        recordRunTime(fixture.runTimes_, "kind-" + std::to_string(i), "agent-1", 1, fixture.now_);
    }
    BOOST_TEST(fixture.runTimes_.kinds_.size() <= maxKnownKinds);
    BOOST_TEST(fixture.runTimes_.kinds_.count("short") == 1U);
    fixture.now_ = fixture.now_ + Millis{3600000};
    ageRunTimes(fixture.runTimes_, fixture.now_);
    BOOST_TEST(fixture.runTimes_.kinds_.empty());
    BOOST_TEST(fixture.runTimes_.targets_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
