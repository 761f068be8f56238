// Tests when queues are contained and released.

#include <ibiswall/cell/containment.hpp>

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

constexpr int completionsToRelease = 32;

void crashRepeatedly(CrashContainment &containment, const std::set<std::string> &queues, std::int64_t interval)
{
    constexpr int crashes = 3;
    for (int i = 0; i < crashes; ++i) {
        containment.recordCrash(queues, {1000 + i * interval});
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(containment)

BOOST_AUTO_TEST_CASE(repeated_crashes_of_one_queue_contain_it)
{
    CrashContainment containment;
    crashRepeatedly(containment, {"q"}, 500);
    BOOST_TEST(containment.isContained("q"));
    BOOST_TEST(!containment.isContained("other"));
}

BOOST_AUTO_TEST_CASE(crashes_that_several_queues_may_have_caused_contain_none)
{
    CrashContainment containment;
    crashRepeatedly(containment, {"q", "r"}, 500);
    BOOST_TEST(containment.contained().empty());
}

BOOST_AUTO_TEST_CASE(queue_that_alone_may_have_caused_all_recent_crashes_is_contained)
{
    CrashContainment containment;
    containment.recordCrash({"q", "r"}, {1000});
    containment.recordCrash({"q", "s"}, {1500});
    containment.recordCrash({}, {1700});
    BOOST_TEST(containment.contained().empty());
    containment.recordCrash({"q", "r", "s"}, {2000});
    BOOST_TEST(containment.isContained("q"));
    BOOST_TEST(containment.contained().size() == 1U);
}

BOOST_AUTO_TEST_CASE(crashes_that_an_unknown_job_may_have_caused_contain_none)
{
    CrashContainment containment;
    crashRepeatedly(containment, {"q", CrashContainment::unknownQueue}, 500);
    crashRepeatedly(containment, {CrashContainment::unknownQueue}, 500);
    BOOST_TEST(containment.contained().empty());
}

BOOST_AUTO_TEST_CASE(crashes_of_many_targets_at_once_count_once)
{
    CrashContainment containment;
    crashRepeatedly(containment, {"q"}, 20);
    BOOST_TEST(containment.contained().empty());
}

BOOST_AUTO_TEST_CASE(rare_crashes_contain_nothing)
{
    CrashContainment containment;
    crashRepeatedly(containment, {"q"}, 2000);
    BOOST_TEST(containment.contained().empty());
}

BOOST_AUTO_TEST_CASE(second_crash_by_one_task_contains_its_queue_at_once)
{
    CrashContainment containment;
    containment.contain("q", {1000});
    BOOST_TEST(containment.isContained("q"));
}

BOOST_AUTO_TEST_CASE(queue_is_released_after_a_series_of_completed_jobs)
{
    CrashContainment containment;
    containment.contain("q", {1000});
    for (int i = 1; i < completionsToRelease; ++i) {
        containment.recordCompletion("q");
    }
    containment.update({1500});
    BOOST_TEST(containment.isContained("q"));
    containment.recordCrash({"q", "r"}, {1600});
    containment.recordCompletion("q");
    containment.update({1700});
    BOOST_TEST(containment.isContained("q"));
    for (int i = 1; i < completionsToRelease; ++i) {
        containment.recordCompletion("q");
    }
    containment.update({1800});
    BOOST_TEST(!containment.isContained("q"));
}

BOOST_AUTO_TEST_CASE(targets_run_more_jobs_at_a_time_the_longer_a_queue_does_no_harm)
{
    CrashContainment containment;
    containment.contain("q", {1000});
    BOOST_TEST(containment.jobsAtOnce("q") == 1U);
    for (int i = 0; i < 16; ++i) {
        containment.recordCompletion("q");
    }
    BOOST_TEST(containment.jobsAtOnce("q") == 3U);
    containment.recordCrash({"q"}, {2000});
    BOOST_TEST(containment.jobsAtOnce("q") == 1U);
}

BOOST_AUTO_TEST_CASE(queue_without_jobs_is_released_after_a_quiet_time)
{
    CrashContainment containment;
    containment.contain("q", {1000});
    containment.update({11000});
    BOOST_TEST(containment.isContained("q"));
    containment.update({11001});
    BOOST_TEST(!containment.isContained("q"));
}

BOOST_AUTO_TEST_CASE(contained_queues_get_a_quarter_of_the_targets_or_half_of_underused_ones)
{
    BOOST_TEST(containedTargets(11, 0, 0.7) == 3U);
    BOOST_TEST(containedTargets(11, 6, 0.7) == 3U);
    BOOST_TEST(containedTargets(11, 0, 0.4) == 6U);
    BOOST_TEST(containedTargets(11, 5, 0.6) == 5U);
    BOOST_TEST(containedTargets(11, 0, 0.6) == 3U);
    BOOST_TEST(containedTargets(3, 0, 0.7) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
