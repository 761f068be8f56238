// The entries that an agent keeps links to, when there are more entries than an agent can afford.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswall {

/// An entry as the choice of links sees it.
struct EntryPoint
{
    std::string name_;
    /// Failure domain that the entry runs in.
    std::string domain_;
};

/// Chooses entries by rendezvous hashing over the names. Every agent gets an even draw, and the choice depends on
/// nothing but the names: an entry that comes or goes changes only the agents that choose it.
/// The first choices lie in as many failure domains as there are, so that no loss of one cuts the agent off.
/// @param agent name of the agent's target
/// @param count entries to choose; all are chosen when there are no more than this
/// @return positions in `entries`, best first
std::vector<std::size_t> chooseEntries(std::string_view agent, Span<const EntryPoint> entries, std::size_t count);

} // namespace ibiswall
