// Parses the registry of entries.

#include "entryregistry.hpp"

#include "keys.hpp"
#include <ibiswall/log/eventlog.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall::node {

std::map<std::string, Address> parseEntries(Span<const platform::Item> items)
{
    std::map<std::string, Address> entries;
    for (const platform::Item &item : items) {
        const auto json = nlohmann::json::from_cbor(item.value_, true, false);
        const bool readable = json.is_array() && !json.empty() && json[0].is_string();
        const auto address = readable ? parseAddress(json[0].get<std::string>()) : Result<Address>(Error{Code::Corrupt, "not an address"});
        if (address.has_error()) {
            logEvent("entry.unreadable", {{"key", std::string_view(item.key_)}, {"reason", std::string_view(address.error().text_)}});
            continue;
        }
        entries[keys::nameOf(item.key_, keys::entries)] = address.value();
    }
    return entries;
}

} // namespace ibiswall::node
