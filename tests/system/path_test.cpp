// Tests the main operations with separate processes: jobs through either entry, and changes of failure domains.

#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

const Json noteKind = {{"op", "set-kind"}, {"name", "note"}, {"value", 1}, {"repeatable", false}, {"deadline_ms", 20000}};

std::size_t startsIn(const Cluster &cluster, const std::string &domain)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < cluster.targetNodes_.size(); ++i) {
        count += cluster.targetNodes_[i].domain_ == domain ? cluster.starts(i).size() : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(path)

BOOST_AUTO_TEST_CASE(either_entry_returns_every_task_result)
{
    Cluster cluster({});
    BOOST_TEST(cluster.planAndConfirm(0, noteKind).value("version", 0) == 1);
    await("the other entry accepts jobs of the kind", [&] { return cluster.submit(1, "note", 1).value("state", "") == "complete"; });
    for (const std::size_t entry : {0U, 1U}) {
        const Json answer = cluster.submit(entry, "note", 100);
        BOOST_TEST(answer.value("state", "") == "complete");
        BOOST_REQUIRE(answer["tasks"].size() == 100U);
        for (std::size_t i = 0; i < 100; ++i) {
            BOOST_TEST(answer["tasks"][i].value("answer", "") == "done: task " + std::to_string(i));
        }
    }
}

BOOST_AUTO_TEST_CASE(job_reaches_its_owner_through_the_other_entry)
{
    Cluster cluster({});
    cluster.planAndConfirm(0, noteKind);
    const std::string id = cluster.allocateId(0);
    const std::string body = R"({"kind":"note","tasks":["a","b"]})";
    const auto first = cluster.callAsMember(1, "PUT", "/v1/jobs/" + id, body);
    const auto second = cluster.callAsMember(0, "PUT", "/v1/jobs/" + id, body);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first.value().body_ == second.value().body_);
    std::size_t starts = 0;
    for (std::size_t i = 0; i < cluster.targetNodes_.size(); ++i) {
        starts += cluster.starts(i).size();
    }
    BOOST_TEST(starts == 2U);
}

BOOST_AUTO_TEST_CASE(failure_domain_is_taken_out_and_restored)
{
    Cluster cluster({});
    cluster.planAndConfirm(0, noteKind);
    const Json out = {{"op", "domain-out"}, {"name", "fd-2"}};
    const Json accepted = cluster.planAndConfirm(0, out);
    BOOST_REQUIRE(accepted.value("version", 0) == 2);
    // No task starts in the failure domain later than 3 s after the confirmation.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const std::size_t before = startsIn(cluster, "fd-2");
    BOOST_TEST(cluster.submit(1, "note", 200).value("state", "") == "complete");
    BOOST_TEST(startsIn(cluster, "fd-2") == before);
    BOOST_TEST(cluster.planAndConfirm(1, out).value("code", 0) == 505);
    cluster.planAndConfirm(1, {{"op", "domain-in"}, {"name", "fd-2"}});
    await("the failure domain receives tasks again", [&] {
        cluster.submit(0, "note", 50);
        return startsIn(cluster, "fd-2") > before;
    });
}

BOOST_AUTO_TEST_CASE(stale_confirmation_is_refused_with_the_intervening_change)
{
    Cluster cluster({});
    const Json first = {{"op", "domain-out"}, {"name", "fd-1"}};
    const Json second = {{"op", "domain-out"}, {"name", "fd-2"}};
    const Json plan = Json::parse(cluster.callAsOperator(0, "POST", "/v1/plan", second.dump()).value().body_);
    BOOST_REQUIRE(cluster.planAndConfirm(0, first).value("version", 0) == 1);
    const Json stale
        = {{"intent", second}, {"base_version", plan["base_version"]}, {"digest", plan["digest"]}, {"who", ""}, {"why", "test"}};
    const Json refused = Json::parse(cluster.callAsOperator(0, "POST", "/v1/confirm", stale.dump()).value().body_);
    BOOST_TEST(refused.value("code", 0) == 500);
    BOOST_TEST(refused.value("reason", "").find("version 1 by ops: domain-out fd-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(concurrent_confirmations_are_accepted_in_turn_or_refused)
{
    Cluster cluster({});
    const Json intents[] = {{{"op", "domain-out"}, {"name", "fd-1"}}, {{"op", "domain-out"}, {"name", "fd-2"}}};
    Json answers[2];
    std::thread concurrentCaller([&] { answers[0] = cluster.planAndConfirm(0, intents[0]); });
    answers[1] = cluster.planAndConfirm(1, intents[1]);
    concurrentCaller.join();
    for (const std::size_t i : {0U, 1U}) {
        // Both are accepted if one was confirmed before the other was planned.
        const int code = answers[i].value("code", 0);
        BOOST_TEST((code == 0 || code == 500 || code == 501));
        BOOST_TEST((code == 0 || answers[i].value("reason", "").find("ops") != std::string::npos));
    }
    std::size_t accepted = 0;
    for (const Json &answer : answers) {
        accepted += answer.contains("version") ? 1 : 0;
    }
    BOOST_TEST(accepted >= 1U);
    for (const std::size_t entry : {0U, 1U}) {
        await("the entry has every accepted change", [&] {
            const Json audit = Json::parse(cluster.callAsOperator(entry, "GET", "/v1/audit?after=0").value().body_);
            return audit["changes"].size() == accepted;
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
