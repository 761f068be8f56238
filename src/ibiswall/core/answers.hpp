// The answers that an entry keeps, within bounds of bytes, number and time.

#pragma once

#include <ibiswall/core/dispatcher.hpp>

namespace ibiswall {

/// Counts the answer that a job has just got.
void recordAnswer(Dispatcher &dispatcher, const Job &job);

/// Drops the oldest answers while there are too many, and remembers their jobs.
void dropAnswers(Dispatcher &dispatcher);

/// Forgets answered jobs whose ids have expired.
void forgetExpired(Dispatcher &dispatcher, Now now);

/// What a member may learn about a job whose answer was dropped; nothing when there is no such job.
std::optional<Error> droppedError(const Dispatcher &dispatcher, const JobId &id, std::string_view member);

} // namespace ibiswall
