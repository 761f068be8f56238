// The same job submitted again: through either entry, before, during and after the first one's end,
// by another member, and after its home died.

#include "truth.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasks = 60;
constexpr Millis deadline{20000};

ClusterShape slowShape()
{
    ClusterShape shape;
    shape.runMillis_ = 100;
    shape.slots_ = 2;
    return shape;
}

// Submits the same id through both entries from several threads at once.
std::vector<std::string> submitFromEverywhere(const Cluster &cluster, const std::string &id, std::size_t callers)
{
    std::vector<std::string> bodies(callers);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] { bodies[i] = cluster.callAsMember(i % 2, "PUT", "/v1/jobs/" + id, jobBody(tasks)).value().body_; });
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

BOOST_AUTO_TEST_CASE(every_submission_of_an_id_gets_the_same_answer_and_tasks_start_once)
{
    const Cluster cluster(slowShape());
    setNoteKind(cluster, deadline);
    const std::string id = cluster.takeId(0);
    std::vector<std::string> bodies = submitFromEverywhere(cluster, id, 8);
    const std::vector<std::string> later = submitFromEverywhere(cluster, id, 4);
    bodies.insert(bodies.end(), later.begin(), later.end());
    bodies.push_back(cluster.callAsMember(1, "GET", "/v1/jobs/" + id).value().body_);
    for (const std::string &body : bodies) {
        BOOST_TEST(body == bodies.front());
    }
    const Verdict verdict = judge({Json::parse(bodies.front())}, tasks, allStarts(cluster));
    BOOST_TEST(verdict.done_ == tasks, describe(verdict));
    BOOST_TEST(verdict.lies_.empty(), describe(verdict));
    BOOST_TEST(startedTwice(allStarts(cluster)).empty());
}

BOOST_AUTO_TEST_CASE(another_member_gets_nothing_of_a_job)
{
    const Cluster cluster(slowShape());
    setNoteKind(cluster, deadline);
    const std::string path = "/v1/jobs/" + cluster.takeId(0);
    std::thread owner([&] { cluster.callAsMember(0, "PUT", path, jobBody(tasks)).value(); });
    await("the job started", [&] { return allStarts(cluster).size() > 2; });
    for (const char *method : {"GET", "PUT", "DELETE"}) {
        for (const std::size_t entry : {0U, 1U}) {
            const HttpResponse during = cluster.callAsRival(entry, method, path, jobBody(tasks)).value();
            BOOST_TEST(during.status_ == 404);
            BOOST_TEST(during.body_.find("done") == std::string::npos);
        }
    }
    owner.join();
    const HttpResponse after = cluster.callAsRival(1, "GET", path).value();
    BOOST_TEST(after.status_ == 404);
    BOOST_TEST(after.body_.find("done") == std::string::npos);
    const Json whole = Json::parse(cluster.callAsMember(0, "GET", path).value().body_);
    BOOST_TEST(whole.value("state", "") == "complete");
}

BOOST_AUTO_TEST_CASE(no_task_starts_again_after_the_home_died)
{
    Cluster cluster(slowShape());
    setNoteKind(cluster, deadline);
    const std::string path = "/v1/jobs/" + cluster.takeId(0);
    std::thread owner([&] { BOOST_TEST(cluster.callAsMember(0, "PUT", path, jobBody(tasks)).has_error()); });
    await("the job started", [&] { return allStarts(cluster).size() > 4; });
    cluster.entries_[0].process_->kill();
    owner.join();
    await("the other entry noticed", [&] { return codeOf(cluster.callAsMember(1, "PUT", path, jobBody(tasks))) == 303; });
    cluster.startEntry(0);
    cluster.awaitAgents(cluster.places_.size());
    await("the other entry knows the new incarnation", [&] { return codeOf(cluster.callAsMember(1, "PUT", path, jobBody(tasks))) == 301; });
    BOOST_TEST(codeOf(cluster.callAsMember(0, "PUT", path, jobBody(tasks))) == 301);
    const std::size_t before = allStarts(cluster).size();
    BOOST_TEST(codeOf(cluster.callAsMember(0, "PUT", path, jobBody(tasks))) == 301);
    BOOST_TEST(cluster.submit(1, "note", 1).value("state", "") == "complete");
    BOOST_TEST(allStarts(cluster).size() == before + 1);
    BOOST_TEST(startedTwice(allStarts(cluster)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
