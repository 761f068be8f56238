// Planned stops: a target or an entry leaves under load and no request in flight is cut.

#include "load.hpp"
#include "truth.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace ibiswall::system {

namespace {

constexpr std::size_t tasks = 20;
constexpr std::size_t callers = 4;
constexpr Millis deadline{20000};
constexpr Millis lastStart{3000};
constexpr std::chrono::milliseconds pastLastStart(4500);
constexpr std::size_t leaver = 0;

ClusterShape makeShape(std::int64_t runMillis)
{
    ClusterShape shape;
    shape.targets_ = 3;
    shape.slots_ = 4;
    shape.runMillis_ = runMillis;
    return shape;
}

void checkNothingCut(const Cluster &cluster, const std::vector<Json> &answers)
{
    const std::vector<Start> starts = allStarts(cluster);
    const Verdict verdict = judge(answers, tasks, starts);
    BOOST_TEST_MESSAGE(describe(verdict));
    BOOST_TEST(verdict.lies_.empty(), describe(verdict));
    BOOST_TEST(verdict.mayHaveRun_ == 0U, describe(verdict));
    BOOST_TEST(verdict.failed_ == 0U, describe(verdict));
    BOOST_TEST(verdict.notRun_ == 0U, describe(verdict));
    BOOST_TEST(verdict.done_ > 0U, describe(verdict));
    BOOST_TEST(startedTwice(starts).empty());
}

int health(const Cluster &cluster, std::size_t entry)
{
    const auto answer = cluster.callAsMember(entry, "GET", "/healthz");
    return answer.has_value() ? answer.value().status_ : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving)

BOOST_AUTO_TEST_CASE(agent_stops_under_load)
{
    Cluster cluster(makeShape(200));
    setNoteKind(cluster, deadline);
    Load load(cluster, callers, tasks);
    await("the target works", [&] { return cluster.starts(leaver).size() > 8; });
    cluster.places_[leaver].agent_->signal(SIGTERM);
    const Millis told = bootClock();
    BOOST_TEST(cluster.places_[leaver].agent_->wait() == 0);
    std::this_thread::sleep_for(pastLastStart);
    checkNothingCut(cluster, load.finish());
    BOOST_TEST(load.unanswered() == 0U);
    BOOST_TEST(startsAfter(allStarts(cluster), leaver, told + lastStart) == 0U);
}

BOOST_AUTO_TEST_CASE(target_taken_out_under_load)
{
    const Cluster cluster(makeShape(200));
    setNoteKind(cluster, deadline);
    Load load(cluster, callers, tasks);
    await("the target works", [&] { return cluster.starts(leaver).size() > 8; });
    const Json accepted = cluster.change(1, {{"op", "target-out"}, {"name", cluster.places_[leaver].name_}});
    const Millis confirmed = bootClock();
    BOOST_TEST(accepted.contains("version"), accepted.dump());
    std::this_thread::sleep_for(pastLastStart);
    checkNothingCut(cluster, load.finish());
    BOOST_TEST(load.unanswered() == 0U);
    BOOST_TEST(startsAfter(allStarts(cluster), leaver, confirmed + lastStart) == 0U);
}

BOOST_AUTO_TEST_CASE(entry_stops_and_answers_what_it_has)
{
    Cluster cluster(makeShape(1000));
    setNoteKind(cluster, deadline);
    Json answer;
    std::thread owner([&] { answer = cluster.submit(0, "note", tasks); });
    await("the job started", [&] { return allStarts(cluster).size() > 4; });
    cluster.entries_[0].process_->signal(SIGTERM);
    await("the health check fails while the job is in flight", [&] { return health(cluster, 0) == 503; });
    BOOST_TEST(health(cluster, 1) == 200);
    BOOST_TEST(cluster.entries_[0].process_->wait() == 0);
    owner.join();
    BOOST_TEST(answer.value("state", "") == "complete", answer.dump());
    checkNothingCut(cluster, {answer});
}

BOOST_AUTO_TEST_CASE(second_signal_abandons_and_says_what)
{
    Cluster cluster(makeShape(5000));
    setNoteKind(cluster, deadline);
    const std::string path = "/v1/jobs/" + cluster.takeId(0);
    std::thread owner([&] { BOOST_TEST(cluster.callAsMember(0, "PUT", path, jobBody(1)).has_error()); });
    const std::size_t before = allStarts(cluster).size();
    await("the job started", [&] { return allStarts(cluster).size() > before; });
    cluster.entries_[0].process_->signal(SIGTERM);
    await("the stop began", [&] { return health(cluster, 0) == 503; });
    cluster.entries_[0].process_->signal(SIGTERM);
    BOOST_TEST(cluster.entries_[0].process_->wait() == 1);
    owner.join();
    BOOST_TEST(cluster.logOf(0).find("abandoned 1 request") != std::string::npos, cluster.logOf(0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
