// A small deployment: the store, and zones with an entry, agents and workers each. Starts the project's programs as the deploy file does.

#pragma once

#include "record.hpp"
#include "relay.hpp"
#include "store.hpp"
#include "worker.hpp"

#include <memory>
#include <set>
#include <sys/types.h>

namespace review {

struct DeploymentSettings
{
    int zones_ = 1;
    int workersInZone_ = 1;
    /// Workers of the first zone have this speed of their clocks.
    double clockSpeed_ = 1;
    std::int64_t cpu_ = 8000;
    /// How long a worker takes to stop a task.
    std::int64_t stopMillis_ = 0;
    /// How long the reply of a worker takes.
    std::int64_t replyMillis_ = 0;
    /// Whether the zones are connected through proxies, so that they can be cut.
    bool separable_ = false;
};

/// A process of the project.
struct Program
{
    std::string name_;
    std::string role_;
    std::string settingsFile_;
    pid_t pid_ = -1;
};

struct Entry
{
    Program program_;
    std::uint16_t callers_ = 0;
    std::uint16_t ready_ = 0;
    std::uint16_t links_ = 0;
    std::uint16_t metrics_ = 0;
};

struct Agent
{
    Program program_;
    std::size_t zone_ = 0;
    std::unique_ptr<Worker> worker_;
};

class Deployment
{
public:
    Deployment(const DeploymentSettings &settings, Record &record);
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Waits until a job completes through each entry. Throws std::runtime_error after 20 s.
    void awaitReady();

    static void signal(const Program &program, int number);
    /// Kills a process and waits for its end.
    void kill(Program &program);
    void start(Program &program);

    /// Cuts a zone from the store and from the other zones, or heals the cut. Clients still reach it.
    void cutZone(std::size_t zone, bool cut);

    /// Zone of the leader according to the metrics of the entries; waits for one.
    std::size_t leaderZone() const;

    /// A call of a client, recorded with its answer.
    Reply request(std::size_t entry,
                  const std::string &method,
                  const std::string &id,
                  const std::string &body,
                  std::int64_t deadlineMillis,
                  const std::string &prefix = "/jobs/");

    std::vector<Entry> &entries();
    std::vector<Agent> &agents();
    Store &store();

    static constexpr const char *host = "desk.example";

private:
    std::optional<Reply> handleStoreCall(std::size_t zone, const Request &request);
    std::string translate(std::size_t zone, const std::string &value) const;
    std::string render(const std::string &file, const std::map<std::string, std::string> &fields) const;
    void addEntry(std::size_t zone);
    void addAgent(std::size_t zone, const std::string &name);

    DeploymentSettings settings_;
    Record &record_;
    std::string folder_;
    Store store_;
    /// By zone.
    std::vector<std::uint16_t> storePorts_;
    std::vector<std::unique_ptr<std::atomic<bool>>> cut_;
    std::vector<Entry> entries_;
    std::vector<Agent> agents_;
    /// From a zone to the entry of another one.
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<Relay>> relays_;
};

/// The configuration of the operator with the given queues, by name and prefix.
std::string makeConfiguration(int version, const std::map<std::string, std::string> &queues, bool admissionControl);

/// A job of identical tasks.
std::string makeJob(int tasks, int runMillis, bool bestEffort, int cpu = 1000);

/// Whether the disruption is to be left out.
bool isCalm();

void sleepMillis(std::int64_t millis);

/// Starts a deployment. It is never destroyed, since the threads of its stand-ins use it until the process ends; runCase ends its
/// processes.
Deployment &startDeployment(const DeploymentSettings &settings, Record &record);

/// Runs a case: ends with its result, or with 2 if it fails or takes too long.
int runCase(int argc, char **argv, const std::function<int(Record &)> &body);

} // namespace review
