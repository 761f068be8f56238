// Entry points of the processes of a cell.

#pragma once

#include <ibiswall/settings.hpp>

namespace ibiswall::node {

/// Runs an entry until it is asked to stop.
/// @param file the settings file, which is reloaded when it changes
/// @return the exit code if the entry could not start; otherwise the process exits
Exit runCellEntry(const CellEntrySettings &settings, const std::string &file);

/// Runs an agent until it is asked to stop; parameters and result as for runCellEntry().
Exit runCellAgent(const CellAgentSettings &settings, const std::string &file);

} // namespace ibiswall::node
