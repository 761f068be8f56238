// Replies of an entry to its callers that several of its parts send.

#pragma once

#include <ibiswall/base.hpp>
#include <ibiswall/net/httpserver.hpp>

namespace ibiswall::node {

/// HTTP status of a reply.
enum Status {
    Success = 200,
    Accepted = 202,
    Malformed = 400,
    NotFound = 404,
    NotAllowed = 405,
    Gone = 410,
    TooLarge = 413,
    Unavailable = 503,
    Unknown = 504
};

/// Retry-After while an entry or the cell is starting.
constexpr Millis startRetryAfter{1000};

/// @param text reason; the description of the code if empty
/// @param retryAfter when the caller may try again; 0 for no hint
HttpReply errorReply(int status, Code code, const std::string &text, Millis retryAfter = {});

} // namespace ibiswall::node
