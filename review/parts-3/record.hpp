// The record of a case: what was sent, answered and run, one line each.

#pragma once

#include <cstdint>
#include <string>

namespace review {

/// Milliseconds of a clock that only moves forward.
std::int64_t nowMs();

void sleepMs(std::int64_t duration);

/// Begins the record. Times in it count from here.
void openRecord(const std::string &file);

/// Adds a line, also to the standard output if it is a headline.
void note(const std::string &line);
void headline(const std::string &line);

/// Milliseconds since openRecord().
std::int64_t sinceStart();

} // namespace review
