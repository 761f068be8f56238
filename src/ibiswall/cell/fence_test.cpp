// Tests the fences of agent processes.

#include <boost/test/unit_test.hpp>
#include <ibiswall/cell/targetsupervisor.hpp>

namespace ibiswall::cell {

BOOST_AUTO_TEST_SUITE(fence)

// Calls of a killed agent process that the target carries out late had the fence of its successor.
BOOST_AUTO_TEST_CASE(fence_is_above_those_of_earlier_epochs_and_of_earlier_processes_in_the_epoch)
{
    BOOST_TEST(fenceOf({4, 0, 2}) > fenceOf({4, 0, 1}));
    BOOST_TEST(fenceOf({5, 0, 1}) > fenceOf({4, 0, termsPerEpoch + 7}));
    TargetSupervisor first({}, 1);
    first.follow({4, 0, 1}, {1000});
    TargetSupervisor second({}, 2);
    second.follow({4, 0, 2}, {1300});
    BOOST_TEST(first.takeCalls().at(0).fence_ < second.takeCalls().at(0).fence_);
}

BOOST_AUTO_TEST_CASE(earlier_announcement_that_arrives_late_does_not_lower_the_fence)
{
    TargetSupervisor supervisor({}, 1);
    supervisor.follow({4, 0, 2}, {1000});
    supervisor.takeCalls();
    BOOST_TEST(supervisor.follow({4, 0, 1}, {1010}));
    BOOST_TEST(supervisor.takeCalls().at(0).fence_ == fenceOf({4, 0, 2}));
}

// Otherwise an agent process that followed an outdated announcement could use its target no more in the epoch.
BOOST_AUTO_TEST_CASE(agent_process_with_an_outdated_fence_is_fenced_until_the_next_announcement)
{
    TargetSupervisor supervisor({}, 1);
    supervisor.follow({4, 0, 1}, {1000});
    RenewalReply fenced;
    fenced.outcome_ = CallOutcome::Fenced;
    supervisor.onRenewalReply(supervisor.takeCalls().at(0), fenced, {1001});
    BOOST_TEST(supervisor.isFenced());
    supervisor.follow({4, 0, 3}, {1010});
    BOOST_TEST(!supervisor.isFenced());
    BOOST_TEST(supervisor.takeCalls().at(0).fence_ == fenceOf({4, 0, 3}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
