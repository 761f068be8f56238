// Structured event log on standard output: one JSON object per line, rate-limited and non-blocking.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace ibiswall {

/// A named value of an event.
struct LogField
{
    const char *name_;
    std::variant<std::int64_t, std::string_view> value_;
};

/// Converts an unsigned number to the type of a log field.
constexpr std::int64_t logNumber(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

/// Sets the node name that each line carries, and makes standard output non-blocking.
/// @param node name of the process
void startEventLog(std::string_view node);

/// Writes a line. Lines beyond the rate limit of an event are only counted; the next line of that event carries the
/// count as `left_out`. A line that does not fit into the buffer of a slow reader is lost and counted as `dropped`.
/// @param event stable name, such as "job.accepted"
void logEvent(std::string_view event, std::initializer_list<LogField> fields);

} // namespace ibiswall
