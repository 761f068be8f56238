// Tests when a target counts as stalled, and that tasks stopped on it run once at a time.

#include "dispatcherfixture.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

/// Five targets with eight places; runs of 100 ms are overdue after 363 ms (exp(2 x 0.57) times as long, and 50 ms).
struct StallFixture : DispatcherFixture
{
    StallFixture()
    {
        SchedulingSettings settings;
        settings.placeByEnd_ = true;
        dispatcher_.setScheduling(settings);
        for (const char *agent : {"a", "b", "c", "d", "e"}) {
            add(agent);
        }
        pass(Millis{300});
    }

    // Places the tasks of a job, on one target if it has a label that no other has.
    std::vector<StartOrder> start(const std::string &job, std::uint32_t tasks, bool ephemeral = true)
    {
        dispatcher_.addJob(testJob(job, {testStep(tasks)}, ephemeral), now_);
        DispatcherActions actions = schedule();
        changes_.insert(changes_.end(), actions.stalls_.begin(), actions.stalls_.end());
        return std::move(actions.starts_);
    }

    void pass(Millis time)
    {
        for (const Millis end = now_ + time; now_ < end; now_ = now_ + Millis{10}) {
            DispatcherActions actions = schedule();
            stops_.insert(stops_.end(), actions.stops_.begin(), actions.stops_.end());
            starts_.insert(starts_.end(), actions.starts_.begin(), actions.starts_.end());
            changes_.insert(changes_.end(), actions.stalls_.begin(), actions.stalls_.end());
        }
    }

    // Starts tasks of which those on one agent's target hang.
    std::vector<StartOrder> hang(const std::string &agent, std::uint32_t tasks)
    {
        std::vector<StartOrder> hanging;
        for (const StartOrder &each : start("job", tasks)) {
            if (each.agent_ == agent) {
                hanging.push_back(each);
            } else {
                finishRun(each);
            }
        }
        return hanging;
    }

    std::size_t countChanges(StallChange::Kind kind) const
    {
        return static_cast<std::size_t>(
            std::count_if(changes_.begin(), changes_.end(), [kind](const StallChange &each) { return each.kind_ == kind; }));
    }

    std::vector<StopOrder> stops_;
    std::vector<StartOrder> starts_;
    std::vector<StallChange> changes_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stalls)

// 3 % of tasks are seven times as long as estimated.
BOOST_AUTO_TEST_CASE(target_with_one_long_task_keeps_its_starts)
{
    StallFixture fixture;
    const std::vector<StartOrder> hanging = fixture.hang("a", 5);
    BOOST_TEST(hanging.size() == 1U);
    fixture.pass({700});
    BOOST_TEST(fixture.stops_.empty());
    BOOST_TEST(fixture.changes_.empty());
    const std::vector<StartOrder> starts = fixture.start("next", 20);
    BOOST_TEST(std::any_of(starts.begin(), starts.end(), [](const StartOrder &each) { return each.agent_ == "a"; }));
}

// A target that hung was given a start whenever it seemed to have room, and callers waited for its tasks until they gave up.
BOOST_AUTO_TEST_CASE(tasks_on_a_stalled_target_run_elsewhere_after_their_end_is_certain)
{
    StallFixture fixture;
    const std::vector<StartOrder> hanging = fixture.hang("a", 10);
    BOOST_TEST(hanging.size() == 2U);
    fixture.pass({400});
    BOOST_TEST(fixture.countChanges(StallChange::Kind::Stalled) == 1U);
    BOOST_TEST(fixture.stops_.size() == 2U);
    // Not while the target has not listed how the runs ended.
    fixture.pass({200});
    BOOST_TEST(fixture.starts_.empty());
    BOOST_TEST(fixture.stops_.size() == 2U);
    for (const StartOrder &each : hanging) {
        fixture.finishRun(each, RunOutcome::Stopped);
    }
    fixture.pass({10});
    BOOST_TEST(fixture.starts_.size() == 2U);
    for (const StartOrder &each : fixture.starts_) {
        BOOST_TEST(each.agent_ != "a");
    }
}

