// The answers stored by an entry, limited in size, number and age.

#pragma once

#include <ibiswall/core/dispatcher.hpp>

namespace ibiswall {

/// Accounts for the answer of a job that has just been answered.
void recordAnswer(Dispatcher &dispatcher, const Job &job);

/// Evicts the oldest answers while limits are exceeded, and keeps tombstones of their jobs.
void dropAnswers(Dispatcher &dispatcher);

/// Removes answered jobs and tombstones whose ids have expired.
void removeExpiredJobs(Dispatcher &dispatcher, Now now);

/// The error to report to a member for a job whose answer was evicted; empty if there is no such job.
std::optional<Error> droppedError(const Dispatcher &dispatcher, const JobId &id, std::string_view member);

} // namespace ibiswall
