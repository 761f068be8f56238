// Decisions of the dispatcher, one at a time.

#include "testparts.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

// A dispatcher with its configuration and targets.
struct Bench
{
    explicit Bench(bool gathered = true)
    {
        dispatcher_.setConfig(testConfig(), {});
        if (gathered) {
            dispatcher_.gathered({0});
        }
    }

    void add(const std::string &agent, std::int64_t cpu = 8000, const std::string &domain = "fd-1")
    {
        dispatcher_.report(agent, testTarget("t-" + agent, cpu, domain), 1, {}, {}, now_);
    }

    Effects schedule()
    {
        dispatcher_.schedule(now_);
        return dispatcher_.takeEffects();
    }

    void end(const StartOrder &start, EndKind kind = EndKind::Done)
    {
        dispatcher_.ended(start.agent_, {++ends_[start.agent_], start.run_, kind, {}}, now_);
    }

    Millis now_{1000};
    Dispatcher dispatcher_{5};
    std::map<std::string, std::uint64_t> ends_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_decisions)

BOOST_AUTO_TEST_CASE(spreads_a_job_over_targets)
{
    Bench bench;
    bench.add("a");
    bench.add("b");
    bench.dispatcher_.addJob(testJob("j1", {testStep(4)}), bench.now_);
    std::map<std::string, int> placed;
    for (const StartOrder &start : bench.schedule().starts_) {
        ++placed[start.agent_];
    }
    BOOST_TEST(placed["a"] == 2);
    BOOST_TEST(placed["b"] == 2);
}

BOOST_AUTO_TEST_CASE(never_exceeds_the_room)
{
    Bench bench;
    bench.add("a", 2500);
    bench.dispatcher_.addJob(testJob("j1", {testStep(4)}), bench.now_);
    const Effects effects = bench.schedule();
    BOOST_TEST(effects.starts_.size() == 2U);
    BOOST_TEST(bench.schedule().starts_.empty());
    bench.end(effects.starts_[0]);
    BOOST_TEST(bench.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(room_is_free_only_when_a_stopped_run_has_ended)
{
    Bench bench;
    bench.add("a", 1000);
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}), bench.now_);
    const Effects first = bench.schedule();
    bench.dispatcher_.abandon("j1", "entry-1", bench.now_);
    bench.dispatcher_.addJob(testJob("j2", {testStep(1)}), bench.now_);
    BOOST_TEST(bench.schedule().starts_.empty());
    bench.end(first.starts_[0], EndKind::Stopped);
    BOOST_TEST(bench.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(urgent_queues_go_first)
{
    Bench bench;
    bench.add("a", 1000);
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}, true, "later"), bench.now_);
    bench.dispatcher_.addJob(testJob("j2", {testStep(1)}), bench.now_);
    const Effects effects = bench.schedule();
    BOOST_REQUIRE(effects.starts_.size() == 1U);
    BOOST_TEST(effects.starts_[0].run_.task_.job_ == "j2");
}

BOOST_AUTO_TEST_CASE(a_step_waits_for_the_steps_before_it)
{
    Bench bench;
    bench.add("a");
    Step second = testStep(1);
    second.after_ = {0};
    bench.dispatcher_.addJob(testJob("j1", {testStep(2), second}), bench.now_);
    const Effects effects = bench.schedule();
    BOOST_REQUIRE(effects.starts_.size() == 2U);
    bench.end(effects.starts_[0]);
    BOOST_TEST(bench.schedule().starts_.empty());
    bench.end(effects.starts_[1]);
    const Effects last = bench.schedule();
    BOOST_REQUIRE(last.starts_.size() == 1U);
    BOOST_TEST(last.starts_[0].run_.task_.step_ == 1U);
}

