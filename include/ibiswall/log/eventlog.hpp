// Structured log of decisions: one JSON object a line on standard output, bounded in volume, never blocking.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace ibiswall {

/// A named value of a log line.
struct LogField
{
    const char *name_;
    std::variant<std::int64_t, std::string_view> value_;
};

/// Turns a number that is never negative into one that can be logged.
constexpr std::int64_t logNumber(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

/// Sets the words that begin each line.
/// @param node name of the process
void startEventLog(std::string_view node);

/// Writes a line. Lines of an event beyond its rate are counted, and the count is told with the next line of it.
/// @param event stable name, such as "job.accepted"
void logEvent(std::string_view event, std::initializer_list<LogField> fields);

} // namespace ibiswall
