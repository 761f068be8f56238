// Public header of the command-line library: the commands of the ibiswall program.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <vector>

namespace ibiswall {

/// Runs one command.
/// @param arguments the command and its options, without the program name
/// @return the exit code of the process
int runCommand(Span<const std::string> arguments);

} // namespace ibiswall
