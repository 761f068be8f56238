// Exit codes of the program.

#pragma once

namespace ibiswall {

/// Exit codes of every command and process.
enum class Exit {
    Ok = 0,
    /// The command was carried out with a failure as its result, or a process received a second stop signal.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The settings file is invalid.
    Settings = 3,
    /// The entry cannot be reached.
    Unreachable = 4,
    /// The process cannot listen on a configured address.
    CannotListen = 5,
};

} // namespace ibiswall
