// Runs a small deployment as real processes on loopback.

#pragma once

#include "process.hpp"
#include "relay.hpp"

#include <filesystem>
#include <functional>
#include <ibiswall/net.hpp>
#include <nlohmann/json.hpp>
#include <optional>

namespace ibiswall::system {

using Json = nlohmann::json;

/// A stand-in target and its agent.
struct TargetNode
{
    std::string name_;
    std::string domain_;
    std::uint16_t targetPort_ = 0;
    std::filesystem::path settingsFile_;
    /// Receives one line per task start and persists across restarts of the target.
    std::filesystem::path startsFile_;
    /// Relays to the entries by index, if links pass through relays.
    std::vector<std::unique_ptr<Relay>> relays_;
    std::optional<Process> target_;
    std::optional<Process> agent_;
};

/// An entry process.
struct EntryNode
{
    std::string name_;
    std::uint16_t callersPort_ = 0;
    std::uint16_t linksPort_ = 0;
    std::filesystem::path settingsFile_;
    /// Receives the standard error output.
    std::filesystem::path logFile_;
    /// Relays to the other entries by name, if links pass through relays.
    std::map<std::string, std::unique_ptr<Relay>> relays_;
    std::optional<Process> process_;
};

/// Configuration of a deployment. Targets are assigned to the failure domains `fd-1`, `fd-2`, ... in turn.
struct ClusterConfig
{
    int entries_ = 2;
    int domains_ = 3;
    int targets_ = 6;
    int slots_ = 8;
    std::int64_t runMillis_ = 5;
    /// Merged into the settings of each entry.
    Json entrySettings_ = Json::object();
    /// Whether each link passes through a Relay.
    bool useRelays_ = false;
};

/// Starts all processes on construction and kills them on destruction.
class Cluster
{
public:
    explicit Cluster(const ClusterConfig &config);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    void startEntry(std::size_t index);
    void startTarget(std::size_t index);
    void startAgent(std::size_t index);
    void startPlatform();

    /// Calls an entry as the member `studio`.
    Result<HttpResponse> callAsMember(std::size_t entry,
                                      const std::string &method,
                                      const std::string &target,
                                      const std::string &body = {}) const;

    /// Calls an entry as the member `rival`.
    Result<HttpResponse> callAsOtherMember(std::size_t entry,
                                           const std::string &method,
                                           const std::string &target,
                                           const std::string &body = {}) const;

    /// Calls an entry as the operator `ops`.
    Result<HttpResponse> callAsOperator(std::size_t entry,
                                        const std::string &method,
                                        const std::string &target,
                                        const std::string &body = {}) const;

    /// Requests a new job id from an entry.
    std::string allocateId(std::size_t entry) const;

    /// Submits a job with a new id and waits for the answer.
    Json submit(std::size_t entry, const std::string &kind, std::size_t tasks) const;

    /// Plans and confirms an intent.
    /// @return the answer to the confirmation, or to the plan if that was refused
    Json planAndConfirm(std::size_t entry, const Json &intent) const;

    /// Changes the fault mode of the stand-in platform.
    void setPlatformMode(const Json &mode) const;

    /// Changes the mode of a stand-in target.
    void setTargetMode(std::size_t index, const Json &mode) const;

    /// Task starts recorded by all incarnations of a stand-in target.
    Json starts(std::size_t index) const;

    /// Waits until every entry reports this number of agents and has read the platform.
    void awaitAgents(std::size_t count) const;

    /// Returns the log of an entry.
    std::string readLog(std::size_t entry) const;

    /// Waits until every entry passes its health check.
    void awaitHealthy() const;

    /// Waits until no entry lists an unconfirmed entry in its status.
    void awaitEntries() const;

    std::vector<EntryNode> entries_;
    std::vector<TargetNode> targetNodes_;
    std::optional<Process> platform_;
    std::uint16_t platformPort_ = 0;

private:
    void writeEntrySettings(EntryNode &entry);
    void writeAgentSettings(TargetNode &node);

    /// Inserts a relay in front of a port if links pass through relays.
    /// @return the port that clients connect to
    std::uint16_t insertRelay(std::unique_ptr<Relay> &relay, std::uint16_t port) const;

    ClusterConfig config_;
    std::filesystem::path folder_;
};

/// Returns the path of the program under test.
std::string programPath();

/// Reads the finished lines of a file that a stand-in appends to.
std::vector<Json> readJsonLines(const std::filesystem::path &file);

/// Polls a condition until it holds; throws std::runtime_error after 30 seconds.
void await(const std::string &what, const std::function<bool()> &condition);

} // namespace ibiswall::system
