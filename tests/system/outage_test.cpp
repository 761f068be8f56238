// Real processes with the platform down, cut off from one entry, or losing answers.

#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <thread>

namespace ibiswall::system {

namespace {

// Longer than any grant that rests on a read of the platform.
constexpr std::chrono::seconds pastGrants(5);

const Json noteKind = {{"op", "set-kind"}, {"name", "note"}, {"value", 1}, {"repeatable", false}, {"deadline_ms", 3000}};
const Json domainOut = {{"op", "domain-out"}, {"name", "fd-2"}};

ClusterShape threeEntries()
{
    ClusterShape shape;
    shape.entries_ = 3;
    shape.targets_ = 3;
    return shape;
}

Json status(const Cluster &cluster, std::size_t entry)
{
    const auto answer = cluster.callAsOperator(entry, "GET", "/v1/status");
    return answer.has_value() ? Json::parse(answer.value().body_, nullptr, false) : Json::object();
}

void awaitVersion(const Cluster &cluster, std::uint64_t version)
{
    for (std::size_t i = 0; i < cluster.entries_.size(); ++i) {
        await("version " + std::to_string(version) + " at every entry", [&] { return status(cluster, i).value("version", 0U) == version; });
    }
}

void cutFromPlatform(Cluster &cluster, std::size_t entry)
{
    const auto file = cluster.entries_[entry].settings_;
    std::ifstream in(file);
    Json settings = Json::parse(in, nullptr, true, true);
    settings["platform_addresses"] = {"127.0.0.1:" + std::to_string(freePort())};
    std::ofstream(file) << settings.dump(2);
    cluster.entries_[entry].process_.reset();
    cluster.startEntry(entry);
}

} // namespace

BOOST_AUTO_TEST_SUITE(outage)

BOOST_AUTO_TEST_CASE(work_goes_on_and_changes_are_refused)
{
    Cluster cluster(threeEntries());
    BOOST_TEST(cluster.change(0, noteKind).value("version", 0) == 1);
    awaitVersion(cluster, 1);
    cluster.setPlatformMode({{"down", true}});
    std::this_thread::sleep_for(pastGrants);
    for (std::size_t i = 0; i < cluster.entries_.size(); ++i) {
        BOOST_TEST(cluster.submit(i, "note", 50).value("state", "") == "complete");
    }
    BOOST_TEST(cluster.change(1, domainOut).value("code", 0) == 502);
    cluster.setPlatformMode({{"down", false}});
    BOOST_TEST(status(cluster, 1).value("version", 0) == 1);
    BOOST_TEST(cluster.change(1, domainOut).value("version", 0) == 2);
    awaitVersion(cluster, 2);
}

BOOST_AUTO_TEST_CASE(a_minority_without_the_platform_starts_nothing)
{
    Cluster cluster(threeEntries());
    cluster.change(0, noteKind);
    awaitVersion(cluster, 1);
    cluster.setPlatformMode({{"down", true}});
    cluster.entries_[1].process_->kill();
    cluster.entries_[2].process_->kill();
    std::this_thread::sleep_for(pastGrants);
    BOOST_TEST(status(cluster, 0).value("grant_ms", -1) == 0);
    const Json answer = cluster.submit(0, "note", 3);
    BOOST_TEST(answer.value("state", "") != "complete");
    for (std::size_t i = 0; i < cluster.places_.size(); ++i) {
        BOOST_TEST(cluster.starts(i).empty());
    }
}

BOOST_AUTO_TEST_CASE(an_entry_cut_off_from_the_platform_learns_from_the_others)
{
    Cluster cluster(threeEntries());
    cluster.change(0, noteKind);
    cutFromPlatform(cluster, 2);
    await("the entry is settled by the others", [&] { return status(cluster, 2).value("settled", false); });
    BOOST_TEST(cluster.change(0, domainOut).value("version", 0) == 2);
    awaitVersion(cluster, 2);
    await("the entry has agents", [&] { return status(cluster, 2)["agents"].size() == 3U; });
    BOOST_TEST(cluster.submit(2, "note", 20).value("state", "") == "complete");
    BOOST_TEST(cluster.change(2, {{"op", "domain-in"}, {"name", "fd-2"}}).value("code", 0) == 502);
}

BOOST_AUTO_TEST_CASE(a_change_without_others_to_know_it_is_refused)
{
    Cluster cluster(threeEntries());
    cluster.entries_[1].process_->kill();
    cluster.entries_[2].process_->kill();
    std::this_thread::sleep_for(pastGrants);
    BOOST_TEST(cluster.change(0, noteKind).value("code", 0) == 503);
    cluster.startEntry(1);
    await("the change is accepted", [&] { return cluster.change(0, noteKind).value("version", 0) == 1; });
}

BOOST_AUTO_TEST_CASE(a_lost_answer_to_a_write_is_settled_by_reading_back)
{
    Cluster cluster(threeEntries());
    cluster.setPlatformMode({{"lose_write_answers", true}});
    BOOST_TEST(cluster.change(0, noteKind).value("version", 0) == 1);
    cluster.setPlatformMode(Json::object());
    awaitVersion(cluster, 1);
    const auto audit = cluster.callAsOperator(1, "GET", "/v1/audit?after=0");
    BOOST_REQUIRE(audit.has_value());
    BOOST_TEST(Json::parse(audit.value().body_)["changes"].size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