BOOST_AUTO_TEST_CASE(nothing_starts_on_a_draining_silent_or_evacuated_target)
{
    Bench bench;
    bench.add("a");
    bench.add("b");
    bench.add("c", 8000, "fd-2");
    TargetInfo draining = testTarget("t-a");
    draining.draining_ = true;
    TargetInfo silent = testTarget("t-b");
    silent.answering_ = false;
    bench.dispatcher_.targetChanged("a", draining);
    bench.dispatcher_.targetChanged("b", silent);
    bench.dispatcher_.setConfig(testConfig(), {"fd-2"});
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}), bench.now_);
    BOOST_TEST(bench.schedule().starts_.empty());
    bench.dispatcher_.setConfig(testConfig(), {});
    const Effects effects = bench.schedule();
    BOOST_REQUIRE(effects.starts_.size() == 1U);
    BOOST_TEST(effects.starts_[0].agent_ == "c");
}

BOOST_AUTO_TEST_CASE(labels_and_limits_per_target_hold)
{
    Bench bench;
    bench.add("a");
    bench.add("b");
    TargetInfo special = testTarget("t-b");
    special.labels_ = {"b", "r1"};
    bench.dispatcher_.targetChanged("b", special);
    Step step = testStep(3);
    step.requiredLabel_ = "b";
    step.maxPerTarget_ = 2;
    bench.dispatcher_.addJob(testJob("j1", {step}), bench.now_);
    const Effects effects = bench.schedule();
    BOOST_REQUIRE(effects.starts_.size() == 2U);
    BOOST_TEST(effects.starts_[0].agent_ == "b");
    BOOST_TEST(effects.starts_[1].agent_ == "b");
}

BOOST_AUTO_TEST_CASE(an_ephemeral_job_ends_with_a_notice_to_its_entry_and_no_write)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}), bench.now_);
    bench.end(bench.schedule().starts_.at(0));
    const Effects effects = bench.dispatcher_.takeEffects();
    BOOST_REQUIRE(effects.notices_.size() == 1U);
    BOOST_TEST((effects.notices_[0].state_ == JobState::Completed));
    BOOST_TEST(effects.notices_[0].origins_.count("entry-1") == 1U);
    BOOST_REQUIRE(effects.acks_.size() == 1U);
    BOOST_TEST(effects.acks_[0].through_ == 1U);
    BOOST_TEST(bench.dispatcher_.takeWrites(10, {100000}).empty());
    // A caller who lost the answer and asks through another entry gets it.
    BOOST_TEST((bench.dispatcher_.addJob(testJob("j1", {testStep(1)}), bench.now_) == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(a_durable_job_is_stored_before_its_end_is_told_or_acknowledged)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}, false), bench.now_);
    bench.end(bench.schedule().starts_.at(0));
    Effects effects = bench.dispatcher_.takeEffects();
    BOOST_TEST(effects.notices_.empty());
    BOOST_TEST(effects.acks_.empty());
    const auto writes = bench.dispatcher_.takeWrites(10, bench.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST(writes[0].expectedRevision_ == 7);
    BOOST_TEST((writes[0].record_.progress_.state_ == JobState::Completed));
    bench.dispatcher_.written("j1", 8, bench.now_);
    effects = bench.dispatcher_.takeEffects();
    BOOST_TEST(effects.notices_.size() == 1U);
    BOOST_TEST(effects.acks_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_write_that_failed_is_made_again_under_the_present_revision)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}, false), bench.now_);
    bench.end(bench.schedule().starts_.at(0));
    bench.dispatcher_.takeWrites(10, bench.now_);
    bench.dispatcher_.notWritten("j1", 9);
    BOOST_TEST(bench.dispatcher_.takeEffects().acks_.empty());
    const auto writes = bench.dispatcher_.takeWrites(10, bench.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST(writes[0].expectedRevision_ == 9);
}

