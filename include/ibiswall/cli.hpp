// Public header of the command-line library.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <vector>

namespace ibiswall {

/// Runs one command.
/// @param arguments what follows the program's name
int runCommand(Span<const std::string> arguments);

} // namespace ibiswall
