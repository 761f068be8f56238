// Planned stops under load: a target or an entry leaves without interrupting a request in flight.

#include "loadgenerator.hpp"
#include "outcomecheck.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasksPerJob = 20;
constexpr std::size_t callerCount = 4;
constexpr Millis deadline{20000};
// Guaranteed limit between the signal or the answer to the confirmation and the last start on the target.
constexpr Millis maxStartDelay{3000};
constexpr std::chrono::milliseconds longerThanMaxStartDelay(4500);
constexpr std::size_t leavingTarget = 0;

ClusterConfig makeConfig(std::int64_t runMillis)
{
    ClusterConfig config;
    config.targets_ = 3;
    config.slots_ = 4;
    config.runMillis_ = runMillis;
    return config;
}

void checkAllTasksDone(const Cluster &cluster, const std::vector<Json> &answers)
{
    const std::vector<Start> starts = allStarts(cluster);
    const OutcomeSummary summary = compareWithRecords(answers, tasksPerJob, starts);
    BOOST_TEST_MESSAGE(describe(summary));
    BOOST_TEST(summary.contradictions_.empty(), describe(summary));
    BOOST_TEST(summary.mayHaveRun_ == 0U, describe(summary));
    BOOST_TEST(summary.failed_ == 0U, describe(summary));
    BOOST_TEST(summary.notRun_ == 0U, describe(summary));
    BOOST_TEST(summary.done_ > 0U, describe(summary));
    BOOST_TEST(tasksStartedTwice(starts).empty());
}

int healthStatus(const Cluster &cluster, std::size_t entry)
{
    const auto answer = cluster.callAsMember(entry, "GET", "/healthz");
    return answer.has_value() ? answer.value().status_ : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving)

BOOST_AUTO_TEST_CASE(agent_stops_under_load)
{
    Cluster cluster(makeConfig(200));
    setNoteKind(cluster, deadline);
    LoadGenerator generator(cluster, callerCount, tasksPerJob);
    await("the target has started tasks", [&] { return cluster.starts(leavingTarget).size() > 8; });
    cluster.targetNodes_[leavingTarget].agent_->signal(SIGTERM);
    const Millis signaledAt = bootClock();
    BOOST_TEST(cluster.targetNodes_[leavingTarget].agent_->wait() == 0);
    std::this_thread::sleep_for(longerThanMaxStartDelay);
    checkAllTasksDone(cluster, generator.finish());
    BOOST_TEST(generator.unanswered() == 0U);
    BOOST_TEST(countStartsAfter(allStarts(cluster), leavingTarget, signaledAt + maxStartDelay) == 0U);
}

BOOST_AUTO_TEST_CASE(target_taken_out_under_load)
{
    const Cluster cluster(makeConfig(200));
    setNoteKind(cluster, deadline);
    LoadGenerator generator(cluster, callerCount, tasksPerJob);
    await("the target has started tasks", [&] { return cluster.starts(leavingTarget).size() > 8; });
    const Json accepted = cluster.planAndConfirm(1, {{"op", "target-out"}, {"name", cluster.targetNodes_[leavingTarget].name_}});
    const Millis confirmed = bootClock();
    BOOST_TEST(accepted.contains("version"), accepted.dump());
    std::this_thread::sleep_for(longerThanMaxStartDelay);
    checkAllTasksDone(cluster, generator.finish());
    BOOST_TEST(generator.unanswered() == 0U);
    BOOST_TEST(countStartsAfter(allStarts(cluster), leavingTarget, confirmed + maxStartDelay) == 0U);
}

BOOST_AUTO_TEST_CASE(entry_answers_open_jobs_before_it_stops)
{
    Cluster cluster(makeConfig(1000));
    setNoteKind(cluster, deadline);
    Json answer;
    std::thread submitter([&] { answer = cluster.submit(0, "note", tasksPerJob); });
    await("the job started", [&] { return allStarts(cluster).size() > 4; });
    cluster.entries_[0].process_->signal(SIGTERM);
    await("the health check fails while the job is in flight", [&] { return healthStatus(cluster, 0) == 503; });
    BOOST_TEST(healthStatus(cluster, 1) == 200);
    BOOST_TEST(cluster.entries_[0].process_->wait() == 0);
    submitter.join();
    BOOST_TEST(answer.value("state", "") == "complete", answer.dump());
    checkAllTasksDone(cluster, {answer});
}

BOOST_AUTO_TEST_CASE(second_signal_abandons_requests_and_logs_their_number)
{
    Cluster cluster(makeConfig(5000));
    setNoteKind(cluster, deadline);
    const std::string path = "/v1/jobs/" + cluster.allocateId(0);
    std::thread submitter([&] { BOOST_TEST(cluster.callAsMember(0, "PUT", path, jobBody(1)).has_error()); });
    const std::size_t before = allStarts(cluster).size();
    await("the job started", [&] { return allStarts(cluster).size() > before; });
    cluster.entries_[0].process_->signal(SIGTERM);
    await("the health check fails", [&] { return healthStatus(cluster, 0) == 503; });
    cluster.entries_[0].process_->signal(SIGTERM);
    BOOST_TEST(cluster.entries_[0].process_->wait() == 1);
    submitter.join();
    BOOST_TEST(cluster.readLog(0).find("abandoned 1 request") != std::string::npos, cluster.readLog(0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
