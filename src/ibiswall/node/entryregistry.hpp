// The registry of entries in the store, which holds the address on which each entry accepts links.

#pragma once

#include "../../../platform/store.hpp"
#include <map>

namespace ibiswall::node {

/// Parses the stored addresses, by name of the entry. Invalid items are logged and skipped.
std::map<std::string, Address> parseEntries(Span<const platform::Item> items);

} // namespace ibiswall::node
