// Public header of the processes of a cell.

#pragma once

#include <ibiswall/settings.hpp>

namespace ibiswall::node {

/// Runs an entry until it is told to stop.
Exit runCellEntry(const CellEntrySettings &settings);

/// Runs an agent until it is told to stop.
Exit runCellAgent(const CellAgentSettings &settings);

} // namespace ibiswall::node
