// Job ids. An entry issues an id, and only the entry incarnation named in the id may run the job.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <string_view>

namespace ibiswall {

/// Identifies one run of a process by its configured name and a number that is new at each start.
struct Incarnation
{
    std::string name_;
    std::uint64_t number_ = 0;
};

bool operator==(const Incarnation &a, const Incarnation &b);
bool operator!=(const Incarnation &a, const Incarnation &b);

/// Makes the incarnation number of a process that starts now. Later starts get higher numbers.
/// @param wallNow wall-clock time of the start
/// @param randomBits random number that makes two starts in the same millisecond distinct
std::uint64_t makeIncarnationNumber(Millis wallNow, std::uint64_t randomBits);

/// The id of a job. Its text form is `name.incarnation.issued.serial.secret`, numbers in hexadecimal.
struct JobId
{
    /// The only incarnation that may run the job.
    Incarnation owner_;
    /// Wall-clock time at which the id was issued.
    Millis issued_;
    /// Unique within the owner incarnation.
    std::uint64_t serial_ = 0;
    /// Random number, so that a caller cannot guess the ids of others.
    std::uint64_t secret_ = 0;
};

/// Formats an id in its text form.
std::string format(const JobId &id);

/// Parses the text form of an id.
Result<JobId> parseJobId(std::string_view text);

/// Returns whether an id may no longer be used to submit a job.
/// @param lifetime time after its issue during which an id may be used
bool isExpired(const JobId &id, Millis wallNow, Millis lifetime);

/// Returns whether a text is a valid name of an entry, worker, target, kind or member:
/// 1 to 64 characters from a-z, 0-9 and '-'.
bool isName(std::string_view text);

} // namespace ibiswall
