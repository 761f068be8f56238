// Tests of when an entry campaigns and when a leader steps down.

#include "leadership.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis fresh{100};
constexpr Millis lost{5000};
constexpr StoreContact answered{fresh, {}};
// A call sent at 500 ms is still unanswered.
constexpr StoreContact unanswered{lost, {500}};

HeartbeatFrame heartbeatOf(std::uint64_t epoch, const std::string &leader, Millis leaderAge = {0})
{
    HeartbeatFrame heartbeat;
    heartbeat.epoch_ = epoch;
    heartbeat.leader_ = leader;
    heartbeat.leaderAge_ = leaderAge;
    heartbeat.storeAge_ = fresh;
    heartbeat.accepting_ = true;
    heartbeat.millicores_ = 500;
    heartbeat.sentAt_ = {1};
    return heartbeat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leadership)

BOOST_AUTO_TEST_CASE(campaigns_when_there_is_no_leader_yet)
{
    const Leadership one("e1", 500, {});
    BOOST_TEST(one.shouldCampaign(fresh, false, {1000}));
    BOOST_TEST(!one.shouldCampaign(lost, false, {1000}));
}

BOOST_AUTO_TEST_CASE(does_not_campaign_while_leader_sends_heartbeats)
{
    Leadership one("e2", 500, {});
    one.onHeartbeat("e1", heartbeatOf(5, "e1"), {1000});
    BOOST_TEST(!one.shouldCampaign(fresh, false, {1300}));
    BOOST_TEST(one.shouldCampaign(fresh, false, {10000}));
}

BOOST_AUTO_TEST_CASE(does_not_campaign_while_another_entry_reaches_the_leader)
{
    Leadership one("e3", 500, {});
    one.onHeartbeat("e1", heartbeatOf(5, "e1"), {1000});
    for (std::int64_t now = 1100; now < 5000; now += 100) {
        one.onHeartbeat("e2", heartbeatOf(5, "e1", {100}), {now});
        BOOST_TEST(!one.shouldCampaign(fresh, false, {now}));
    }
}

BOOST_AUTO_TEST_CASE(candidates_campaign_in_rank_order)
{
    const LeadershipSettings settings;
    Leadership two("e2", 500, settings);
    Leadership three("e3", 500, settings);
    two.onHeartbeat("e1", heartbeatOf(5, "e1"), {1000});
    three.onHeartbeat("e1", heartbeatOf(5, "e1"), {1000});
    const Millis timedOut = Millis{1001} + settings.startupGrace_;
    two.onHeartbeat("e3", heartbeatOf(5, "e1", {9999}), timedOut);
    three.onHeartbeat("e2", heartbeatOf(5, "e1", {9999}), timedOut);
    BOOST_TEST(two.shouldCampaign(fresh, false, timedOut));
    BOOST_TEST(!three.shouldCampaign(fresh, false, timedOut));
    BOOST_TEST(three.shouldCampaign(fresh, false, timedOut + settings.rankDelay_ + Millis{1}));
}

BOOST_AUTO_TEST_CASE(campaigns_at_once_after_leader_stepped_down_unless_leaving)
{
    Leadership two("e2", 500, {});
    HeartbeatFrame heartbeat = heartbeatOf(5, "e1");
    heartbeat.leaving_ = true;
    two.onHeartbeat("e1", heartbeat, {1000});
    BOOST_TEST(!two.shouldCampaign(fresh, false, {1001}));
    heartbeat.steppedDown_ = true;
    two.onHeartbeat("e1", heartbeat, {1002});
    BOOST_TEST(two.shouldCampaign(fresh, false, {1003}));
    two.onHeartbeat("e3", heartbeatOf(5, "e1"), {1004});
    BOOST_TEST(!two.shouldCampaign(fresh, true, {1005}));
}

BOOST_AUTO_TEST_CASE(leaving_entry_campaigns_when_all_are_leaving)
{
    Leadership two("e2", 500, {});
    HeartbeatFrame heartbeat = heartbeatOf(5, "e1");
    heartbeat.leaving_ = true;
    two.onHeartbeat("e1", heartbeat, {1000});
    BOOST_TEST(two.shouldCampaign(fresh, true, {9000}));
}

