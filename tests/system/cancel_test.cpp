// Cancels many queued jobs at once: every job must get an outcome for each task, and no task reported as not run may have started.

#include "outcomecheck.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasksPerJob = 50;
constexpr std::size_t jobCount = 30;
constexpr Millis deadline{60000};

} // namespace

BOOST_AUTO_TEST_SUITE(cancellations)

BOOST_AUTO_TEST_CASE(cancels_many_queued_jobs)
{
    ClusterConfig config;
    config.targets_ = 3;
    config.slots_ = 2;
    config.runMillis_ = 200;
    const Cluster cluster(config);
    setNoteKind(cluster, deadline);
    std::vector<Json> answers(jobCount);
    std::vector<std::thread> callers;
    std::vector<std::string> paths;
    for (std::size_t i = 0; i < jobCount; ++i) {
        paths.push_back("/v1/jobs/" + cluster.allocateId(i % 2));
    }
    for (std::size_t i = 0; i < jobCount; ++i) {
        callers.emplace_back(
            [&, i] { answers[i] = Json::parse(cluster.callAsMember(i % 2, "PUT", paths[i], jobBody(tasksPerJob)).value().body_); });
    }
    await("tasks have started", [&] { return allStarts(cluster).size() > 20; });
    std::vector<std::string> replies(jobCount);
    for (std::size_t i = 0; i < jobCount; ++i) {
        // Cancels through the entry that does not own the job.
        callers.emplace_back([&, i] { replies[i] = cluster.callAsMember((i + 1) % 2, "DELETE", paths[i]).value().body_; });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const std::vector<Start> starts = allStarts(cluster);
    const OutcomeSummary summary = compareWithRecords(answers, tasksPerJob, starts);
    BOOST_TEST_MESSAGE(describe(summary));
    BOOST_TEST(summary.contradictions_.empty(), describe(summary));
    BOOST_TEST(summary.notRun_ > 0U, describe(summary));
    BOOST_TEST(summary.mayHaveRun_ == 0U, describe(summary));
    BOOST_TEST(summary.done_ + summary.notRun_ == jobCount * tasksPerJob, describe(summary));
    for (std::size_t i = 0; i < jobCount; ++i) {
        BOOST_TEST(Json::parse(replies[i]) == answers[i]);
    }
    BOOST_TEST(tasksStartedTwice(starts).empty());
    BOOST_TEST(cluster.submit(0, "note", 1).value("state", "") == "complete");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
