// Tests which entries may take over the leadership, and for how long a leader relies on that.

#include "succession.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::node {

namespace {

const SuccessionSettings settings;
constexpr Millis start{100000};
constexpr std::uint64_t epoch = 5;

Succession registeredAt(Millis when)
{
    Succession entry(settings);
    entry.onRegistered(20, when);
    return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(succession)

// A leader alone in the registry relied without end on nobody succeeding it, while entries that had come back did.
BOOST_AUTO_TEST_CASE(leader_relies_on_the_registry_for_a_bounded_time)
{
    Succession leader(settings);
    BOOST_TEST(leader.registryValidUntil().count_ == 0);
    leader.onRegistryRead({}, start);
    BOOST_TEST(leader.candidates().empty());
    BOOST_TEST((leader.registryValidUntil() == start + settings.registryValidity_));
}

BOOST_AUTO_TEST_CASE(newcomer_waits_for_longer_than_a_leader_relies_on_an_outdated_registry)
{
    BOOST_TEST((settings.registryValidity_ + settings.maxReadAge_ <= settings.newcomerWait_));
    const Succession newcomer = registeredAt(start);
    BOOST_TEST(newcomer.mustWait(epoch, start + settings.newcomerWait_ - Millis{1}));
    BOOST_TEST(!newcomer.mustWait(epoch, start + settings.newcomerWait_));
}

BOOST_AUTO_TEST_CASE(newcomer_does_not_wait_without_a_leader_or_once_the_leader_knows_it)
{
    Succession newcomer = registeredAt(start);
    BOOST_TEST(!newcomer.mustWait(0, start));
    newcomer.onLeaderHeard(epoch);
    BOOST_TEST(!newcomer.mustWait(epoch, start));
    BOOST_TEST(newcomer.mustWait(epoch + 1, start));
}

BOOST_AUTO_TEST_CASE(entry_that_was_removed_from_the_registry_is_a_newcomer_again)
{
    Succession entry = registeredAt(start);
    entry.onLeaderHeard(epoch);
    entry.onUnregistered();
    BOOST_TEST(entry.registration() == 0);
    const Millis later = start + Millis{60000};
    entry.onRegistered(30, later);
    BOOST_TEST(entry.registration() == 30);
    BOOST_TEST(entry.mustWait(epoch, later + Millis{1}));
}

BOOST_AUTO_TEST_CASE(outdated_read_does_not_change_the_registration)
{
    Succession entry = registeredAt(start);
    entry.onRegistered(15, start + Millis{500});
    BOOST_TEST(entry.registration() == 20);
    entry.onRegistered(20, start + Millis{500});
    BOOST_TEST(!entry.mustWait(epoch, start + settings.newcomerWait_));
}

BOOST_AUTO_TEST_CASE(newcomer_does_not_wait_for_a_leader_that_has_restarted)
{
    Succession newcomer = registeredAt(start);
    newcomer.onLeaderRead(epoch, "e1", 1000);
    newcomer.onIncarnation("e1", 1000);
    BOOST_TEST(newcomer.mustWait(epoch, start));
    newcomer.onIncarnation("e1", 1001);
    BOOST_TEST(!newcomer.mustWait(epoch, start));
    BOOST_TEST(newcomer.mustWait(epoch + 1, start));
}

BOOST_AUTO_TEST_CASE(entry_that_got_a_heartbeat_is_a_candidate_until_it_must_register_again)
{
    Succession leader(settings);
    leader.onRegistryRead({"e2"}, start);
    leader.onHeartbeatSent("e3", start);
    BOOST_TEST((leader.candidates() == std::set<std::string>{"e2", "e3"}));
    leader.onRegistryRead({"e2"}, start + settings.maxReadAge_);
    BOOST_TEST(leader.candidates().size() == 2U);
    leader.onRegistryRead({"e2"}, start + settings.maxReadAge_ + Millis{1});
    BOOST_TEST((leader.candidates() == std::set<std::string>{"e2"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
