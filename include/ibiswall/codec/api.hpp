// JSON requests and replies of the caller API, and the HTTP status of each result code.

#pragma once

#include <ibiswall/core.hpp>

namespace ibiswall {

/// Parses the body of a submission: `{"kind": "...", "tasks": ["payload", ...]}`.
/// @param id the job id from the path
/// @param member the member that the caller belongs to
/// @return BadRequest with the field at fault
Result<Submission> parseSubmission(const JobId &id, std::string_view member, std::string_view body);

/// Formats the answer to a job.
std::string formatAnswer(const JobAnswer &answer);

/// Formats an error as the body of a refusal.
std::string formatError(const Error &error);

/// Formats newly issued job ids.
/// @param lifetime how long the ids are valid
std::string formatIds(Span<const JobId> ids, Millis lifetime);

/// The HTTP status for a result code.
int httpStatus(Code code);

} // namespace ibiswall
