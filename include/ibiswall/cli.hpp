// Public header of the command-line library.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <vector>

namespace ibiswall {

/// Exit codes of every command.
enum class Exit {
    Ok = 0,
    /// The command was understood and its answer is a failure, or a process was told twice to stop.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings file is wrong.
    Settings = 3,
    /// The entry cannot be reached.
    Unreachable = 4,
};

/// Runs one command.
/// @param arguments what follows the program's name
int runCommand(Span<const std::string> arguments);

} // namespace ibiswall
