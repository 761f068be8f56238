// The registry of entries in the store, which holds the address on which each entry accepts links.

#pragma once

#include "../../../platform/store.hpp"
#include <map>

namespace ibiswall::node {

/// A registered entry.
struct EntryRecord
{
    /// Where it accepts links.
    Address address_;
    /// Incarnation that registered it.
    std::int64_t incarnation_ = 0;
    /// Failure domain that it runs in; empty if it is not known.
    std::string domain_;
    /// Memory of its process in megabytes; 0 if it is not known.
    std::size_t memory_ = 0;
};

/// Registered entries by name.
using EntryRecords = std::map<std::string, EntryRecord>;

std::string formatEntry(const EntryRecord &entry);

/// Parses the stored records. Invalid items are logged and skipped.
EntryRecords parseEntries(Span<const platform::Item> items);

/// Link addresses of the entries, by name.
std::map<std::string, Address> addressesOf(const EntryRecords &entries);

/// Memory of the entry that has the least, in megabytes; 0 if that of none is known.
std::size_t smallestMemory(const EntryRecords &entries);

/// Selects the entries that an agent links to: one in its own failure domain, which relays without leaving the domain, and
/// others in distinct domains, so that the loss of one does not disconnect the agent.
/// @param count number of entries to select; if there are fewer, all are selected
EntryRecords chooseRelayEntries(const std::string &agent, const std::string &domain, const EntryRecords &entries, std::size_t count);

} // namespace ibiswall::node
