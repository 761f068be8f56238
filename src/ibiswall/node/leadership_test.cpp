// When an entry takes the lead, and when it lets go.

#include "leadership.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis fresh{100};
constexpr Millis lost{5000};
constexpr StoreContact answered{fresh, {}};
// A call that was sent at 500 ms is still open.
constexpr StoreContact unanswered{lost, {500}};

BeatFrame beatOf(std::uint64_t epoch, const std::string &leader, Millis leaderAge = {0})
{
    BeatFrame beat;
    beat.epoch_ = epoch;
    beat.leader_ = leader;
    beat.leaderAge_ = leaderAge;
    beat.storeAge_ = fresh;
    beat.power_ = 500;
    beat.sentAt_ = {1};
    return beat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leadership)

BOOST_AUTO_TEST_CASE(the_first_entry_takes_a_lead_that_nobody_has)
{
    const Leadership one("e1", 500, {});
    BOOST_TEST(one.shouldTake(fresh, false, {1000}));
    BOOST_TEST(!one.shouldTake(lost, false, {1000}));
}

BOOST_AUTO_TEST_CASE(a_leader_that_is_heard_stays)
{
    Leadership one("e2", 500, {});
    one.heard("e1", beatOf(5, "e1"), {1000});
    BOOST_TEST(!one.shouldTake(fresh, false, {1300}));
    BOOST_TEST(one.shouldTake(fresh, false, {10000}));
}

BOOST_AUTO_TEST_CASE(a_leader_that_another_entry_hears_stays)
{
    Leadership one("e3", 500, {});
    one.heard("e1", beatOf(5, "e1"), {1000});
    for (std::int64_t now = 1100; now < 5000; now += 100) {
        one.heard("e2", beatOf(5, "e1", {100}), {now});
        BOOST_TEST(!one.shouldTake(fresh, false, {now}));
    }
}

BOOST_AUTO_TEST_CASE(entries_try_in_turn)
{
    const LeadershipSettings settings;
    Leadership two("e2", 500, settings);
    Leadership three("e3", 500, settings);
    two.heard("e1", beatOf(5, "e1"), {1000});
    three.heard("e1", beatOf(5, "e1"), {1000});
    const Millis silent = Millis{1001} + settings.settle_;
    two.heard("e3", beatOf(5, "e1", {9999}), silent);
    three.heard("e2", beatOf(5, "e1", {9999}), silent);
    BOOST_TEST(two.shouldTake(fresh, false, silent));
    BOOST_TEST(!three.shouldTake(fresh, false, silent));
    BOOST_TEST(three.shouldTake(fresh, false, silent + settings.turn_ + Millis{1}));
}

BOOST_AUTO_TEST_CASE(a_yielding_leader_is_followed_at_once_and_only_by_one_that_stays)
{
    Leadership two("e2", 500, {});
    BeatFrame beat = beatOf(5, "e1");
    beat.leaving_ = true;
    two.heard("e1", beat, {1000});
    BOOST_TEST(!two.shouldTake(fresh, false, {1001}));
    beat.yielded_ = true;
    two.heard("e1", beat, {1002});
    BOOST_TEST(two.shouldTake(fresh, false, {1003}));
    two.heard("e3", beatOf(5, "e1"), {1004});
    BOOST_TEST(!two.shouldTake(fresh, true, {1005}));
}

BOOST_AUTO_TEST_CASE(where_all_are_leaving_one_of_them_leads)
{
    Leadership two("e2", 500, {});
    BeatFrame beat = beatOf(5, "e1");
    beat.leaving_ = true;
    two.heard("e1", beat, {1000});
    BOOST_TEST(two.shouldTake(fresh, true, {9000}));
}

BOOST_AUTO_TEST_CASE(a_leader_lets_go_only_to_an_entry_that_can_take_over)
{
    Leadership one("e1", 500, {});
    one.take(5, {1000});
    BOOST_TEST(one.isMine());
    BOOST_TEST(!one.shouldLetGo(unanswered, true, {1000}));
    BeatFrame beat = beatOf(5, "e1");
    beat.storeAge_ = lost;
    one.heard("e2", beat, {1000});
    BOOST_TEST(!one.shouldLetGo(unanswered, true, {1000}));
    one.heard("e2", beatOf(5, "e1"), {1000});
    BOOST_TEST(one.shouldLetGo(unanswered, false, {1000}));
    BOOST_TEST(one.shouldLetGo(answered, true, {1000}));
    BOOST_TEST(!one.shouldLetGo(answered, false, {1000}));
}

BOOST_AUTO_TEST_CASE(the_leader_may_rely_on_promises_of_all_others_and_no_longer_than_they_hold)
{
    const LeadershipSettings settings;
    Leadership one("e1", 500, settings);
    one.take(5, {1000});
    BeatFrame beat = beatOf(5, "e1");
    beat.promisedFrom_ = {2000};
    one.heard("e2", beat, {2010});
    BOOST_TEST((one.promisedUntil({"e2"}) == Millis{2000} + settings.promise_));
    BOOST_TEST(one.promisedUntil({"e2", "e3"}).count_ <= settings.promise_.count_);
    beat.epoch_ = 4;
    one.heard("e2", beat, {2020});
    BOOST_TEST(one.promisedUntil({"e2"}).count_ <= settings.promise_.count_);
}

