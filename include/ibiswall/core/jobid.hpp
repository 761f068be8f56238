// Job ids. An id is issued by an entry and names the one incarnation that may run the job.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <string_view>

namespace ibiswall {

/// One running process: the configured name and a number that is new at each start.
struct Incarnation
{
    std::string name_;
    std::uint64_t number_ = 0;
};

bool operator==(const Incarnation &a, const Incarnation &b);
bool operator!=(const Incarnation &a, const Incarnation &b);

/// Makes the incarnation number of a process that starts now. Later starts get higher numbers.
/// @param wallNow wall-clock time of the start
/// @param noise random bits that tell apart two starts in the same millisecond
std::uint64_t makeIncarnationNumber(Millis wallNow, std::uint64_t noise);

/// The id of a job. Its text form is `name.incarnation.issued.serial.secret`, numbers in hexadecimal.
struct JobId
{
    /// The only incarnation that may run the job.
    Incarnation owner_;
    /// Wall-clock time at which the id was issued.
    Millis issued_;
    /// Unique within the home incarnation.
    std::uint64_t serial_ = 0;
    /// Random bits, so that no caller can guess the id of another.
    std::uint64_t secret_ = 0;
};

/// Writes an id in its text form.
std::string format(const JobId &id);

/// Reads the text form of an id.
Result<JobId> parseJobId(std::string_view text);

/// Tells whether an id may no longer be used to submit a job.
/// @param life how long after its issue an id may be used
bool isExpired(const JobId &id, Millis wallNow, Millis life);

/// Tells whether a name may stand for an entry, worker, target, kind or member:
/// 1 to 64 characters out of a-z, 0-9 and '-'.
bool isName(std::string_view text);

} // namespace ibiswall
