// Tests when an entry without a leader refuses a waiting job.

#include "testparts.hpp"

#include <boost/test/unit_test.hpp>
#include <ibiswall/cell/usefultime.hpp>

namespace ibiswall::cell {

namespace {

constexpr Millis submitted{1000};
constexpr Millis reserve{4};

// A job of the queue with priority 0 of both deployments: tasks of 60 ms, in time within 156 ms, worthless after 468 ms.
UsefulTime shortJob()
{
    Step step = testStep(8);
    step.estimate_ = {60};
    const JobSpec spec = testJob("j", {step}, true).record_.spec_;
    const CellConfig config = testConfig();
    return usefulTime(spec, &config.queues_.at("urgent"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(useful_time)

BOOST_AUTO_TEST_CASE(follows_from_the_longest_chain_and_the_queue)
{
    const UsefulTime useful = shortJob();
    BOOST_TEST(useful.chain_.count_ == 60);
    BOOST_TEST(useful.objective_.count_ == 156);
    BOOST_TEST(useful.lastStart_.count_ == 408);
}

// Callers were held until their deadline of 1.5 s and more although nobody could serve them.
BOOST_AUTO_TEST_CASE(job_is_refused_when_no_leader_can_start_it_in_time)
{
    const UsefulTime useful = shortJob();
    constexpr Millis deadline{2500};
    BOOST_TEST(isTooLateToOffer(useful, submitted, deadline, reserve, {1405}));
}

// A leader is usually back after 300 ms.
BOOST_AUTO_TEST_CASE(job_waits_while_a_leader_could_still_start_it_in_time)
{
    const UsefulTime useful = shortJob();
    constexpr Millis deadline{2500};
    BOOST_TEST(!isTooLateToOffer(useful, submitted, deadline, reserve, submitted));
    BOOST_TEST(!isTooLateToOffer(useful, submitted, deadline, reserve, submitted + Millis{300}));
    BOOST_TEST(!isTooLateToOffer(useful, submitted, deadline, reserve, {1404}));
}

BOOST_AUTO_TEST_CASE(deadline_of_the_caller_counts_if_it_is_earlier)
{
    BOOST_TEST(isTooLateToOffer(shortJob(), submitted, {1200}, reserve, {1197}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
