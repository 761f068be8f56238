// Tests that no result stays unacknowledged, whatever becomes of its job at a dispatcher that takes over.

#include "dispatcherfixture.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::cell {

namespace {

// A dispatcher that takes over while a target lists the result of a run that the former dispatcher had ordered.
struct TakeoverFixture : DispatcherFixture
{
    TakeoverFixture()
        : DispatcherFixture(false)
    {
    }

    void report(bool done)
    {
        const std::vector<RunResult> results{{1, {{"j1", 0, 0}, 5}, done ? RunOutcome::Done : RunOutcome::Stopped, {}}};
        dispatcher_.applyFullReport("a", testTarget("t-a"), 1, {}, results, now_);
    }

    void read(JobState state)
    {
        JobOffer stored = testJob("j1", {testStep(1)}, false);
        stored.fresh_ = false;
        stored.origin_.clear();
        stored.record_.progress_.state_ = state;
        dispatcher_.addJob(stored, now_);
    }

    /// Stores what is due, and returns up to which number the results have been acknowledged.
    std::uint64_t settle()
    {
        dispatcher_.markReconciled(now_);
        now_ = now_ + Millis{5000};
        for (const JobWrite &write : dispatcher_.takeWrites(10, now_)) {
            dispatcher_.onWritten(write.job_, write.expectedRevision_ + 1, now_);
        }
        std::uint64_t through = 0;
        for (const AckOrder &ack : dispatcher_.takeActions().acks_) {
            through = std::max(through, ack.through_);
        }
        return through;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_unacknowledged)

// The results of jobs that had ended before the takeover were never acknowledged if they were reported before the job was read, so targets
// listed no later ones and got no more starts.
BOOST_AUTO_TEST_CASE(result_is_acknowledged_in_every_state_of_its_job_and_in_both_orders_of_report_and_read)
{
    for (const JobState state :
         {JobState::Pending, JobState::Running, JobState::Completed, JobState::Failed, JobState::Cancelled, JobState::Withdrawn}) {
        for (const bool done : {true, false}) {
            for (const bool reportFirst : {true, false}) {
                TakeoverFixture fixture;
                if (reportFirst) {
                    fixture.report(done);
                }
                fixture.read(state);
                if (!reportFirst) {
                    fixture.report(done);
                }
                BOOST_TEST(fixture.settle() == 1U,
                           "state " << static_cast<int>(state) << (done ? ", done" : ", stopped")
                                    << (reportFirst ? ", reported first" : ""));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(result_is_acknowledged_if_the_store_lacks_its_job)
{
    for (const bool withdrawn : {true, false}) {
        TakeoverFixture fixture;
        fixture.report(true);
        if (withdrawn) {
            fixture.dispatcher_.withdraw("j1", 40, fixture.now_);
        } else {
            fixture.dispatcher_.discardUnknownJob("j1");
        }
        BOOST_TEST(fixture.settle() == 1U);
    }
}

// The entry offers the job again after a loss of the leader, and it is refused for want of memory.
BOOST_AUTO_TEST_CASE(result_is_acknowledged_if_its_ephemeral_job_is_refused)
{
    TakeoverFixture fixture;
    fixture.dispatcher_.setJobBudget(std::make_shared<Budget>(1));
    fixture.report(true);
    fixture.dispatcher_.addJob(testJob("j1", {testStep(1)}), fixture.now_);
    BOOST_TEST(fixture.settle() == 1U);
}

BOOST_AUTO_TEST_CASE(run_of_a_job_that_has_ended_is_stopped_in_both_orders_of_report_and_read)
{
    for (const bool reportFirst : {true, false}) {
        TakeoverFixture fixture;
        const std::vector<Run> running{{{"j1", 0, 0}, 5}};
        if (!reportFirst) {
            fixture.read(JobState::Cancelled);
        }
        fixture.dispatcher_.applyFullReport("a", testTarget("t-a"), 1, running, {}, fixture.now_);
        if (reportFirst) {
            fixture.read(JobState::Cancelled);
        }
        BOOST_TEST(fixture.dispatcher_.takeActions().stops_.size() == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
