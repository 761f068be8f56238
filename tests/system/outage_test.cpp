// Tests entries and agents while the platform is down, unreachable for one entry, or loses answers.

#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <thread>

namespace ibiswall::system {

namespace {

// Longer than any lease that is based on a read of the platform.
constexpr std::chrono::seconds longerThanAnyLease(5);

const Json noteKind = {{"op", "set-kind"}, {"name", "note"}, {"value", 1}, {"repeatable", false}, {"deadline_ms", 3000}};
const Json domainOut = {{"op", "domain-out"}, {"name", "fd-2"}};

ClusterConfig threeEntries()
{
    ClusterConfig config;
    config.entries_ = 3;
    config.targets_ = 3;
    return config;
}

Json status(const Cluster &cluster, std::size_t entry)
{
    const auto answer = cluster.callAsOperator(entry, "GET", "/v1/status");
    return answer.has_value() ? Json::parse(answer.value().body_, nullptr, false) : Json::object();
}

void awaitVersion(const Cluster &cluster, std::uint64_t version)
{
    for (std::size_t i = 0; i < cluster.entries_.size(); ++i) {
        await("version " + std::to_string(version) + " has reached every entry",
              [&] { return status(cluster, i).value("version", 0U) == version; });
    }
}

void disconnectFromPlatform(Cluster &cluster, std::size_t entry)
{
    const auto file = cluster.entries_[entry].settingsFile_;
    std::ifstream in(file);
    Json settings = Json::parse(in, nullptr, true, true);
    settings["platform_addresses"] = {"127.0.0.1:" + std::to_string(freePort())};
    std::ofstream(file) << settings.dump(2);
    cluster.entries_[entry].process_.reset();
    cluster.startEntry(entry);
}

} // namespace

BOOST_AUTO_TEST_SUITE(outage)

BOOST_AUTO_TEST_CASE(serves_jobs_and_refuses_changes_without_the_platform)
{
    Cluster cluster(threeEntries());
    BOOST_TEST(cluster.planAndConfirm(0, noteKind).value("version", 0) == 1);
    awaitVersion(cluster, 1);
    cluster.setPlatformMode({{"down", true}});
    std::this_thread::sleep_for(longerThanAnyLease);
    for (std::size_t i = 0; i < cluster.entries_.size(); ++i) {
        BOOST_TEST(cluster.submit(i, "note", 50).value("state", "") == "complete");
    }
    BOOST_TEST(cluster.planAndConfirm(1, domainOut).value("code", 0) == 502);
    cluster.setPlatformMode({{"down", false}});
    BOOST_TEST(status(cluster, 1).value("version", 0) == 1);
    BOOST_TEST(cluster.planAndConfirm(1, domainOut).value("version", 0) == 2);
    awaitVersion(cluster, 2);
}

BOOST_AUTO_TEST_CASE(entry_that_refuses_all_jobs_does_not_pass_its_health_check)
{
    ClusterConfig config;
    config.entries_ = 1;
    config.targets_ = 1;
    Cluster cluster(config);
    cluster.planAndConfirm(0, noteKind);
    const auto healthStatus = [&cluster] {
        return cluster.callAsMember(0, "GET", "/healthz").value().status_;
    };
    cluster.setPlatformMode({{"down", true}});
    cluster.entries_[0].process_.reset();
    cluster.startEntry(0);
    BOOST_TEST(cluster.submit(0, "note", 1).value("code", 0) == 211);
    BOOST_TEST(healthStatus() == 503);
    cluster.setPlatformMode({{"down", false}});
    cluster.awaitHealthy();
    BOOST_TEST(cluster.submit(0, "note", 1).value("code", 0) != 211);
}

BOOST_AUTO_TEST_CASE(minority_without_the_platform_starts_no_task)
{
    Cluster cluster(threeEntries());
    cluster.planAndConfirm(0, noteKind);
    awaitVersion(cluster, 1);
    cluster.setPlatformMode({{"down", true}});
    cluster.entries_[1].process_->kill();
    cluster.entries_[2].process_->kill();
    std::this_thread::sleep_for(longerThanAnyLease);
    BOOST_TEST(status(cluster, 0).value("grant_ms", -1) == 0);
    const Json answer = cluster.submit(0, "note", 3);
    BOOST_TEST(answer.value("state", "") != "complete");
    for (std::size_t i = 0; i < cluster.targetNodes_.size(); ++i) {
        BOOST_TEST(cluster.starts(i).empty());
    }
}

BOOST_AUTO_TEST_CASE(entry_without_the_platform_catches_up_from_its_peers)
{
    Cluster cluster(threeEntries());
    cluster.planAndConfirm(0, noteKind);
    disconnectFromPlatform(cluster, 2);
    await("the peers bring the entry up to date", [&] { return status(cluster, 2).value("settled", false); });
    BOOST_TEST(cluster.planAndConfirm(0, domainOut).value("version", 0) == 2);
    awaitVersion(cluster, 2);
    await("the entry is linked to all agents", [&] { return status(cluster, 2)["agents"].size() == 3U; });
    BOOST_TEST(cluster.submit(2, "note", 20).value("state", "") == "complete");
    BOOST_TEST(cluster.planAndConfirm(2, {{"op", "domain-in"}, {"name", "fd-2"}}).value("code", 0) == 502);
}

BOOST_AUTO_TEST_CASE(change_is_refused_while_every_peer_is_down)
{
    Cluster cluster(threeEntries());
    cluster.entries_[1].process_->kill();
    cluster.entries_[2].process_->kill();
    std::this_thread::sleep_for(longerThanAnyLease);
    BOOST_TEST(cluster.planAndConfirm(0, noteKind).value("code", 0) == 503);
    cluster.startEntry(1);
    await("the change is accepted", [&] { return cluster.planAndConfirm(0, noteKind).value("version", 0) == 1; });
}

BOOST_AUTO_TEST_CASE(lost_write_answer_is_resolved_by_reading_back)
{
    Cluster cluster(threeEntries());
    cluster.setPlatformMode({{"lose_write_answers", true}});
    BOOST_TEST(cluster.planAndConfirm(0, noteKind).value("version", 0) == 1);
    cluster.setPlatformMode(Json::object());
    awaitVersion(cluster, 1);
    const auto audit = cluster.callAsOperator(1, "GET", "/v1/audit?after=0");
    BOOST_REQUIRE(audit.has_value());
    BOOST_TEST(Json::parse(audit.value().body_)["changes"].size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
