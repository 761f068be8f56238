// Tests jobs whose queue the operators remove.

#include "dispatcherfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

constexpr std::int64_t removedAt = 50;

CellConfig withoutUrgent()
{
    CellConfig config = testConfig();
    config.queues_.erase("urgent");
    config.revision_ = removedAt;
    return config;
}

// A job of two steps of one task each.
JobOffer jobOfTwoSteps(bool ephemeral, std::int64_t revision)
{
    Step second = testStep(1);
    second.after_ = {0};
    JobOffer offer = testJob("j", {testStep(1), second}, ephemeral);
    offer.record_.spec_.acceptedBy_ = testConfig().queues_.at("urgent");
    offer.revision_ = revision;
    return offer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_removed_queue)

// The second step of an accepted job was never started, and nobody was told.
BOOST_AUTO_TEST_CASE(accepted_job_is_carried_to_its_end)
{
    for (const bool ephemeral : {false, true}) {
        DispatcherFixture cell;
        cell.add("a1");
        cell.dispatcher_.addJob(jobOfTwoSteps(ephemeral, removedAt - 1), cell.now_);
        const DispatcherActions first = cell.schedule();
        BOOST_REQUIRE(first.starts_.size() == 1U);
        cell.dispatcher_.setConfig(withoutUrgent(), {});
        cell.finishRun(first.starts_[0]);
        const DispatcherActions second = cell.schedule();
        BOOST_REQUIRE(second.starts_.size() == 1U);
        BOOST_TEST(second.starts_[0].run_.task_.step_ == 1U);
    }
}

BOOST_FIXTURE_TEST_CASE(new_leader_knows_the_queue_from_the_record, DispatcherFixture)
{
    add("a1");
    dispatcher_.setConfig(withoutUrgent(), {});
    JobOffer stored = jobOfTwoSteps(false, removedAt - 1);
    stored.fresh_ = false;
    stored.record_ = parseRecord(formatRecord(stored.record_)).value();
    dispatcher_.addJob(stored, now_);
    BOOST_TEST(schedule().starts_.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(job_with_stored_progress_was_accepted_before, DispatcherFixture)
{
    add("a1");
    dispatcher_.setConfig(withoutUrgent(), {});
    JobOffer stored = jobOfTwoSteps(false, removedAt + 1);
    stored.fresh_ = false;
    stored.record_.progress_.state_ = JobState::Running;
    stored.record_.progress_.done_ = {true, false};
    dispatcher_.addJob(stored, now_);
    BOOST_TEST(schedule().starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(job_that_was_not_accepted_before_the_removal_is_not_started)
{
    for (const bool ephemeral : {false, true}) {
        DispatcherFixture cell;
        cell.add("a1");
        cell.dispatcher_.setConfig(withoutUrgent(), {});
        cell.dispatcher_.addJob(jobOfTwoSteps(ephemeral, removedAt + 1), cell.now_);
        BOOST_TEST(cell.schedule().starts_.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