BOOST_AUTO_TEST_CASE(attempts_are_counted_once_and_bounded)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}, false), bench.now_);
    const StartOrder first = bench.schedule().starts_.at(0);
    bench.end(first, EndKind::Failed);
    // The same end, listed again after a new link.
    bench.dispatcher_.ended("a", {1, first.run_, EndKind::Failed, {}}, bench.now_);
    const Effects second = bench.schedule();
    BOOST_REQUIRE(second.starts_.size() == 1U);
    BOOST_TEST(second.starts_[0].run_.number_ > first.run_.number_);
    bench.end(second.starts_[0], EndKind::Failed);
    BOOST_TEST(bench.schedule().starts_.empty());
    const auto writes = bench.dispatcher_.takeWrites(10, bench.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST((writes[0].record_.progress_.state_ == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(a_failure_counts_once_across_a_takeover)
{
    Bench first;
    first.add("a");
    first.dispatcher_.addJob(testJob("j1", {testStep(1)}, false), first.now_);
    const StartOrder start = first.schedule().starts_.at(0);
    first.end(start, EndKind::Failed);
    const auto writes = first.dispatcher_.takeWrites(10, first.now_);
    BOOST_REQUIRE(writes.size() == 1U);

    Bench second(false);
    JobOffer loaded{"j1", writes[0].record_, 8, false, {}, {}, {}};
    second.dispatcher_.addJob(loaded, second.now_);
    const std::vector<End> listed{{1, start.run_, EndKind::Failed, {}}};
    second.dispatcher_.report("a", testTarget("t-a"), 1, {}, listed, second.now_);
    second.dispatcher_.gathered(second.now_);
    BOOST_TEST(second.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(tasks_of_an_earlier_epoch_wait_until_all_agents_have_reported)
{
    Bench bench(false);
    bench.add("a");
    JobOffer loaded = testJob("j1", {testStep(1)});
    loaded.fresh_ = false;
    bench.dispatcher_.addJob(loaded, bench.now_);
    bench.dispatcher_.addJob(testJob("j2", {testStep(1)}), bench.now_);
    const Effects early = bench.schedule();
    BOOST_REQUIRE(early.starts_.size() == 1U);
    BOOST_TEST(early.starts_[0].run_.task_.job_ == "j2");
    bench.dispatcher_.gathered(bench.now_);
    BOOST_TEST(bench.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(runs_and_ends_of_a_job_not_offered_yet_are_kept_for_it)
{
    Bench bench(false);
    const std::vector<Run> running{{{"j1", 0, 0}, 3}};
    const std::vector<End> ends{{1, {{"j1", 0, 1}, 4}, EndKind::Done, {}}};
    bench.dispatcher_.report("a", testTarget("t-a"), 1, running, ends, bench.now_);
    Effects effects = bench.dispatcher_.takeEffects();
    BOOST_TEST(effects.stops_.empty());
    BOOST_TEST(effects.acks_.empty());
    BOOST_TEST(!effects.lookups_.empty());
    bench.dispatcher_.gathered(bench.now_);
    JobOffer offer = testJob("j1", {testStep(2)}, false);
    offer.fresh_ = false;
    bench.dispatcher_.addJob(offer, bench.now_);
    BOOST_TEST(bench.schedule().starts_.empty());
    bench.dispatcher_.ended("a", {2, running[0], EndKind::Done, {}}, bench.now_);
    const auto writes = bench.dispatcher_.takeWrites(10, bench.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST((writes[0].record_.progress_.state_ == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(runs_of_a_job_that_does_not_exist_are_stopped)
{
    Bench bench;
    const std::vector<Run> running{{{"j1", 0, 0}, 3}};
    bench.dispatcher_.report("a", testTarget("t-a"), 1, running, {}, bench.now_);
    bench.dispatcher_.forgetJob("j1");
    BOOST_TEST(bench.dispatcher_.takeEffects().stops_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_job_offered_after_its_runs_were_to_be_stopped_waits_for_their_end)
{
    Bench bench;
    const std::vector<Run> running{{{"j1", 0, 0}, 3}};
    bench.dispatcher_.report("a", testTarget("t-a"), 1, running, {}, bench.now_);
    bench.add("b");
    bench.dispatcher_.forgetJob("j1");
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}), bench.now_);
    BOOST_TEST(bench.schedule().starts_.empty());
    bench.dispatcher_.ended("a", {1, running[0], EndKind::Stopped, {}}, bench.now_);
    BOOST_TEST(bench.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(work_of_a_lost_target_goes_elsewhere)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}), bench.now_);
    const StartOrder first = bench.schedule().starts_.at(0);
    bench.add("b");
    bench.dispatcher_.targetLost("a", bench.now_);
    // A later dispatcher may have taken the agent over with its run.
    BOOST_TEST(bench.schedule().starts_.empty());
    bench.dispatcher_.confirmLost(bench.now_ + Millis{1});
    const Effects second = bench.schedule();
    BOOST_REQUIRE(second.starts_.size() == 1U);
    BOOST_TEST(second.starts_[0].agent_ == "b");
    BOOST_TEST(second.starts_[0].run_.number_ > first.run_.number_);
}

BOOST_AUTO_TEST_CASE(a_reborn_target_counts_its_ends_anew_and_the_agent_tells_what_was_lost)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(2)}, false), bench.now_);
    const Effects first = bench.schedule();
    BOOST_REQUIRE(first.starts_.size() == 2U);
    bench.dispatcher_.ended("a", {9, first.starts_[0].run_, EndKind::Done, {}}, bench.now_);
    TargetInfo reborn = testTarget("t-a");
    reborn.born_ = 2;
    bench.dispatcher_.targetChanged("a", reborn);
    // The start of the second task may have reached the new life.
    BOOST_TEST(bench.schedule().starts_.empty());
    bench.dispatcher_.ended("a", {0, first.starts_[1].run_, EndKind::Lost, {}}, bench.now_);
    const Effects again = bench.schedule();
    BOOST_REQUIRE(again.starts_.size() == 1U);
    bench.dispatcher_.ended("a", {1, again.starts_[0].run_, EndKind::Done, {}}, bench.now_);
    const auto writes = bench.dispatcher_.takeWrites(10, bench.now_);
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST((writes[0].record_.progress_.state_ == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(an_end_of_an_earlier_life_that_is_taken_in_late_takes_no_number_of_the_present_one)
{
    Bench bench(false);
    const std::vector<End> ends{{68, {{"j1", 0, 0}, 2}, EndKind::Done, {}}};
    bench.dispatcher_.report("a", testTarget("t-a"), 1, {}, ends, bench.now_);
    TargetInfo reborn = testTarget("t-a");
    reborn.born_ = 2;
    bench.dispatcher_.targetChanged("a", reborn);
    bench.dispatcher_.gathered(bench.now_);
    bench.dispatcher_.addJob(testJob("j1", {testStep(2)}), bench.now_);
    const Effects effects = bench.schedule();
    BOOST_REQUIRE(effects.starts_.size() == 1U);
    bench.dispatcher_.ended("a", {1, effects.starts_[0].run_, EndKind::Done, {}}, bench.now_);
    BOOST_TEST((bench.dispatcher_.finalState("j1") == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(a_life_that_reports_before_it_announces_itself_is_the_same_life)
{
    Bench bench(false);
    JobOffer offer = testJob("j1", {testStep(2)}, false);
    offer.fresh_ = false;
    bench.dispatcher_.addJob(offer, bench.now_);
    const std::vector<Run> running{{{"j1", 0, 1}, 3}};
    const std::vector<End> ends{{1, {{"j1", 0, 0}, 2}, EndKind::Done, {}}};
    bench.dispatcher_.report("a", std::nullopt, 1, running, ends, bench.now_);
    bench.dispatcher_.targetChanged("a", testTarget("t-a"));
    bench.dispatcher_.gathered(bench.now_);
    BOOST_TEST(bench.schedule().starts_.empty());
    // The end of the first task is not stored, so it must stay listed.
    bench.dispatcher_.ended("a", {2, {{"j9", 0, 0}, 4}, EndKind::Stopped, {}}, bench.now_);
    bench.dispatcher_.forgetJob("j9");
    BOOST_TEST(bench.dispatcher_.takeEffects().acks_.empty());
}

BOOST_AUTO_TEST_CASE(a_late_done_stops_the_run_that_replaced_it)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(1), testStep(1)}), bench.now_);
    const StartOrder first = bench.schedule().starts_.at(0);
    bench.add("b");
    bench.dispatcher_.targetLost("a", bench.now_);
    bench.dispatcher_.confirmLost(bench.now_ + Millis{1});
    bench.schedule();
    bench.dispatcher_.ended("a", {1, first.run_, EndKind::Done, {}}, bench.now_);
    BOOST_TEST(bench.dispatcher_.takeEffects().stops_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_target_that_rejects_starts_is_left_alone_for_longer_and_longer)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}), bench.now_);
    int starts = 0;
    for (int i = 0; i < 1000; ++i) {
        bench.now_ = bench.now_ + Millis{1};
        for (const StartOrder &start : bench.schedule().starts_) {
            ++starts;
            bench.dispatcher_.refused(start.agent_, start.run_, false, bench.now_);
        }
    }
    BOOST_TEST(starts <= 8);
}

BOOST_AUTO_TEST_CASE(a_job_that_was_not_started_is_turned_away_at_the_end_of_patience)
{
    Bench bench;
    JobOffer offer = testJob("j1", {testStep(1)});
    offer.patience_ = {500};
    bench.dispatcher_.addJob(offer, bench.now_);
    bench.dispatcher_.turnAway(bench.now_ + Millis{499});
    BOOST_TEST(bench.dispatcher_.takeEffects().notices_.empty());
    bench.dispatcher_.turnAway(bench.now_ + Millis{500});
    const Effects effects = bench.dispatcher_.takeEffects();
    BOOST_REQUIRE(effects.notices_.size() == 1U);
    BOOST_TEST((effects.notices_[0].state_ == JobState::Refused));
    bench.add("a");
    BOOST_TEST(bench.schedule().starts_.empty());
}

BOOST_AUTO_TEST_CASE(a_job_that_was_started_is_never_turned_away)
{
    Bench bench;
    bench.add("a");
    JobOffer offer = testJob("j1", {testStep(2, 5000)});
    offer.patience_ = {500};
    bench.dispatcher_.addJob(offer, bench.now_);
    const StartOrder start = bench.schedule().starts_.at(0);
    bench.dispatcher_.refused("a", start.run_, false, bench.now_);
    bench.dispatcher_.turnAway(bench.now_ + Millis{501});
    BOOST_TEST(bench.dispatcher_.takeEffects().notices_.empty());
}

// Seen on the bench: the former leader had run some tasks of a job, the next one knew nothing of it, and told the caller
// that it had not run.
BOOST_AUTO_TEST_CASE(a_job_that_an_earlier_leader_may_have_started_is_never_turned_away)
{
    Bench bench;
    JobOffer offer = testJob("j1", {testStep(4)});
    offer.fresh_ = false;
    offer.patience_ = {500};
    bench.dispatcher_.addJob(offer, bench.now_);
    JobOffer again = testJob("j2", {testStep(4)});
    again.patience_ = {500};
    bench.dispatcher_.addJob(again, bench.now_);
    again.fresh_ = false;
    bench.dispatcher_.addJob(again, bench.now_);
    bench.now_ = {1500};
    bench.dispatcher_.turnAway(bench.now_);
    BOOST_TEST(bench.dispatcher_.takeEffects().notices_.empty());
}

BOOST_AUTO_TEST_CASE(a_job_of_which_a_target_reported_any_end_is_never_turned_away)
{
    for (const EndKind kind : {EndKind::Done, EndKind::Failed, EndKind::Stopped, EndKind::Lapsed}) {
        Bench bench;
        const std::vector<End> ends{{1, {{"j1", 0, 0}, 3}, kind, {}}};
        bench.dispatcher_.report("a", testTarget("t-a", 100), 1, {}, ends, bench.now_);
        JobOffer offer = testJob("j1", {testStep(4)});
        offer.patience_ = {500};
        bench.dispatcher_.addJob(offer, bench.now_);
        bench.now_ = {1500};
        bench.dispatcher_.turnAway(bench.now_);
        BOOST_TEST(bench.dispatcher_.takeEffects().notices_.empty());
    }
}

// Otherwise the next leader would run the tasks that are done once more.
BOOST_AUTO_TEST_CASE(ends_of_an_ephemeral_job_are_acknowledged_once_it_has_ended)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(2)}), bench.now_);
    const Effects effects = bench.schedule();
    BOOST_REQUIRE(effects.starts_.size() == 2U);
    bench.end(effects.starts_[0]);
    bench.now_ = {9000};
    bench.dispatcher_.takeWrites(10, bench.now_);
    BOOST_TEST(bench.dispatcher_.takeEffects().acks_.empty());
    bench.end(effects.starts_[1]);
    const Effects after = bench.dispatcher_.takeEffects();
    BOOST_REQUIRE(!after.acks_.empty());
    BOOST_TEST(after.acks_.back().through_ == 2U);
}

