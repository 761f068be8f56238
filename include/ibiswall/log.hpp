// Public header of the log library: short sentences with a fixed prefix for each part.

#pragma once

#include <string_view>

namespace ibiswall {

/// How much is logged.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Starts to log to standard error.
void startLog(LogLevel level);

/// Writes one line.
/// @param part prefix of the part that speaks, such as "entry.dispatch"
void log(LogLevel level, std::string_view part, std::string_view sentence);

} // namespace ibiswall