BOOST_AUTO_TEST_CASE(stalled_target_is_tried_with_one_task_and_used_again_after_it_succeeded)
{
    StallFixture fixture;
    for (const StartOrder &each : fixture.hang("a", 10)) {
        fixture.pass({400});
        fixture.finishRun(each, RunOutcome::Stopped);
    }
    fixture.pass({200});
    const auto startsOnA = [&fixture](const std::string &job) {
        std::vector<StartOrder> starts = fixture.start(job, 20);
        starts.erase(std::remove_if(starts.begin(), starts.end(), [](const StartOrder &each) { return each.agent_ != "a"; }), starts.end());
        return starts;
    };
    const std::vector<StartOrder> probe = startsOnA("second");
    BOOST_TEST(probe.size() == 1U);
    BOOST_TEST(startsOnA("third").empty());
    fixture.now_ = fixture.now_ + Millis{100};
    fixture.finishRun(probe.front());
    BOOST_TEST(startsOnA("fourth").size() > 1U);
}

// A probe whose caller gives up reports no end. The target must still be tried again.
BOOST_AUTO_TEST_CASE(abandoned_probe_is_followed_by_another)
{
    StallFixture fixture;
    for (const StartOrder &each : fixture.hang("a", 10)) {
        fixture.pass({400});
        fixture.finishRun(each, RunOutcome::Stopped);
    }
    fixture.pass({200});
    fixture.start("second", 24);
    BOOST_TEST(fixture.countChanges(StallChange::Kind::Probed) == 1U);
    fixture.dispatcher_.abandon("second", "entry-1", fixture.now_);
    fixture.pass({1000});
    fixture.start("third", 24);
    BOOST_TEST(fixture.countChanges(StallChange::Kind::Probed) == 2U);
}

// Bounds the work that is thrown away.
BOOST_AUTO_TEST_CASE(task_is_stopped_twice_at_most)
{
    StallFixture fixture;
    std::vector<StartOrder> open = fixture.start("job", 10, false);
    for (int i = 0; i < 10; ++i) {
        fixture.pass({400});
        for (const StopOrder &stop : std::exchange(fixture.stops_, {})) {
            fixture.finishRun({stop.agent_, stop.run_, {}, {}, false}, RunOutcome::Stopped);
        }
    }
    std::map<TaskId, int> starts;
    for (const StartOrder &each : fixture.starts_) {
        ++starts[each.run_.task_];
    }
    BOOST_TEST(std::all_of(starts.begin(), starts.end(), [](const auto &each) { return each.second <= 2; }));
}

// A leader that got no processor time finds all runs overdue and their reports unread.
BOOST_AUTO_TEST_CASE(dispatcher_that_was_suspended_blames_no_target)
{
    StallFixture fixture;
    const std::vector<StartOrder> open = fixture.start("job", 10);
    fixture.now_ = fixture.now_ + Millis{2000};
    fixture.pass({20});
    for (const StartOrder &each : open) {
        fixture.finishRun(each);
    }
    fixture.pass({500});
    BOOST_TEST(fixture.changes_.empty());
}

// If all targets seem to stall, the cause is elsewhere, and there is no better place for their tasks.
BOOST_AUTO_TEST_CASE(one_of_five_targets_is_taken_out_of_use_at_most)
{
    StallFixture fixture;
    fixture.start("job", 20);
    fixture.pass({1000});
    BOOST_TEST(fixture.countChanges(StallChange::Kind::Stalled) == 1U);
}

BOOST_AUTO_TEST_CASE(without_the_setting_no_target_is_stalled)
{
    StallFixture fixture;
    fixture.dispatcher_.setScheduling({});
    fixture.hang("a", 10);
    fixture.pass({2000});
    BOOST_TEST(fixture.changes_.empty());
    BOOST_TEST(fixture.stops_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
