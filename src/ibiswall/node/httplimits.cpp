// Limits of HTTP servers that few clients use, and reports of what they refuse.

#include "httplimits.hpp"

#include "metrics.hpp"
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

HttpLimits monitoringLimits(const char *server)
{
    HttpLimits limits;
    // Their requests have no body.
    limits.maxBody_ = 4096;
    // A load balancer, a few monitors or one target, with room for connections that they have given up. They are within the
    // descriptors that are reserved beside those of callers.
    limits.maxConnections_ = 32;
    limits.onClosed_ = [server](std::string_view reason) {
        reportClosed(server, reason);
    };
    return limits;
}

void reportClosed(const char *server, std::string_view reason)
{
    count("ibiswall_connections_closed_total", std::string(reason));
    logEvent("connection.closed", {{"server", std::string_view(server)}, {"reason", reason}});
}

} // namespace ibiswall::node
