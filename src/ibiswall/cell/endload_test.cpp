// Plays the loads of the deployments S and Q with slow and hanging targets, and checks what callers get when targets are chosen by
// expected end.

#include "endload.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

// Two waves of S and three bursts of Q.
constexpr std::int64_t duration = 31000;
constexpr std::uint32_t seeds = 3;
// The share of a queue with 33 jobs a second varies by about so much between runs of 90 s.
constexpr double samplingError = 0.02;

/// What callers got on average of the seeds.
struct Shares
{
    std::array<double, 3> inTime_{};
    double value_ = 0;
    /// Most starts on a target during its slowdown.
    std::size_t mostStarts_ = 0;
};

Shares playAll(const Deployment &deployment, bool placeByEnd, const std::vector<Slowdown> &slowdowns)
{
    Shares shares;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        EndLoad load(deployment, placeByEnd, seed);
        load.slowdowns_ = slowdowns;
        load.play(duration);
        BOOST_TEST(!load.ranTwice_);
        for (std::size_t i = 0; i < 3; ++i) {
            shares.inTime_.at(i) += load.inTime(i) / seeds;
        }
        shares.value_ += load.value() / seeds;
        for (const auto &[agent, starts] : load.startsWhileSlow_) {
            shares.mostStarts_ = std::max(shares.mostStarts_, starts);
        }
    }
    return shares;
}

} // namespace

BOOST_AUTO_TEST_SUITE(end_load)

// Short tasks were placed on slow targets as well as long ones, which were late then. The fast targets are 82 % of the capacity of S and
// suffice for its demand on average, and just so at the peak of its waves (98 %); Q is at 95 % of its capacity during bursts.
BOOST_AUTO_TEST_CASE(callers_get_their_jobs_in_time)
{
    for (const Deployment &deployment : {deploymentS(), deploymentQ()}) {
        const Shares off = playAll(deployment, false, {});
        const Shares on = playAll(deployment, true, {});
        for (std::size_t i = 0; i < 3; ++i) {
            BOOST_TEST(on.inTime_.at(i) >= off.inTime_.at(i) - samplingError, "queue " << i << ": " << on.inTime_.at(i));
            BOOST_TEST(on.inTime_.at(i) >= 0.75, "queue " << i << ": " << on.inTime_.at(i));
        }
        BOOST_TEST(on.value_ >= off.value_ - samplingError);
        BOOST_TEST_MESSAGE("value " << off.value_ << " without, " << on.value_ << " with expected ends");
    }
    BOOST_TEST(playAll(deploymentS(), true, {}).value_ >= playAll(deploymentS(), false, {}).value_ + 0.01);
}

// A target that hangs or is six times slower took a start whenever it seemed to have room.
BOOST_AUTO_TEST_CASE(stalled_target_is_left_alone)
{
    // Pauses of 125 ms that double fit into 5 s five times; one more may begin just before.
    constexpr std::size_t probes = 6;
    for (const Deployment &deployment : {deploymentS(), deploymentQ()}) {
        const auto places = static_cast<std::size_t>(32000 / deployment.cpuOfTask_);
        for (const double factor : {0.0, 6.0}) {
            const std::vector<Slowdown> slowdowns{{1, 5000, 10000, factor}, {2, 18000, 23000, factor}};
            const Shares off = playAll(deployment, false, slowdowns);
            const Shares on = playAll(deployment, true, slowdowns);
            // Until it is noticed a target can fill up, and a slow one ends what it has been given once.
            BOOST_TEST(on.mostStarts_ <= (factor == 0 ? 1 : 2) * places + probes);
            BOOST_TEST(on.value_ >= off.value_ - samplingError);
            BOOST_TEST_MESSAGE("value " << off.value_ << " without, " << on.value_ << " with expected ends, starts " << off.mostStarts_
                                        << " and " << on.mostStarts_);
        }
    }
}

// The successor knows neither speeds nor stalls, and takes over what runs.
BOOST_AUTO_TEST_CASE(loss_of_the_leader_during_a_stall_runs_nothing_twice)
{
    EndLoad load(deploymentS(), true, 3);
    load.slowdowns_ = {{1, 5000, 10000, 0}};
    load.leaderLostAt_ = 6000;
    load.play(duration);
    BOOST_TEST(!load.ranTwice_);
    BOOST_TEST(load.changes_[StallChange::Kind::Stalled] >= 2);
    BOOST_TEST(load.value() >= 0.75);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