BOOST_AUTO_TEST_CASE(steps_down_only_for_an_eligible_entry)
{
    Leadership one("e1", 500, {});
    one.acquire(5, {1000});
    BOOST_TEST(one.isLeader());
    BOOST_TEST(!one.shouldStepDown(unanswered, Departure::Closing, {1000}));
    HeartbeatFrame heartbeat = heartbeatOf(5, "e1");
    heartbeat.storeAge_ = lost;
    one.onHeartbeat("e2", heartbeat, {1000});
    BOOST_TEST(!one.shouldStepDown(unanswered, Departure::Closing, {1000}));
    one.onHeartbeat("e2", heartbeatOf(5, "e1"), {1000});
    BOOST_TEST(one.shouldStepDown(unanswered, Departure::None, {1000}));
    BOOST_TEST(one.shouldStepDown(answered, Departure::Closing, {1000}));
    BOOST_TEST(!one.shouldStepDown(answered, Departure::None, {1000}));
}

BOOST_AUTO_TEST_CASE(hands_neither_callers_nor_leadership_to_an_entry_without_a_configuration)
{
    Leadership one("e1", 500, {});
    one.acquire(5, {1000});
    HeartbeatFrame heartbeat = heartbeatOf(5, "e1");
    heartbeat.accepting_ = false;
    one.onHeartbeat("e2", heartbeat, {1000});
    BOOST_TEST(!one.hasSuccessor({1000}));
    BOOST_TEST(!one.shouldStepDown(answered, Departure::Closing, {1000}));
    one.onHeartbeat("e2", heartbeatOf(5, "e1"), {1100});
    BOOST_TEST(one.hasSuccessor({1100}));
    BOOST_TEST(one.shouldStepDown(answered, Departure::Closing, {1100}));
}

// In a benchmark all entries stopped within 2 s and then refused jobs at the same time, for 3 s.
BOOST_AUTO_TEST_CASE(entries_that_leave_together_do_not_all_refuse_jobs_at_once)
{
    const std::vector<std::pair<std::string, std::int64_t>> entries{{"e1", 500}, {"e2", 500}, {"e3", 120}};
    std::map<std::string, bool> hasSuccessor;
    for (const auto &[self, millicores] : entries) {
        Leadership leadership(self, millicores, {});
        for (const auto &[other, otherMillicores] : entries) {
            HeartbeatFrame heartbeat = heartbeatOf(5, "e1");
            heartbeat.leaving_ = true;
            heartbeat.millicores_ = otherMillicores;
            if (other != self) {
                leadership.onHeartbeat(other, heartbeat, {1000});
            }
        }
        hasSuccessor[self] = leadership.hasSuccessor({1000});
    }
    // The rest would have less than half of the CPU without e1 or e2.
    const std::map<std::string, bool> expected{{"e1", false}, {"e2", false}, {"e3", true}};
    BOOST_TEST((hasSuccessor == expected));
}

BOOST_AUTO_TEST_CASE(callers_are_not_sent_to_entries_that_cannot_bear_the_load)
{
    Leadership one("e1", 500, {});
    HeartbeatFrame weak = heartbeatOf(5, "e1");
    weak.millicores_ = 120;
    one.onHeartbeat("e2", weak, {1000});
    BOOST_TEST(!one.hasSuccessor({1000}));
    one.onHeartbeat("e3", heartbeatOf(5, "e1"), {1000});
    BOOST_TEST(one.hasSuccessor({1000}));
}

// In a benchmark a leader with half a core stepped down for an entry with an eighth of one, which served nobody for 4 s.
BOOST_AUTO_TEST_CASE(leaving_leader_waits_for_a_successor_that_can_bear_the_load)
{
    const LeadershipSettings settings;
    Leadership one("e1", 500, settings);
    one.acquire(5, {1000});
    HeartbeatFrame weak = heartbeatOf(5, "e1");
    weak.millicores_ = 120;
    Millis now{1000};
    for (; now < Millis{1000} + settings.minUptime_; now = now + Millis{100}) {
        one.onHeartbeat("e2", weak, now);
        BOOST_TEST(!one.shouldStepDown(answered, Departure::Accepting, now));
    }
    one.onHeartbeat("e2", weak, now);
    BOOST_TEST(!one.shouldStepDown(answered, Departure::Accepting, now));
    BOOST_TEST(one.shouldStepDown(answered, Departure::Closing, now));
}

