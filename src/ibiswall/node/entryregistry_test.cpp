// Tests the selection of the entries that an agent links to, at the size of a large cell.

#include "entryregistry.hpp"

#include "keys.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace ibiswall::node {

namespace {

constexpr std::size_t relayCount = 3;

EntryRecords entriesOf(int domains, int perDomain)
{
    EntryRecords entries;
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < perDomain; ++i) {
            const std::string name = "front-" + std::to_string(domain) + '-' + std::to_string(i);
            entries[name] = {{"10.0.0.1", 7000}, 1, "z" + std::to_string(domain)};
        }
    }
    return entries;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_registry)

BOOST_AUTO_TEST_CASE(record_round_trip)
{
    platform::Item item;
    item.key_ = std::string(keys::entries) + "e1";
    item.value_ = formatEntry({{"10.1.0.13", 7720}, 42, "z1", 120});
    const platform::Item bad{std::string(keys::entries) + "e2", "\xff not an entry", 1, 1, false};
    const std::vector<platform::Item> items{item, bad};
    const EntryRecords parsed = parseEntries(items);
    BOOST_REQUIRE(parsed.size() == 1U);
    BOOST_TEST(parsed.at("e1").incarnation_ == 42);
    BOOST_TEST(parsed.at("e1").domain_ == "z1");
    BOOST_TEST(parsed.at("e1").memory_ == 120U);
    BOOST_TEST(addressesOf(parsed).at("e1").port_ == 7720);
}

BOOST_AUTO_TEST_CASE(smallest_memory_passes_over_entries_that_state_none)
{
    EntryRecords entries;
    BOOST_TEST(smallestMemory(entries) == 0U);
    entries["e1"] = {{"10.0.0.1", 7000}, 1, "z1", 0};
    entries["e2"] = {{"10.0.0.2", 7000}, 1, "z1", 512};
    entries["e3"] = {{"10.0.0.3", 7000}, 1, "z1", 120};
    BOOST_TEST(smallestMemory(entries) == 120U);
}

// 240 agents and 55 entries in 5 failure domains.
BOOST_AUTO_TEST_CASE(agents_are_spread_and_reach_several_domains)
{
    const EntryRecords entries = entriesOf(5, 11);
    std::map<std::string, int> agentsAt;
    constexpr int agents = 240;
    for (int i = 0; i < agents; ++i) {
        const std::string domain = "z" + std::to_string(i % 5);
        const EntryRecords relays = chooseRelayEntries("side-" + std::to_string(i), domain, entries, relayCount);
        std::set<std::string> domains;
        for (const auto &[name, entry] : relays) {
            domains.insert(entry.domain_);
            ++agentsAt[name];
        }
        BOOST_TEST(relays.size() == relayCount);
        BOOST_TEST(domains.size() == relayCount);
        BOOST_TEST(domains.count(domain) == 1U);
    }
    const auto most = std::max_element(agentsAt.begin(), agentsAt.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    BOOST_TEST(most->second <= 3 * agents * static_cast<int>(relayCount) / 55);
}

BOOST_AUTO_TEST_CASE(few_entries_are_all_chosen)
{
    BOOST_TEST(chooseRelayEntries("a", "z0", entriesOf(3, 1), relayCount).size() == 3U);
    BOOST_TEST(chooseRelayEntries("a", "z0", entriesOf(1, 3), relayCount).size() == 3U);
    BOOST_TEST(chooseRelayEntries("a", "elsewhere", entriesOf(1, 2), relayCount).size() == 2U);
    BOOST_TEST(chooseRelayEntries("a", "z0", entriesOf(2, 2), relayCount).size() == 3U);
    BOOST_TEST(chooseRelayEntries("a", "z0", {}, relayCount).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
