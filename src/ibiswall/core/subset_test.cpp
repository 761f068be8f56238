// Tests that the selected entries span failure domains, are evenly loaded and remain stable.

#include <boost/test/unit_test.hpp>
#include <ibiswall/core/subset.hpp>
#include <map>
#include <set>

namespace ibiswall {

namespace {

constexpr int entryCount = 39;
constexpr int domainCount = 13;
constexpr int agentCount = 2000;

std::vector<EntryPoint> makeEntries()
{
    std::vector<EntryPoint> entries;
    entries.reserve(entryCount);
    for (int i = 0; i < entryCount; ++i) {
        entries.push_back({"entry-" + std::to_string(i), "fd-" + std::to_string(i % domainCount)});
    }
    return entries;
}

std::string agentName(int number)
{
    return "target-" + std::to_string(number);
}

std::set<std::string> chosenNames(int agent, Span<const EntryPoint> entries, std::size_t count)
{
    std::set<std::string> names;
    for (const std::size_t index : chooseEntries(agentName(agent), entries, count)) {
        names.insert(entries[index].name_);
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(subset)

BOOST_AUTO_TEST_CASE(selection_spans_as_many_failure_domains_as_possible)
{
    const auto entries = makeEntries();
    for (const std::size_t count : {1U, 6U, 13U, 20U}) {
        for (int agent = 0; agent < agentCount; ++agent) {
            std::set<std::string> domains;
            for (const std::size_t index : chooseEntries(agentName(agent), entries, count)) {
                domains.insert(entries[index].domain_);
            }
            BOOST_REQUIRE(domains.size() == std::min<std::size_t>(count, domainCount));
        }
    }
}

BOOST_AUTO_TEST_CASE(agents_are_spread_evenly_over_entries)
{
    const auto entries = makeEntries();
    constexpr std::size_t count = 6;
    std::map<std::string, int> agents;
    for (int agent = 0; agent < agentCount; ++agent) {
        for (const std::string &name : chosenNames(agent, entries, count)) {
            ++agents[name];
        }
    }
    constexpr double even = agentCount * static_cast<double>(count) / entryCount;
    BOOST_TEST(agents.size() == static_cast<std::size_t>(entryCount));
    for (const auto &[name, share] : agents) {
        BOOST_TEST_INFO(name << " serves " << share);
        BOOST_TEST(share > even * 0.75);
        BOOST_TEST(share < even * 1.25);
    }
}

BOOST_AUTO_TEST_CASE(removed_entry_changes_one_link_of_agents_that_selected_it)
{
    const auto entries = makeEntries();
    constexpr std::size_t count = 6;
    for (int removed = 0; removed < entryCount; ++removed) {
        auto remaining = entries;
        remaining.erase(remaining.begin() + removed);
        for (int agent = 0; agent < agentCount / 10; ++agent) {
            auto before = chosenNames(agent, entries, count);
            const auto after = chosenNames(agent, remaining, count);
            const bool affected = before.erase(entries[static_cast<std::size_t>(removed)].name_) > 0;
            BOOST_REQUIRE(std::includes(after.begin(), after.end(), before.begin(), before.end()));
            BOOST_REQUIRE(affected || after == before);
        }
    }
}

BOOST_AUTO_TEST_CASE(selection_is_independent_of_list_order)
{
    const auto entries = makeEntries();
    const std::vector<EntryPoint> reversed(entries.rbegin(), entries.rend());
    for (int agent = 0; agent < agentCount; ++agent) {
        BOOST_REQUIRE(chosenNames(agent, entries, 6) == chosenNames(agent, reversed, 6));
    }
}

BOOST_AUTO_TEST_CASE(selects_all_entries_of_short_list)
{
    const auto entries = makeEntries();
    BOOST_TEST(chosenNames(1, entries, entryCount + 1).size() == static_cast<std::size_t>(entryCount));
    BOOST_TEST(chooseEntries("target", {}, 3).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