BOOST_AUTO_TEST_CASE(a_promise_is_over_before_its_giver_tries_for_the_lead)
{
    const LeadershipSettings settings;
    BOOST_TEST((settings.promise_ < settings.silence_));
    Leadership two("e2", 500, settings);
    two.heard("e1", beatOf(5, "e1"), {1000});
    BOOST_TEST((two.promisedFrom() == Millis{1}));
    BOOST_TEST(!two.shouldTake(fresh, false, Millis{1000} + settings.promise_));
}

BOOST_AUTO_TEST_CASE(the_lead_of_an_earlier_life_is_taken_anew)
{
    Leadership one("e1", 500, {});
    one.learn({5, "e1"}, {1000});
    BOOST_TEST(!one.isMine());
    BOOST_TEST(one.shouldTake(fresh, false, {1001}));
}

BOOST_AUTO_TEST_CASE(an_older_lead_is_not_learnt)
{
    Leadership one("e3", 500, {});
    BOOST_TEST(one.learn({5, "e1"}, {1000}));
    BOOST_TEST(!one.learn({4, "e2"}, {1000}));
    BOOST_TEST(one.lead().leader_ == "e1");
}

// Seen on the bench: the store fell silent for all, the leader let go to an entry whose last answer was 0.7 s old, and
// nobody could take the lead for 5 s.
BOOST_AUTO_TEST_CASE(a_leader_keeps_the_lead_when_the_store_answers_nobody)
{
    Leadership one("e1", 500, {});
    one.take(5, {1000});
    constexpr std::int64_t outage = 10000;
    constexpr std::int64_t proof = outage - 500;
    for (std::int64_t now = outage; now < outage + 3000; now += 100) {
        BeatFrame beat = beatOf(5, "e1");
        beat.storeAge_ = {now - outage + 10};
        one.heard("e2", beat, {now});
        BOOST_TEST(!one.shouldLetGo({{now - proof}, {outage + 100}}, false, {now}));
    }
    // The store comes back for the other entry only.
    one.heard("e2", beatOf(5, "e1"), {outage + 3000});
    BOOST_TEST(one.shouldLetGo({{3500}, {outage + 100}}, false, {outage + 3000}));
}

BOOST_AUTO_TEST_CASE(a_leader_that_let_go_goes_on_when_nobody_follows)
{
    const LeadershipSettings settings;
    Leadership one("e1", 500, settings);
    one.take(5, {1000});
    BOOST_TEST(!one.shouldResume({2000}, Millis{2000} + settings.resume_));
    BOOST_TEST(one.shouldResume({2000}, Millis{2001} + settings.resume_));
    one.heard("e2", beatOf(6, "e2"), {2100});
    BOOST_TEST(!one.shouldResume({2000}, {9000}));
}

// All tasks pass through the leader. On the bench a leader with an eighth of a core served one job in ten.
BOOST_AUTO_TEST_CASE(the_strongest_entry_tries_first)
{
    const LeadershipSettings settings;
    Leadership weak("e2", 120, settings);
    Leadership strong("e3", 500, settings);
    BeatFrame ofWeak = beatOf(5, "e1", {9999});
    ofWeak.power_ = 120;
    weak.heard("e1", beatOf(5, "e1"), {1000});
    strong.heard("e1", beatOf(5, "e1"), {1000});
    const Millis silent = Millis{1001} + settings.settle_;
    weak.heard("e3", beatOf(5, "e1", {9999}), silent);
    strong.heard("e2", ofWeak, silent);
    BOOST_TEST(!weak.shouldTake(fresh, false, silent));
    BOOST_TEST(strong.shouldTake(fresh, false, silent));
}

BOOST_AUTO_TEST_CASE(a_weak_leader_lets_go_to_a_strong_entry_that_stays_up)
{
    const LeadershipSettings settings;
    Leadership weak("e1", 120, settings);
    weak.take(5, {1000});
    Millis now{1000};
    for (; now < Millis{1000} + settings.steady_; now = now + Millis{100}) {
        weak.heard("e2", beatOf(5, "e1"), now);
        BOOST_TEST(!weak.shouldLetGo(answered, false, now));
    }
    weak.heard("e2", beatOf(5, "e1"), now);
    BOOST_TEST(weak.shouldLetGo(answered, false, now));
    // A break counts from anew.
    now = now + settings.silence_ + Millis{100};
    weak.heard("e2", beatOf(5, "e1"), now);
    BOOST_TEST(!weak.shouldLetGo(answered, false, now));
}

BOOST_AUTO_TEST_CASE(entries_that_are_alike_keep_their_leader)
{
    Leadership one("e2", 500, {});
    one.take(5, {1000});
    for (Millis now{1000}; now < Millis{9000}; now = now + Millis{100}) {
        one.heard("e1", beatOf(5, "e2"), now);
        BOOST_TEST(!one.shouldLetGo(answered, false, now));
    }
}

// The strongest one may be cut off from the leader, so that it does not learn of it.
BOOST_AUTO_TEST_CASE(the_next_one_takes_a_lead_that_the_strongest_leaves_lying)
{
    const LeadershipSettings settings;
    Leadership weak("e2", 120, settings);
    BeatFrame beat = beatOf(5, "e1");
    beat.yielded_ = true;
    weak.heard("e1", beat, {1000});
    weak.heard("e3", beatOf(5, "e1"), {1000});
    BOOST_TEST(!weak.shouldTake(fresh, false, {1001}));
    BOOST_TEST(weak.shouldTake(fresh, false, Millis{1000} + settings.turn_));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
