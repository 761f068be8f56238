// A small deployment of real processes on loopback.

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

/// A stand-in target and the agent beside it.
struct Place
{
    std::string name_;
    std::string domain_;
    std::uint16_t targetPort_ = 0;
    std::filesystem::path settings_;
    /// Receives a line for each start; outlives the target.
    std::filesystem::path record_;
    /// The links to each entry, when links are relayed.
    std::vector<std::unique_ptr<Relay>> links_;
    std::optional<Process> target_;
    std::optional<Process> agent_;
};

/// One entry.
struct EntryPlace
{
    std::string name_;
    std::uint16_t callersPort_ = 0;
    std::uint16_t linksPort_ = 0;
    std::filesystem::path settings_;
    /// Error output.
    std::filesystem::path log_;
    /// The links to each other entry, by its name, when links are relayed.
    std::map<std::string, std::unique_ptr<Relay>> links_;
    std::optional<Process> process_;
};

/// The sizes of a deployment. Targets are spread over the failure domains `fd-1`, `fd-2`, ...
struct ClusterShape
{
    int entries_ = 2;
    int domains_ = 3;
    int targets_ = 6;
    int slots_ = 8;
    std::int64_t runMillis_ = 5;
    /// Added to the settings of each entry.
    Json entrySettings_ = Json::object();
    /// Whether links pass through relays.
    bool relayed_ = false;
};

/// Starts everything, and ends everything when destroyed.
class Cluster
{
public:
    explicit Cluster(const ClusterShape &shape);
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

    /// Calls an entry as another member, `rival`.
    Result<HttpResponse> callAsRival(std::size_t entry,
                                     const std::string &method,
                                     const std::string &target,
                                     const std::string &body = {}) const;

    /// Calls an entry as the operator `ops`.
    Result<HttpResponse> callAsOperator(std::size_t entry,
                                        const std::string &method,
                                        const std::string &target,
                                        const std::string &body = {}) const;

    /// Takes one fresh job id.
    std::string takeId(std::size_t entry) const;

    /// Submits a job with a fresh id and waits for its answer.
    Json submit(std::size_t entry, const std::string &kind, std::size_t tasks) const;

    /// Plans and confirms an intent, and returns the confirmation's answer.
    Json change(std::size_t entry, const Json &intent) const;

    /// Switches the stand-in platform.
    void setPlatformMode(const Json &mode) const;

    /// Switches a stand-in target.
    void setTargetMode(std::size_t index, const Json &mode) const;

    /// The starts that a stand-in target and its earlier incarnations recorded.
    Json starts(std::size_t index) const;

    /// Waits until every running entry sees a number of agents.
    void awaitAgents(std::size_t count) const;

    /// What an entry wrote to its log.
    std::string logOf(std::size_t entry) const;

    /// Waits until every entry has heard every other.
    void awaitEntries() const;

    std::vector<EntryPlace> entries_;
    std::vector<Place> places_;
    std::optional<Process> platform_;
    std::uint16_t platformPort_ = 0;

private:
    void writeEntrySettings(EntryPlace &entry);
    void writeAgentSettings(Place &place);

    /// Puts a relay before a port when links are relayed.
    /// @return the port to connect to
    std::uint16_t relay(std::unique_ptr<Relay> &link, std::uint16_t port) const;

    ClusterShape shape_;
    std::filesystem::path folder_;
};

/// Path of the program under test.
std::string programPath();

/// Waits until a condition holds; throws after a generous time.
void await(const std::string &what, const std::function<bool()> &condition);

} // namespace ibiswall::system
