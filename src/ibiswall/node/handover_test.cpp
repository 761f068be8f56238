// Tests planned handovers: for how long a leader waits for its successor, and when the successor may use the leader's list of agents.

#include "handover.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::node {

namespace {

const HandoverSettings settings;
constexpr std::uint64_t epoch = 5;
constexpr Millis start{10000};
const RegisteredAgents agents{{"a1", 3}, {"a2", 4}};

// An entry that the leader has designated and that has requested the list.
PlannedTakeover requestingEntry()
{
    PlannedTakeover entry(settings);
    entry.onLeaderHeartbeat(epoch, true, {100});
    BOOST_REQUIRE(entry.takeRequest(start).has_value());
    return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(handover)

BOOST_AUTO_TEST_CASE(leader_waits_for_a_bounded_time_whichever_successors_it_designates)
{
    HandoverOffer offer(settings);
    BOOST_TEST(!offer.isActive());
    BOOST_TEST(!offer.isOverdue(start));
    offer.designate("e2", start);
    offer.designate("e3", start + settings.limit_);
    BOOST_TEST(offer.successor() == "e3");
    BOOST_TEST(!offer.isOverdue(start + settings.limit_));
    BOOST_TEST(offer.isOverdue(start + settings.limit_ + Millis{1}));
    offer.end();
    BOOST_TEST(!offer.isOverdue(start + settings.limit_ + Millis{1}));
}

// An agent without a registration would keep a lease that the next leader does not wait for.
BOOST_AUTO_TEST_CASE(no_registration_is_removed_while_a_successor_may_use_the_list)
{
    HandoverOffer offer(settings);
    BOOST_TEST(offer.mayRemoveAgents(start));
    offer.onListSent(start);
    offer.end();
    BOOST_TEST(!offer.mayRemoveAgents(start + settings.listValidity_));
    BOOST_TEST(offer.mayRemoveAgents(start + settings.removalPause_ + Millis{1}));
    // With half a second for clocks that run at different speeds.
    BOOST_TEST((settings.listValidity_ + Millis{500} < settings.removalPause_));
}

BOOST_AUTO_TEST_CASE(successor_uses_the_list_for_a_bounded_time_from_its_request)
{
    PlannedTakeover entry = requestingEntry();
    BOOST_TEST(!entry.isPrepared(epoch, start));
    BOOST_TEST(entry.onList({epoch, start, agents}, start + Millis{2}));
    BOOST_TEST(!entry.agentsAfter(epoch + 1, start + Millis{3}).has_value());
    BOOST_TEST((entry.agentsAfter(epoch, start + Millis{3}) == agents));
    BOOST_TEST(entry.isPrepared(epoch, start + settings.listValidity_ - Millis{1}));
    BOOST_TEST(!entry.agentsAfter(epoch, start + settings.listValidity_).has_value());
}

BOOST_AUTO_TEST_CASE(answer_to_an_earlier_request_or_epoch_is_ignored)
{
    PlannedTakeover entry = requestingEntry();
    BOOST_TEST(!entry.takeRequest(start + settings.requestInterval_ - Millis{1}).has_value());
    const Millis later = start + settings.requestInterval_;
    BOOST_REQUIRE(entry.takeRequest(later).has_value());
    BOOST_TEST(!entry.onList({epoch, start, agents}, later));
    BOOST_TEST(!entry.onList({epoch - 1, later, agents}, later));
    BOOST_TEST(entry.onList({epoch, later, agents}, later + Millis{1}));
}

BOOST_AUTO_TEST_CASE(entry_that_is_not_designated_requests_nothing)
{
    PlannedTakeover entry(settings);
    BOOST_TEST(!entry.takeRequest(start).has_value());
    entry.onLeaderHeartbeat(epoch, false, {100});
    BOOST_TEST(!entry.takeRequest(start).has_value());
}

// A leader that has called off the handover relies on the hold-off of this entry again.
BOOST_AUTO_TEST_CASE(nothing_is_left_of_a_handover_that_was_called_off)
{
    PlannedTakeover entry = requestingEntry();
    BOOST_TEST(entry.onList({epoch, start, agents}, start));
    entry.onLeaderHeartbeat(epoch, false, {300});
    BOOST_TEST(!entry.isPrepared(epoch, start));
    BOOST_TEST(!entry.onList({epoch, start, agents}, start));
    // An earlier heartbeat that took a longer path.
    entry.onLeaderHeartbeat(epoch, true, {200});
    BOOST_TEST(!entry.takeRequest(start + Millis{1000}).has_value());
}

BOOST_AUTO_TEST_CASE(list_of_a_former_leader_is_not_used_after_its_successor)
{
    PlannedTakeover entry = requestingEntry();
    BOOST_TEST(entry.onList({epoch, start, agents}, start));
    entry.onLeaderHeartbeat(epoch + 1, true, {1});
    BOOST_TEST(!entry.isPrepared(epoch, start));
    BOOST_TEST(!entry.isPrepared(epoch + 1, start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
