// What an entry remembers of jobs whose answers it no longer keeps, so that none of them runs again.

#pragma once

#include <ibiswall/core/job.hpp>
#include <map>
#include <optional>

namespace ibiswall {

/// One job that has ended.
struct JobTombstone
{
    std::uint64_t secret_ = 0;
    std::uint64_t memberHash_ = 0;
    std::uint64_t bodyHash_ = 0;
    Millis issued_;
    bool complete_ = false;
};

/// Ended jobs of this incarnation by the serial number of their id. Serial numbers follow the time of issue.
using JobTombstones = std::map<std::uint64_t, JobTombstone>;

/// Remembers a job that has ended.
void addTombstone(JobTombstones &ended, const Submission &submission, bool complete);

/// Forgets the jobs whose ids were issued longer ago than their life.
void expire(JobTombstones &ended, Millis wallNow, Millis life);

/// What a member may learn about an id: UnknownJob when it is not that member's, else AnswerDropped, or nothing when
/// no such job has ended.
std::optional<Error> tombstoneError(const JobTombstones &ended, const JobId &id, std::string_view member);

/// Tells whether an ended job was submitted with another body.
bool bodyDiffers(const JobTombstones &ended, const Submission &submission);

} // namespace ibiswall
