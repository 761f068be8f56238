// Public header of the log library: text messages with the name of the component that logs them.

#pragma once

#include <string_view>

namespace ibiswall {

/// Severity of a message, and the lowest severity that is logged.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Starts logging to standard error.
void startLog(LogLevel level);

/// Logs one message.
/// @param component name of the component, such as "entry.dispatch"
void log(LogLevel level, std::string_view component, std::string_view message);

} // namespace ibiswall
