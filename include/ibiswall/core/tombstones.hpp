// Tombstones of jobs whose answers were evicted. They prevent a resubmission from running the job again.

#pragma once

#include <ibiswall/core/job.hpp>
#include <map>
#include <optional>

namespace ibiswall {

/// The tombstone of one job.
struct JobTombstone
{
    std::uint64_t secret_ = 0;
    std::uint64_t memberHash_ = 0;
    std::uint64_t bodyHash_ = 0;
    Millis issued_;
    bool complete_ = false;
};

/// Tombstones of this incarnation's jobs, by the serial number of their id. Serial numbers increase with the issue time.
using JobTombstones = std::map<std::uint64_t, JobTombstone>;

/// Adds the tombstone of an answered job.
void addTombstone(JobTombstones &tombstones, const Submission &submission, bool complete);

/// Removes the tombstones whose ids were issued longer ago than `lifetime`.
void expire(JobTombstones &tombstones, Millis wallNow, Millis lifetime);

/// The error to report to a member for an id: UnknownJob if the job belongs to another member or the secret differs, else
/// AnswerDropped. Empty if there is no tombstone.
std::optional<Error> tombstoneError(const JobTombstones &tombstones, const JobId &id, std::string_view member);

/// Returns whether the job has a tombstone and was submitted with a different body.
bool bodyDiffers(const JobTombstones &tombstones, const Submission &submission);

} // namespace ibiswall
