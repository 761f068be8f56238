// Submits the same job id repeatedly: through both entries, while the job runs and after it ended,
// as another member, and after the owner was killed.

#include "outcomecheck.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasksPerJob = 60;
constexpr Millis deadline{20000};

ClusterConfig slowConfig()
{
    ClusterConfig config;
    config.runMillis_ = 100;
    config.slots_ = 2;
    return config;
}

// Submits the same id through both entries from several threads concurrently.
std::vector<std::string> submitThroughBothEntries(const Cluster &cluster, const std::string &id, std::size_t callers)
{
    std::vector<std::string> bodies(callers);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back(
            [&, i] { bodies[i] = cluster.callAsMember(i % 2, "PUT", "/v1/jobs/" + id, jobBody(tasksPerJob)).value().body_; });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return bodies;
}

int codeOf(const Result<HttpResponse> &answer)
{
    return Json::parse(answer.value().body_).value("code", 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(duplicates)

BOOST_AUTO_TEST_CASE(repeated_submissions_get_the_same_answer_and_start_tasks_once)
{
    const Cluster cluster(slowConfig());
    setNoteKind(cluster, deadline);
    const std::string id = cluster.allocateId(0);
    std::vector<std::string> bodies = submitThroughBothEntries(cluster, id, 8);
    const std::vector<std::string> later = submitThroughBothEntries(cluster, id, 4);
    bodies.insert(bodies.end(), later.begin(), later.end());
    bodies.push_back(cluster.callAsMember(1, "GET", "/v1/jobs/" + id).value().body_);
    for (const std::string &body : bodies) {
        BOOST_TEST(body == bodies.front());
    }
    const OutcomeSummary summary = compareWithRecords({Json::parse(bodies.front())}, tasksPerJob, allStarts(cluster));
    BOOST_TEST(summary.done_ == tasksPerJob, describe(summary));
    BOOST_TEST(summary.contradictions_.empty(), describe(summary));
    BOOST_TEST(tasksStartedTwice(allStarts(cluster)).empty());
}

BOOST_AUTO_TEST_CASE(other_members_cannot_access_a_job)
{
    const Cluster cluster(slowConfig());
    setNoteKind(cluster, deadline);
    const std::string path = "/v1/jobs/" + cluster.allocateId(0);
    std::thread submitter([&] { cluster.callAsMember(0, "PUT", path, jobBody(tasksPerJob)).value(); });
    await("the job started", [&] { return allStarts(cluster).size() > 2; });
    for (const char *method : {"GET", "PUT", "DELETE"}) {
        for (const std::size_t entry : {0U, 1U}) {
            const HttpResponse during = cluster.callAsOtherMember(entry, method, path, jobBody(tasksPerJob)).value();
            BOOST_TEST(during.status_ == 404);
            BOOST_TEST(during.body_.find("done") == std::string::npos);
        }
    }
    submitter.join();
    const HttpResponse after = cluster.callAsOtherMember(1, "GET", path).value();
    BOOST_TEST(after.status_ == 404);
    BOOST_TEST(after.body_.find("done") == std::string::npos);
    const Json whole = Json::parse(cluster.callAsMember(0, "GET", path).value().body_);
    BOOST_TEST(whole.value("state", "") == "complete");
}

BOOST_AUTO_TEST_CASE(no_task_restarts_after_the_owner_is_killed)
{
    Cluster cluster(slowConfig());
    setNoteKind(cluster, deadline);
    const std::string path = "/v1/jobs/" + cluster.allocateId(0);
    std::thread submitter([&] { BOOST_TEST(cluster.callAsMember(0, "PUT", path, jobBody(tasksPerJob)).has_error()); });
    await("the job started", [&] { return allStarts(cluster).size() > 4; });
    cluster.entries_[0].process_->kill();
    submitter.join();
    await("the other entry detects the loss of the owner",
          [&] { return codeOf(cluster.callAsMember(1, "PUT", path, jobBody(tasksPerJob))) == 303; });
    cluster.startEntry(0);
    cluster.awaitAgents(cluster.targetNodes_.size());
    await("the other entry detects the new incarnation",
          [&] { return codeOf(cluster.callAsMember(1, "PUT", path, jobBody(tasksPerJob))) == 301; });
    BOOST_TEST(codeOf(cluster.callAsMember(0, "PUT", path, jobBody(tasksPerJob))) == 301);
    const std::size_t before = allStarts(cluster).size();
    BOOST_TEST(codeOf(cluster.callAsMember(0, "PUT", path, jobBody(tasksPerJob))) == 301);
    BOOST_TEST(cluster.submit(1, "note", 1).value("state", "") == "complete");
    BOOST_TEST(allStarts(cluster).size() == before + 1);
    BOOST_TEST(tasksStartedTwice(allStarts(cluster)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