BOOST_AUTO_TEST_CASE(records_of_ended_jobs_are_removed_when_their_time_is_over)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("d1", {testStep(1)}, false), bench.now_);
    bench.dispatcher_.addJob(testJob("e1", {testStep(1)}, true), bench.now_);
    for (const StartOrder &start : bench.schedule().starts_) {
        bench.end(start);
    }
    BOOST_REQUIRE(bench.dispatcher_.takeWrites(10, bench.now_).size() == 1U);
    bench.dispatcher_.written("d1", 40, bench.now_);
    JobOffer loaded = testJob("d2", {}, false);
    loaded.record_.progress_.state_ = JobState::Failed;
    loaded.revision_ = 41;
    bench.dispatcher_.addJob(loaded, bench.now_);
    bench.dispatcher_.forgetEnded(bench.now_, bench.now_);
    BOOST_TEST(bench.dispatcher_.takeRemovals(10).empty());
    BOOST_TEST(bench.dispatcher_.knows("d1"));
    bench.dispatcher_.forgetEnded(bench.now_ + Millis{1}, bench.now_ + Millis{1});
    BOOST_TEST(!bench.dispatcher_.knows("d1"));
    std::map<std::string, std::int64_t> removed;
    for (const JobRemoval &removal : bench.dispatcher_.takeRemovals(1)) {
        removed[removal.job_] = removal.revision_;
    }
    BOOST_TEST(removed.size() == 1U);
    const auto rest = bench.dispatcher_.takeRemovals(10);
    BOOST_REQUIRE(rest.size() == 1U);
    bench.dispatcher_.notRemoved(rest);
    for (const JobRemoval &removal : bench.dispatcher_.takeRemovals(10)) {
        removed[removal.job_] = removal.revision_;
    }
    const std::map<std::string, std::int64_t> wanted{{"d1", 40}, {"d2", 41}};
    BOOST_TEST((removed == wanted));
}