// In a benchmark an entry that had been started 0.2 s before became the leader, and had no reports of the agents for 1.7 s.
BOOST_AUTO_TEST_CASE(leaving_leader_waits_for_a_successor_that_is_linked_to_the_agents)
{
    const LeadershipSettings settings;
    Leadership one("e1", 500, settings);
    one.acquire(5, {1000});
    Millis now{1000};
    for (; now < Millis{1000} + settings.minUptime_; now = now + Millis{100}) {
        one.onHeartbeat("e2", heartbeatOf(5, "e1"), now);
        BOOST_TEST(!one.shouldStepDown(answered, Departure::Accepting, now));
        BOOST_TEST(one.shouldStepDown(answered, Departure::Closing, now));
    }
    one.onHeartbeat("e2", heartbeatOf(5, "e1"), now);
    BOOST_TEST(one.shouldStepDown(answered, Departure::Accepting, now));
}

BOOST_AUTO_TEST_CASE(held_off_until_is_the_earliest_hold_off_of_all_entries_in_this_epoch)
{
    const LeadershipSettings settings;
    Leadership one("e1", 500, settings);
    one.acquire(5, {1000});
    HeartbeatFrame heartbeat = heartbeatOf(5, "e1");
    heartbeat.holdOffFrom_ = {2000};
    one.onHeartbeat("e2", heartbeat, {2010});
    BOOST_TEST((one.heldOffUntil({"e2"}) == Millis{2000} + settings.holdOff_));
    BOOST_TEST(one.heldOffUntil({"e2", "e3"}).count_ <= settings.holdOff_.count_);
    heartbeat.epoch_ = 4;
    one.onHeartbeat("e2", heartbeat, {2020});
    BOOST_TEST(one.heldOffUntil({"e2"}).count_ <= settings.holdOff_.count_);
}

BOOST_AUTO_TEST_CASE(hold_off_expires_before_its_entry_campaigns)
{
    const LeadershipSettings settings;
    BOOST_TEST((settings.holdOff_ < settings.peerTimeout_));
    Leadership two("e2", 500, settings);
    two.onHeartbeat("e1", heartbeatOf(5, "e1"), {1000});
    BOOST_TEST((two.holdOffFrom() == Millis{1}));
    BOOST_TEST(!two.shouldCampaign(fresh, false, Millis{1000} + settings.holdOff_));
}

BOOST_AUTO_TEST_CASE(campaigns_at_once_after_restart_of_the_leader)
{
    Leadership one("e1", 500, {});
    one.updateLeader({5, "e1"}, {1000});
    BOOST_TEST(!one.isLeader());
    BOOST_TEST(one.shouldCampaign(fresh, false, {1001}));
}

BOOST_AUTO_TEST_CASE(ignores_leader_of_an_older_epoch)
{
    Leadership one("e3", 500, {});
    BOOST_TEST(one.updateLeader({5, "e1"}, {1000}));
    BOOST_TEST(!one.updateLeader({4, "e2"}, {1000}));
    BOOST_TEST(one.leaderInfo().leader_ == "e1");
}

// Guards against a failure seen in benchmarks: the store stopped answering all entries, the leader stepped down for an entry
// whose last answer was 0.7 s old, and no entry could become the leader for 5 s.
BOOST_AUTO_TEST_CASE(does_not_step_down_when_the_store_answers_nobody)
{
    Leadership one("e1", 500, {});
    one.acquire(5, {1000});
    constexpr std::int64_t outage = 10000;
    constexpr std::int64_t confirmation = outage - 500;
    for (std::int64_t now = outage; now < outage + 3000; now += 100) {
        HeartbeatFrame heartbeat = heartbeatOf(5, "e1");
        heartbeat.storeAge_ = {now - outage + 10};
        one.onHeartbeat("e2", heartbeat, {now});
        BOOST_TEST(!one.shouldStepDown({{now - confirmation}, {outage + 100}}, Departure::None, {now}));
    }
    // The store answers again, but only the other entry.
    one.onHeartbeat("e2", heartbeatOf(5, "e1"), {outage + 3000});
    BOOST_TEST(one.shouldStepDown({{3500}, {outage + 100}}, Departure::None, {outage + 3000}));
}

