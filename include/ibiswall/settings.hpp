// Public header of the settings library: reads and checks the files that processes start with.

#pragma once

#include <ibiswall/core.hpp>
#include <string>
#include <variant>
#include <vector>

namespace ibiswall {

/// Another entry.
struct PeerSettings
{
    std::string name_;
    Address linksAddress_;
};

/// Somebody who may call: a member, or an operator.
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
    /// Time between turning unhealthy and refusing new jobs when a stop begins.
    Millis drainDelay_{1000};
    std::size_t maxBody_ = 8U << 20U;
    std::size_t maxHeader_ = 8192;
    std::size_t maxConnections_ = 1024;
    /// A caller that sends no complete request for this long is dropped.
    Millis idleTimeout_{30000};
    std::size_t maxLinks_ = 4096;
    /// Largest frame on a link.
    std::size_t maxFrame_ = 16U << 20U;
    /// A link that has not said hello this long after it connected is closed.
    Millis helloTimeout_{5000};
    DispatchLimits limits_;
};

/// Settings of `ibiswall agent`.
struct AgentSettings
{
    std::string target_;
    std::string worker_;
    std::string domain_;
    /// Tasks that the target runs at a time.
    int slots_ = 1;
    /// Where the target listens.
    Address targetAddress_;
    /// Where the agent serves its health and metrics.
    Address healthAddress_;
    /// Where entries accept links.
    std::vector<Address> entryAddresses_;
    std::string logLevel_ = "info";
    /// Time from the first byte of a call to the end of its reply.
    Millis callTimeout_{60000};
};

/// Settings of an entry of a cell, whose jobs are stored.
struct CellEntrySettings
{
    std::string name_;
    std::string domain_;
    /// Where callers, and the balancer that asks whether the entry is ready, find it.
    Address callersAddress_;
    Address readyAddress_;
    /// Where agents and other entries connect.
    Address linksAddress_;
    Address metricsAddress_;
    Address storeAddress_;
    /// Processor that the entry may use, in cores; the strongest entry leads. Entries that do not say are alike.
    double cores_ = 1;
    std::string logLevel_ = "info";
    /// Time between the signal to stop and the end of the process.
    Millis gracePeriod_{6000};
    /// How long the final state of a job is kept.
    Millis stateRetention_{120000};
};

/// Settings of an agent of a cell.
struct CellAgentSettings
{
    std::string name_;
    std::string domain_;
    /// Where the target announces itself.
    Address announcementsAddress_;
    /// Where the target takes calls.
    Address target_;
    Address metricsAddress_;
    Address storeAddress_;
    std::string logLevel_ = "info";
    Millis gracePeriod_{6000};
    /// Longest lease that the target grants.
    Millis maxLease_{1000};
};

/// Settings of any kind of process.
using Settings = std::variant<EntrySettings, AgentSettings, CellEntrySettings, CellAgentSettings>;

/// Reads settings from JSON with comments.
/// @param file names the text in errors
/// @return every problem at once, one a line, as `file: key: reason`
Result<Settings> parseSettings(std::string_view file, std::string_view text);

/// Reads a settings file.
Result<Settings> loadSettings(const std::string &file);

} // namespace ibiswall
