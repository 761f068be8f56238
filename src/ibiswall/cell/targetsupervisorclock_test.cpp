// Tests how a supervisor follows the clock of its target.

#include "targetsupervisorfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

// A clock that is as slow as may be, from the start of the fixture on.
std::int64_t slowClock(Millis now)
{
    constexpr std::int64_t start = 1000;
    return start + (now.count_ - start) * 98 / 100;
}

// When a lease ends, counted from now.
std::int64_t leaseLength(const TargetCall &call, Millis now)
{
    return (call.leaseEnd_.value() - slowClock(now)) * 100 / 98;
}

void announce(TargetSupervisorFixture &fixture, std::int64_t clock)
{
    fixture.supervisor_.onAnnouncement(testTarget("t"), clock, fixture.now_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_supervisor_clock)

// A lease was computed from a reading of the clock of 80 s before, and a run outlived what its agent waited for.
BOOST_AUTO_TEST_CASE(lease_on_a_slow_clock_does_not_grow_with_the_time_without_tasks)
{
    TargetSupervisorFixture fixture;
    constexpr int announcements = 53;
    for (int i = 0; i < announcements; ++i) {
        fixture.advance(1500);
        announce(fixture, slowClock(fixture.now_));
    }
    fixture.start("j1", 1);
    const TargetCall call = fixture.calls(TargetCall::Kind::Start).at(0);
    BOOST_TEST(leaseLength(call, fixture.now_) <= 1025);
    BOOST_TEST(leaseLength(call, fixture.now_) >= 950);
}

BOOST_AUTO_TEST_CASE(no_lease_is_requested_by_a_clock_that_was_read_long_ago)
{
    TargetSupervisorFixture fixture;
    fixture.advance(11000);
    BOOST_TEST(!fixture.supervisor_.isReady(fixture.now_));
    fixture.start("j1", 1);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Start).empty());
    announce(fixture, slowClock(fixture.now_));
    BOOST_TEST(fixture.supervisor_.isReady(fixture.now_));
}

BOOST_AUTO_TEST_CASE(late_announcement_does_not_set_the_clock_back)
{
    TargetSupervisorFixture fixture;
    fixture.advance(2000);
    fixture.answerRenewals({}, {});
    fixture.startRunning("j1", 1);
    fixture.advance(5);
    fixture.answerRenewals({{{"j1", 0, 0}, 1}}, {});
    announce(fixture, 100);
    fixture.start("j2", 2);
    BOOST_TEST(fixture.calls(TargetCall::Kind::Start).at(0).leaseEnd_.value() == fixture.now_.count_ + 1000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
