// The exit codes of the program.

#pragma once

namespace ibiswall {

/// Exit codes of every command and process.
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
    /// The process cannot listen on an address of its settings.
    CannotListen = 5,
};

} // namespace ibiswall
