// Runs a cell as real processes on loopback: a stand-in store, entries, and workers with one agent each.

#pragma once

#include "process.hpp"
#include "relay.hpp"

#include <filesystem>
#include <ibiswall/net.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace ibiswall::system {

struct CellConfig
{
    int entries_ = 2;
    int workers_ = 4;
    /// Fraction of the orders to a worker that it executes late and never answers, from 0 to 1.
    double lateOrderRatio_ = 0;
    /// How long a worker takes to stop a run, and to reply.
    int stopMillis_ = 0;
    int replyMillis_ = 0;
    /// How long an entry keeps the final state of a job.
    Millis stateRetention_{120000};
    /// Whether the workers are said to reject tasks that do not fit.
    bool admissionControl_ = true;
    /// Whether each entry and agent reaches the store through a relay of its own.
    bool useStoreRelays_ = false;
    /// Merged into the settings of each entry and agent.
    nlohmann::json entrySettings_ = nlohmann::json::object();
    nlohmann::json agentSettings_ = nlohmann::json::object();
    /// Merged into the settings of the entry of the same index, after entrySettings_.
    std::vector<nlohmann::json> ownEntrySettings_ = {};
};

/// A worker process and its agent.
struct WorkerNode
{
    std::string name_;
    std::uint16_t workerPort_ = 0;
    std::uint16_t agentPort_ = 0;
    std::uint16_t metricsPort_ = 0;
    std::filesystem::path settingsFile_;
    std::filesystem::path runRecordFile_;
    std::optional<Process> worker_;
    std::optional<Process> agent_;
    /// Set with CellConfig::useStoreRelays_.
    std::unique_ptr<Relay> storePath_;
};

struct CellEntry
{
    std::string name_;
    std::uint16_t callersPort_ = 0;
    std::uint16_t readyPort_ = 0;
    std::uint16_t metricsPort_ = 0;
    std::uint16_t linksPort_ = 0;
    std::filesystem::path settingsFile_;
    std::optional<Process> process_;
    /// Set with CellConfig::useStoreRelays_.
    std::unique_ptr<Relay> storePath_;
};

/// Result of a submitted job as the caller sees it.
struct SubmitResult
{
    /// HTTP status of the last answer; 0 if there was none.
    int status_ = 0;
    std::string state_;
    /// Number of requests sent.
    int attempts_ = 0;
};

/// Starts all processes on construction and kills them on destruction.
class Cell
{
public:
    explicit Cell(const CellConfig &config);
    ~Cell();
    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    void startEntry(std::size_t index);
    void startWorker(std::size_t index);
    void startAgent(std::size_t index);

    /// Waits until a best-effort job completes.
    void awaitReady();

    /// Writes a key of the store, as an operator does.
    void putKey(const std::string &key, const nlohmann::json &value);
    void putBytes(const std::string &key, const std::string &value);
    void deleteKey(const std::string &key);

    /// Value of a key; empty if there is none.
    std::string bytesOf(const std::string &key) const;

    /// Creates keys of one value.
    void createKeys(const std::vector<std::string> &keys, const std::string &value);

    bool hasKey(const std::string &key) const;

    /// Changes the fault mode of the stand-in store.
    void setStoreMode(const nlohmann::json &mode);

    /// Submits a job of identical tasks. Without a 200 answer it retries through the next entry until the timeout.
    SubmitResult submit(const std::string &id, int tasks, int runMillis, bool bestEffort, Millis timeout) const;

    /// Same, with the payload of the tasks.
    SubmitResult submitPayload(const std::string &id, int tasks, const std::string &payload, bool bestEffort, Millis timeout) const;

    /// Submits a job of one task once.
    /// @return HTTP status of the answer; 0 if there was none in time
    int submitOnce(std::size_t entry, const std::string &id, Millis timeout) const;

    /// Metrics of an entry in the text format of Prometheus; empty if it does not answer.
    std::string metrics(std::size_t entry) const;

    /// Number of transactions with a write of a key that have reached the store, whether or not their conditions held.
    int writesOf(const std::string &key) const;

    /// Changes the capacity that a worker announces, in thousandths of a core.
    void setWorkerCpu(std::size_t index, int cpu) const;

    /// Begins a new incarnation of a worker under its id, which answers nothing for a time, and announces itself some time after that.
    void restartWorker(std::size_t index, Millis down, Millis announcement) const;

    /// Makes a worker leave starts and stops unanswered and keep them, or carry out later ones at once again.
    void holdOrders(std::size_t index, bool hold) const;

    /// Makes a worker leave renewals unanswered and send no heartbeats, or answer and send later ones again.
    void silenceWorker(std::size_t index, bool silent) const;

    /// Makes a worker carry out the starts and stops that it has kept, with their deadlines counted from now.
    void releaseOrders(std::size_t index) const;

    /// Largest number of tasks that ran on a worker at a time, of those started in a span of wall-clock time.
    std::size_t mostRunsAtOnce(std::size_t index, Millis from, Millis until) const;

    /// State of a job according to an entry; empty if it gives none.
    std::string state(const std::string &id) const;

    /// Number of starts of a job's tasks that the workers recorded.
    std::size_t starts(const std::string &id) const;

    Result<HttpResponse> call(std::size_t entry, const std::string &method, const std::string &path, const std::string &body = {}) const;

    std::vector<CellEntry> &entries();
    std::vector<WorkerNode> &workerNodes();

    /// Tasks of which two runs overlapped in time according to the workers' records.
    /// @param countUnended whether runs without a recorded end go on; they do unless their worker was killed
    std::vector<std::string> overlappingTasks(bool countUnended = false) const;

    /// Tasks that were started after a worker had been told to discard their result as done.
    std::vector<std::string> repeatedTasks() const;

    /// Number of runs of each task of which the workers recorded something, such as "done", "crashed", "noted" or "unanswered".
    std::map<std::string, int> endedRuns(const std::string &how) const;

    /// Index of the leader according to the metrics of the entries; waits until there is one.
    std::size_t leader() const;

private:
    void printLogs() const;
    std::uint16_t makeStorePath(std::unique_ptr<Relay> &relay) const;
    void postToStore(const std::string &path, const nlohmann::json &body) const;

    std::filesystem::path folder_;
    CellConfig config_;
    std::uint16_t storePort_ = 0;
    std::optional<Process> store_;
    std::vector<CellEntry> entries_;
    std::vector<WorkerNode> workerNodes_;
};

/// Formats a job id of 16 hexadecimal digits.
std::string jobId(int number);

} // namespace ibiswall::system