// Seen on the bench: an entry whose path to the leader was replaced repeated its offer while the refusal was on its way. The
// caller was told that the job had not run, and it ran a second later.
BOOST_AUTO_TEST_CASE(a_job_that_was_turned_away_stays_so_until_it_is_handed_in_anew)
{
    Bench bench;
    JobOffer offer = testJob("j1", {testStep(1)});
    offer.patience_ = {500};
    bench.dispatcher_.addJob(offer, bench.now_);
    bench.dispatcher_.turnAway(bench.now_ + Millis{500});
    bench.add("a");
    JobOffer repeated = offer;
    repeated.fresh_ = false;
    BOOST_TEST((bench.dispatcher_.addJob(repeated, bench.now_) == std::optional(JobState::Refused)));
    BOOST_TEST(bench.schedule().starts_.empty());
    BOOST_TEST(!bench.dispatcher_.addJob(offer, bench.now_).has_value());
    BOOST_TEST(bench.schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(nobody_is_told_of_the_end_of_an_ephemeral_job_whose_callers_have_left)
{
    Bench bench;
    bench.dispatcher_.addJob(testJob("j1", {testStep(1)}), bench.now_);
    bench.dispatcher_.abandon("j1", "entry-1", bench.now_);
    BOOST_TEST(bench.dispatcher_.takeEffects().notices_.empty());
}

BOOST_AUTO_TEST_CASE(a_job_that_can_only_end_too_late_to_be_of_use_is_turned_away_at_once)
{
    Bench bench;
    JobOffer offer = testJob("j1", {testStep(1)});
    offer.patience_ = {5000};
    bench.dispatcher_.addJob(offer, bench.now_);
    // The objective is 1.6 times 100 ms and 60 ms, of which three times may pass, with 100 ms of work at the end.
    bench.dispatcher_.turnAway(bench.now_ + Millis{560});
    BOOST_TEST(bench.dispatcher_.takeEffects().notices_.empty());
    bench.dispatcher_.turnAway(bench.now_ + Millis{561});
    const Effects effects = bench.dispatcher_.takeEffects();
    BOOST_REQUIRE(effects.notices_.size() == 1U);
    BOOST_TEST((effects.notices_[0].state_ == JobState::Refused));
}

BOOST_AUTO_TEST_CASE(the_time_that_a_caller_has_waited_counts_also_at_a_new_leader)
{
    Bench bench;
    JobOffer offer = testJob("j1", {testStep(1)});
    offer.patience_ = {5000};
    offer.age_ = {600};
    bench.dispatcher_.addJob(offer, bench.now_);
    bench.dispatcher_.turnAway(bench.now_ + Millis{1});
    BOOST_TEST(bench.dispatcher_.takeEffects().notices_.size() == 1U);
}

// A target that bears 100 jobs a second meets 160 for three seconds, then 60. What callers get: nobody is told later than
// three times the objective, and after the burst new jobs are in time again at once.
BOOST_AUTO_TEST_CASE(a_burst_makes_no_job_late_that_comes_after_it)
{
    constexpr std::int64_t length = 6000;
    constexpr std::int64_t burst = 3000;
    Bench bench;
    bench.add("a", 10000);
    struct Told
    {
        std::int64_t handedIn_ = 0;
        std::int64_t after_ = -1;
        JobState state_ = JobState::Pending;
    };
    std::map<std::string, Told> told;
    std::multimap<std::int64_t, StartOrder> running;
    double owed = 0;
    for (std::int64_t now = 0; now < length + 1000; ++now) {
        bench.now_ = {1000 + now};
        owed += now < burst ? 0.16 : now < length ? 0.06 : 0;
        for (; owed >= 1; owed -= 1) {
            const std::string id = "j" + std::to_string(told.size());
            JobOffer offer = testJob(id, {testStep(1)});
            offer.patience_ = {3000};
            bench.dispatcher_.addJob(offer, bench.now_);
            told[id].handedIn_ = now;
        }
        while (!running.empty() && running.begin()->first <= now) {
            bench.end(running.begin()->second);
            running.erase(running.begin());
        }
        bench.dispatcher_.schedule(bench.now_);
        if (now % 50 == 0) {
            bench.dispatcher_.turnAway(bench.now_);
        }
        const Effects effects = bench.dispatcher_.takeEffects();
        for (const StartOrder &start : effects.starts_) {
            running.emplace(now + 100, start);
        }
        for (const Notice &notice : effects.notices_) {
            told[notice.job_].after_ = now - told[notice.job_].handedIn_;
            told[notice.job_].state_ = notice.state_;
        }
    }
    int inTime = 0;
    constexpr std::int64_t objective = 220;
    for (const auto &[id, job] : told) {
        BOOST_TEST(job.after_ >= 0);
        BOOST_TEST(job.after_ <= usefulObjectives * objective);
        const bool served = job.state_ == JobState::Completed && job.after_ <= objective;
        inTime += served ? 1 : 0;
        if (job.handedIn_ > burst + objective) {
            BOOST_TEST(served);
        }
    }
    // The room bears 300 jobs of the burst, and all 180 after it.
    BOOST_TEST(inTime >= 430);
}

BOOST_AUTO_TEST_CASE(a_cancelled_durable_job_is_stored_and_its_runs_are_stopped)
{
    Bench bench;
    bench.add("a");
    bench.dispatcher_.addJob(testJob("j1", {testStep(2)}, false), bench.now_);
    bench.schedule();
    BOOST_TEST((bench.dispatcher_.cancel("j1", bench.now_) == CancelOutcome::Accepted));
    BOOST_TEST(bench.dispatcher_.takeEffects().stops_.size() == 2U);
    BOOST_TEST(bench.dispatcher_.takeWrites(10, bench.now_).size() == 1U);
    bench.dispatcher_.written("j1", 8, bench.now_);
    BOOST_TEST((bench.dispatcher_.cancel("j1", bench.now_) == CancelOutcome::AlreadyFinal));
    BOOST_TEST((bench.dispatcher_.cancel("j2", bench.now_) == CancelOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
