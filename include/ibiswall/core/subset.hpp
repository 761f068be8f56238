// Selection of the entries that an agent links to, if there are more entries than an agent can keep links to.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswall {

/// An entry that an agent may link to.
struct EntryPoint
{
    std::string name_;
    /// Failure domain that the entry runs in.
    std::string domain_;
};

/// Selects entries by rendezvous hashing. Agents are spread evenly over the entries. The selection depends only on names
/// and failure domains, so adding or removing an entry affects only the agents that select it.
/// Entries of distinct failure domains are preferred, so that losing one domain does not disconnect the agent.
/// @param agent name of the agent's target
/// @param count number of entries to select; if there are fewer, all are selected
/// @return indices into `entries`, best first
std::vector<std::size_t> chooseEntries(std::string_view agent, Span<const EntryPoint> entries, std::size_t count);

} // namespace ibiswall
