// A wave of cancellations: every job is answered whole, and nothing that was not run has started.

#include "truth.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasks = 50;
constexpr std::size_t jobs = 30;
constexpr Millis deadline{60000};

} // namespace

BOOST_AUTO_TEST_SUITE(cancellations)

BOOST_AUTO_TEST_CASE(wave_over_queued_jobs)
{
    ClusterShape shape;
    shape.targets_ = 3;
    shape.slots_ = 2;
    shape.runMillis_ = 200;
    const Cluster cluster(shape);
    setNoteKind(cluster, deadline);
    std::vector<Json> answers(jobs);
    std::vector<std::thread> callers;
    std::vector<std::string> paths;
    for (std::size_t i = 0; i < jobs; ++i) {
        paths.push_back("/v1/jobs/" + cluster.takeId(i % 2));
    }
    for (std::size_t i = 0; i < jobs; ++i) {
        callers.emplace_back(
            [&, i] { answers[i] = Json::parse(cluster.callAsMember(i % 2, "PUT", paths[i], jobBody(tasks)).value().body_); });
    }
    await("work began", [&] { return allStarts(cluster).size() > 20; });
    std::vector<std::string> replies(jobs);
    for (std::size_t i = 0; i < jobs; ++i) {
        // Through the entry that is not the job's home.
        callers.emplace_back([&, i] { replies[i] = cluster.callAsMember((i + 1) % 2, "DELETE", paths[i]).value().body_; });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const std::vector<Start> starts = allStarts(cluster);
    const Verdict verdict = judge(answers, tasks, starts);
    BOOST_TEST_MESSAGE(describe(verdict));
    BOOST_TEST(verdict.lies_.empty(), describe(verdict));
    BOOST_TEST(verdict.notRun_ > 0U, describe(verdict));
    BOOST_TEST(verdict.mayHaveRun_ == 0U, describe(verdict));
    BOOST_TEST(verdict.done_ + verdict.notRun_ == jobs * tasks, describe(verdict));
    for (std::size_t i = 0; i < jobs; ++i) {
        BOOST_TEST(Json::parse(replies[i]) == answers[i]);
    }
    BOOST_TEST(startedTwice(starts).empty());
    BOOST_TEST(cluster.submit(0, "note", 1).value("state", "") == "complete");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
