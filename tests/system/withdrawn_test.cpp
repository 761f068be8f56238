// Tests cancels of jobs whose submission is still on its way to the store.

#include "cell.hpp"
#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr int accepted = 200;
constexpr int gone = 410;
constexpr int refused = 503;
constexpr Millis acceptTimeout{20000};
constexpr Millis callTimeout{1000};

// A cell in which the path of the entry that does not lead to the store is cut while it stores a job.
struct CutSubmission
{
    CutSubmission()
        : cell_(makeConfig())
    {
        cell_.awaitReady();
        leader_ = cell_.leader();
        other_ = 1 - leader_;
        // Delays what the entry sends, so its transactions reach the store when the path is restored.
        path().freeze(Direction::ToServer);
        BOOST_REQUIRE(cell_.submitOnce(other_, job_, callTimeout) == 0);
    }

    static CellConfig makeConfig()
    {
        CellConfig config;
        config.useStoreRelays_ = true;
        return config;
    }

    Relay &path()
    {
        return *cell_.entries()[other_].storePath_;
    }

    int cancel(std::size_t entry) const
    {
        const auto answer = cell_.call(entry, "DELETE", job_);
        return answer ? answer.value().status_ : 0;
    }

    bool hasRefused(const char *reason) const
    {
        return cell_.metrics(other_).find(std::string("ibiswall_refusals_total{reason=\"") + reason + "\"}") != std::string::npos;
    }

    void checkNeverRuns() const
    {
        BOOST_TEST(cell_.starts(job_) == 0U);
        const auto answer = cell_.call(leader_, "GET", job_);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer.value().status_ == gone);
    }

    std::string job_ = jobId(1);
    Cell cell_;
    std::size_t leader_ = 0;
    std::size_t other_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(withdrawn)

// A job whose cancel was answered with 410 was stored and run once the store answered its entry again.
BOOST_AUTO_TEST_CASE(job_that_is_cancelled_while_its_entry_stores_it_is_not_run)
{
    for (const bool sameEntry : {true, false}) {
        CutSubmission scenario;
        BOOST_REQUIRE(scenario.cancel(sameEntry ? scenario.other_ : scenario.leader_) == gone);
        scenario.path().unfreeze();
        await("the submission has an outcome",
              [&] { return scenario.hasRefused("withdrawn") || scenario.cell_.starts(scenario.job_) > 0; });
        scenario.checkNeverRuns();
        // The id may be used again later, so a submission is refused as not run rather than taken for the cancelled one.
        BOOST_TEST(scenario.cell_.submitOnce(scenario.leader_, scenario.job_, callTimeout) == refused);
    }
}

// The same after the entry had ended: its transaction reached the store after the cancel.
BOOST_AUTO_TEST_CASE(job_that_is_cancelled_is_not_run_if_its_entry_was_killed)
{
    CutSubmission scenario;
    scenario.cell_.entries()[scenario.other_].process_->kill();
    BOOST_REQUIRE(scenario.cancel(scenario.leader_) == gone);
    const std::string key = "ibiswall/jobs/" + scenario.job_;
    const int writes = scenario.cell_.writesOf(key);
    scenario.path().unfreeze();
    await("the transaction of the killed entry reaches the store", [&] { return scenario.cell_.writesOf(key) > writes; });
    scenario.cell_.startEntry(scenario.other_);
    BOOST_REQUIRE(scenario.cell_.submit(jobId(2), 1, 1, false, acceptTimeout).status_ == accepted);
    scenario.checkNeverRuns();
}

// Entries went on storing a job for as long as the store did not answer, so its record could come after that of its cancel had expired.
BOOST_AUTO_TEST_CASE(submission_that_has_no_outcome_for_long_is_not_stored_any_more)
{
    // Longer than an entry sends transactions for a submission.
    constexpr std::chrono::seconds outage(16);
    CutSubmission scenario;
    scenario.path().disconnect();
    scenario.path().unfreeze();
    std::this_thread::sleep_for(outage);
    scenario.path().allowConnections();
    await("the submission has an outcome",
          [&] { return scenario.hasRefused("store_refused") || scenario.cell_.starts(scenario.job_) > 0; });
    scenario.checkNeverRuns();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