BOOST_AUTO_TEST_CASE(resumes_after_stepping_down_without_a_successor)
{
    const LeadershipSettings settings;
    Leadership one("e1", 500, settings);
    one.acquire(5, {1000});
    BOOST_TEST(!one.shouldResume({2000}, Millis{2000} + settings.resumeDelay_));
    BOOST_TEST(one.shouldResume({2000}, Millis{2001} + settings.resumeDelay_));
    one.onHeartbeat("e2", heartbeatOf(6, "e2"), {2100});
    BOOST_TEST(!one.shouldResume({2000}, {9000}));
}

// All tasks pass through the leader. In benchmarks a leader with an eighth of a core served one job in ten.
BOOST_AUTO_TEST_CASE(entry_with_the_largest_cpu_share_campaigns_first)
{
    const LeadershipSettings settings;
    Leadership weak("e2", 120, settings);
    Leadership strong("e3", 500, settings);
    HeartbeatFrame ofWeak = heartbeatOf(5, "e1", {9999});
    ofWeak.millicores_ = 120;
    weak.onHeartbeat("e1", heartbeatOf(5, "e1"), {1000});
    strong.onHeartbeat("e1", heartbeatOf(5, "e1"), {1000});
    const Millis timedOut = Millis{1001} + settings.startupGrace_;
    weak.onHeartbeat("e3", heartbeatOf(5, "e1", {9999}), timedOut);
    strong.onHeartbeat("e2", ofWeak, timedOut);
    BOOST_TEST(!weak.shouldCampaign(fresh, false, timedOut));
    BOOST_TEST(strong.shouldCampaign(fresh, false, timedOut));
}

BOOST_AUTO_TEST_CASE(weak_leader_steps_down_for_a_strong_entry_with_enough_uptime)
{
    const LeadershipSettings settings;
    Leadership weak("e1", 120, settings);
    weak.acquire(5, {1000});
    Millis now{1000};
    for (; now < Millis{1000} + settings.minUptime_; now = now + Millis{100}) {
        weak.onHeartbeat("e2", heartbeatOf(5, "e1"), now);
        BOOST_TEST(!weak.shouldStepDown(answered, Departure::None, now));
    }
    weak.onHeartbeat("e2", heartbeatOf(5, "e1"), now);
    BOOST_TEST(weak.shouldStepDown(answered, Departure::None, now));
    // An interruption restarts the required uptime.
    now = now + settings.peerTimeout_ + Millis{100};
    weak.onHeartbeat("e2", heartbeatOf(5, "e1"), now);
    BOOST_TEST(!weak.shouldStepDown(answered, Departure::None, now));
}

BOOST_AUTO_TEST_CASE(designates_the_entry_that_would_campaign_first_and_another_if_it_is_lost)
{
    const LeadershipSettings settings;
    Leadership leader("e1", 500, settings);
    leader.acquire(5, {1000});
    BOOST_TEST(leader.successor(answered, Departure::Closing, {1000}).empty());
    HeartbeatFrame ofStrong = heartbeatOf(5, "e1");
    ofStrong.millicores_ = 600;
    leader.onHeartbeat("e2", heartbeatOf(5, "e1"), {1000});
    leader.onHeartbeat("e3", ofStrong, {1000});
    leader.onHeartbeat("e4", ofStrong, {1000});
    BOOST_TEST(leader.successor(answered, Departure::Closing, {1000}) == "e3");
    BOOST_TEST(leader.successor(answered, Departure::None, {1000}).empty());
    const Millis later = Millis{1001} + settings.peerTimeout_;
    leader.onHeartbeat("e4", ofStrong, later);
    BOOST_TEST(leader.successor(answered, Departure::Closing, later) == "e4");
}

