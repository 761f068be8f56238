// Limits of the HTTP servers of a cell that few clients use.

#pragma once

#include <ibiswall/net.hpp>

namespace ibiswall::node {

/// Limits of a server for readiness, metrics or announcements.
/// @param server name of the server in the log
HttpLimits monitoringLimits(const char *server);

/// Counts and logs that a server has refused a request or closed a connection itself.
void reportClosed(const char *server, std::string_view reason);

} // namespace ibiswall::node
