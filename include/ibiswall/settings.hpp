// Public header of the settings library: reads and validates the settings files of all processes.

#pragma once

#include <ibiswall/cell/schedulingsettings.hpp>
#include <ibiswall/core.hpp>
#include <string>
#include <variant>
#include <vector>

namespace ibiswall {

/// How to reach another entry.
struct PeerSettings
{
    std::string name_;
    Address linksAddress_;
};

/// Name and bearer token of a member or an operator.
struct Credential
{
    std::string name_;
    std::string token_;
};

/// Settings of `ibiswall entry`.
struct EntrySettings
{
    std::string name_;
    std::string domain_;
    /// Where callers and operators connect.
    Address callersAddress_;
    /// Where agents and other entries connect.
    Address linksAddress_;
    /// Addresses of the platform's key-value service.
    std::vector<Address> platformAddresses_;
    std::vector<PeerSettings> peers_;
    std::vector<Credential> members_;
    std::vector<Credential> operators_;
    std::string logLevel_ = "info";
    /// On a stop, time from failing the health check to refusing new jobs, so that the load balancer can react.
    Millis drainDelay_{1000};
    std::size_t maxBody_ = 8U << 20U;
    std::size_t maxHeader_ = 8192;
    std::size_t maxConnections_ = 1024;
    /// A connection without a complete request for this long is closed.
    Millis idleTimeout_{30000};
    std::size_t maxLinks_ = 4096;
    /// Largest frame on a link, in bytes.
    std::size_t maxFrame_ = 16U << 20U;
    /// A link without a hello frame this long after it connected is closed.
    Millis helloTimeout_{5000};
    DispatchLimits limits_;
};

/// Settings of `ibiswall agent`.
struct AgentSettings
{
    std::string target_;
    std::string worker_;
    std::string domain_;
    /// Number of tasks that the target runs concurrently.
    int slots_ = 1;
    /// Where the target listens.
    Address targetAddress_;
    /// Where the agent serves its health check and metrics.
    Address healthAddress_;
    /// Where entries accept links.
    std::vector<Address> entryAddresses_;
    std::string logLevel_ = "info";
    /// Longest time from the first byte of a call to the end of its reply.
    Millis callTimeout_{60000};
};

/// Settings of `ibiswall cell-entry`, an entry of a cell whose jobs are kept in a store.
struct CellEntrySettings
{
    std::string name_;
    std::string domain_;
    /// Where callers connect.
    Address callersAddress_;
    /// Where the load balancer checks whether the entry is ready.
    Address readyAddress_;
    /// Where agents and other entries connect.
    Address linksAddress_;
    Address metricsAddress_;
    Address storeAddress_;
    /// CPU available to the entry, in cores; the entry with the most cores leads. By default all entries are equal.
    double cores_ = 1;
    std::string logLevel_ = "info";
    /// Longest time from the stop signal to the end of the process.
    Millis gracePeriod_{6000};
    /// How long the final state of a job is kept after the job ends.
    Millis stateRetention_{120000};
    /// Memory that the process may use, in megabytes; 0 if unknown.
    std::size_t memory_ = 0;
    /// File descriptors that the process may open; 0 for the limit that the system sets.
    std::size_t maxDescriptors_ = 0;
    cell::SchedulingSettings scheduling_;
};

/// Settings of `ibiswall cell-agent`.
struct CellAgentSettings
{
    std::string name_;
    std::string domain_;
    /// Where the target announces itself.
    Address announcementsAddress_;
    /// Where the target accepts calls.
    Address callsAddress_;
    Address metricsAddress_;
    Address storeAddress_;
    std::string logLevel_ = "info";
    /// Longest time from the stop signal to the end of the process.
    Millis gracePeriod_{6000};
    /// Longest lease that the target grants.
    Millis maxLease_{1000};
    /// Memory that the process may use, in megabytes; 0 if unknown.
    std::size_t memory_ = 0;
    /// File descriptors that the process may open; 0 for the limit that the system sets.
    std::size_t maxDescriptors_ = 0;
};

/// Settings of a process of any role.
using Settings = std::variant<EntrySettings, AgentSettings, CellEntrySettings, CellAgentSettings>;

/// Reads settings from JSON with comments.
/// @param file file name to use in errors
/// @return BadSettings with all problems, one per line, as `file: key: reason`
Result<Settings> parseSettings(std::string_view file, std::string_view text);

/// Reads a settings file; see parseSettings().
Result<Settings> loadSettings(const std::string &file);

} // namespace ibiswall
