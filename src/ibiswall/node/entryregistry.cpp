// Format of the registry of entries, and the selection of the entries that an agent links to.

#include "entryregistry.hpp"

#include "keys.hpp"
#include <ibiswall/cell/cbor.hpp>
#include <ibiswall/core/subset.hpp>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

using Json = nlohmann::json;

Result<EntryRecord> parseEntry(const std::string &value)
{
    Json json;
    try {
        json = cell::parseCbor(value);
    } catch (const std::exception &error) {
        return Error{Code::Corrupt, error.what()};
    }
    if (!json.is_array() || json.empty() || !json[0].is_string()) {
        return Error{Code::Corrupt, "not an address"};
    }
    BOOST_OUTCOME_TRY(auto address, parseAddress(json[0].get<std::string>()));
    EntryRecord entry{address, 0, {}, 0};
    if (json.size() > 1 && json[1].is_number_integer()) {
        entry.incarnation_ = json[1].get<std::int64_t>();
    }
    if (json.size() > 2 && json[2].is_string()) {
        entry.domain_ = json[2].get<std::string>();
    }
    // Earlier versions do not write it.
    if (json.size() > 3 && json[3].is_number_unsigned()) {
        entry.memory_ = json[3].get<std::size_t>();
    }
    return entry;
}

} // namespace

std::string formatEntry(const EntryRecord &entry)
{
    const std::vector<std::uint8_t> bytes
        = Json::to_cbor(Json::array({format(entry.address_), entry.incarnation_, entry.domain_, entry.memory_}));
    return {bytes.begin(), bytes.end()};
}

EntryRecords parseEntries(Span<const platform::Item> items)
{
    EntryRecords entries;
    for (const platform::Item &item : items) {
        const auto entry = parseEntry(item.value_);
        if (entry.has_error()) {
            logEvent("entry.unreadable", {{"key", std::string_view(item.key_)}, {"reason", std::string_view(entry.error().text_)}});
            continue;
        }
        entries[keys::nameOf(item.key_, keys::entries)] = entry.value();
    }
    return entries;
}

std::map<std::string, Address> addressesOf(const EntryRecords &entries)
{
    std::map<std::string, Address> addresses;
    for (const auto &[name, entry] : entries) {
        addresses[name] = entry.address_;
    }
    return addresses;
}

std::size_t smallestMemory(const EntryRecords &entries)
{
    std::size_t smallest = 0;
    for (const auto &[name, entry] : entries) {
        if (entry.memory_ != 0 && (smallest == 0 || entry.memory_ < smallest)) {
            smallest = entry.memory_;
        }
    }
    return smallest;
}

EntryRecords chooseRelayEntries(const std::string &agent, const std::string &domain, const EntryRecords &entries, std::size_t count)
{
    std::vector<EntryPoint> local;
    std::vector<EntryPoint> remote;
    for (const auto &[name, entry] : entries) {
        (entry.domain_ == domain ? local : remote).push_back({name, entry.domain_});
    }
    EntryRecords relays;
    const auto choose = [&](const std::vector<EntryPoint> &points, std::size_t most) {
        for (const std::size_t at : chooseEntries(agent, points, most)) {
            relays[points[at].name_] = entries.at(points[at].name_);
        }
    };
    choose(local, 1);
    choose(remote, count - relays.size());
    if (relays.size() < count) {
        // Too few entries elsewhere: the best local ones, of which the first is chosen already.
        choose(local, count - relays.size() + 1);
    }
    return relays;
}

} // namespace ibiswall::node
