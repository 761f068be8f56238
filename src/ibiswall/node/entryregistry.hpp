// Where the entries of a cell accept links, as read from the store.

#pragma once

#include "../../../platform/store.hpp"
#include <map>

namespace ibiswall::node {

/// Reads the stored addresses; what cannot be read is passed over with a log line.
std::map<std::string, Address> parseEntries(Span<const platform::Item> items);

} // namespace ibiswall::node