// Two leaders would place the tasks of a lost agent: one that relies on the hold-off of its successor, and the successor.
BOOST_AUTO_TEST_CASE(gives_no_hold_off_to_a_leader_that_hands_over)
{
    Leadership successor("e2", 500, {});
    successor.onHeartbeat("e1", heartbeatOf(5, "e1"), {1000});
    BOOST_TEST((successor.holdOffFrom() == Millis{1}));
    HeartbeatFrame heartbeat = heartbeatOf(5, "e1");
    heartbeat.successor_ = "e2";
    successor.onHeartbeat("e1", heartbeat, {1100});
    BOOST_TEST((successor.holdOffFrom() == Millis{0}));
    // A leader that hands over still leads.
    BOOST_TEST(!successor.shouldCampaign(fresh, false, {1101}));
}

BOOST_AUTO_TEST_CASE(does_not_step_down_for_an_entry_of_equal_cpu_share)
{
    Leadership one("e2", 500, {});
    one.acquire(5, {1000});
    for (Millis now{1000}; now < Millis{9000}; now = now + Millis{100}) {
        one.onHeartbeat("e1", heartbeatOf(5, "e2"), now);
        BOOST_TEST(!one.shouldStepDown(answered, Departure::None, now));
    }
}

// The strongest entry may be disconnected from the leader and not know that it has stepped down.
BOOST_AUTO_TEST_CASE(next_entry_campaigns_when_the_strongest_does_not)
{
    const LeadershipSettings settings;
    Leadership weak("e2", 120, settings);
    HeartbeatFrame heartbeat = heartbeatOf(5, "e1");
    heartbeat.steppedDown_ = true;
    weak.onHeartbeat("e1", heartbeat, {1000});
    weak.onHeartbeat("e3", heartbeatOf(5, "e1"), {1000});
    BOOST_TEST(!weak.shouldCampaign(fresh, false, {1001}));
    BOOST_TEST(weak.shouldCampaign(fresh, false, Millis{1000} + settings.rankDelay_));
}

// With 55 entries that all send heartbeats to one another each 100 ms, every entry handles 540 a second.
BOOST_AUTO_TEST_CASE(heartbeats_of_a_large_cell_do_not_grow_with_its_square)
{
    constexpr int entries = 55;
    const LeadershipSettings settings;
    const auto nameOf = [](int i) {
        return "e" + std::to_string(100 + i);
    };
    const Millis now{5000};
    std::map<std::string, double> received;
    for (int i = 0; i < entries; ++i) {
        Leadership self(nameOf(i), 500, settings);
        for (int other = 0; other < entries; ++other) {
            if (other != i) {
                self.onHeartbeat(nameOf(other), heartbeatOf(5, nameOf(0)), now);
            }
        }
        for (int other = 0; other < entries; ++other) {
            if (other != i) {
                received[nameOf(other)] += 1000.0 / static_cast<double>(self.heartbeatInterval(nameOf(other), now).count_);
            }
        }
    }
    const double frequent = 1000.0 / static_cast<double>(settings.frequentHeartbeat_.count_);
    const double rare = 1000.0 / static_cast<double>(settings.rareHeartbeat_.count_);
    const auto perEntry = (static_cast<double>(settings.likelySuccessors_) + 1) * frequent + entries * rare;
    for (int i = 1; i < entries; ++i) {
        BOOST_TEST(received[nameOf(i)] <= perEntry);
    }
    // The leader's leases during an outage of the store depend on recent hold-offs of all entries.
    BOOST_TEST(received[nameOf(0)] == (entries - 1) * frequent);
}

BOOST_AUTO_TEST_CASE(an_entry_with_rare_heartbeats_counts_as_reachable_between_them)
{
    const LeadershipSettings settings;
    Leadership one("e1", 500, settings);
    HeartbeatFrame heartbeat = heartbeatOf(5, "e0");
    heartbeat.nextIn_ = settings.rareHeartbeat_;
    one.onHeartbeat("e2", heartbeat, {1000});
    BOOST_TEST(one.countOthers(Millis{1000} + settings.rareHeartbeat_).reachable_ == 1);
    BOOST_TEST(one.countOthers(Millis{1001} + settings.rareHeartbeat_ + settings.peerTimeout_).reachable_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
