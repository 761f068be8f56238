// The JSON that callers send and receive.

#pragma once

#include <ibiswall/core.hpp>

namespace ibiswall {

/// Reads the body of a submission: `{"kind": "...", "tasks": ["payload", ...]}`.
/// @param id the job id from the path
/// @param member the member that the caller belongs to
Result<Submission> parseSubmission(const JobId &id, std::string_view member, std::string_view body);

/// Writes the answer to a job.
std::string formatAnswer(const JobAnswer &answer);

/// Writes an error as a refusal body.
std::string formatError(const Error &error);

/// Writes a list of freshly issued ids.
std::string formatIds(Span<const JobId> ids, Millis life);

/// The HTTP status that goes with a result code.
int httpStatus(Code code);

} // namespace ibiswall
