// Public header of the processes of a cell.

#pragma once

#include <ibiswall/settings.hpp>

namespace ibiswall::node {

/// Runs an entry until it is told to stop.
/// @param file where the settings came from; read again when it changes
Exit runCellEntry(const CellEntrySettings &settings, const std::string &file);

/// Runs an agent until it is told to stop.
Exit runCellAgent(const CellAgentSettings &settings, const std::string &file);

} // namespace ibiswall::node
