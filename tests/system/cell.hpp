// A cell of real processes on loopback: a stand-in store, entries, and workers with an agent each.

#pragma once

#include "process.hpp"

#include <filesystem>
#include <ibiswall/net.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace ibiswall::system {

struct CellShape
{
    int entries_ = 2;
    int workers_ = 4;
    /// Share of the workers' orders that are not answered and carried out late.
    double lostOrders_ = 0;
    /// How long the final states of jobs are kept.
    Millis keepStates_{120000};
};

/// A worker and the agent beside it.
struct CellPlace
{
    std::string name_;
    std::uint16_t workerPort_ = 0;
    std::uint16_t agentPort_ = 0;
    std::filesystem::path settings_;
    std::filesystem::path record_;
    std::optional<Process> worker_;
    std::optional<Process> agent_;
};

struct CellEntry
{
    std::string name_;
    std::uint16_t callersPort_ = 0;
    std::uint16_t readyPort_ = 0;
    std::uint16_t metricsPort_ = 0;
    std::filesystem::path settings_;
    std::optional<Process> process_;
};

/// How a caller's job ended.
struct JobAnswer
{
    /// Status of the last answer, 0 when there was none.
    int status_ = 0;
    std::string state_;
    /// Times that the job was sent.
    int sends_ = 0;
};

/// Starts everything, and ends everything when destroyed.
class Cell
{
public:
    explicit Cell(const CellShape &shape);
    ~Cell();
    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    void startEntry(std::size_t index);
    void startWorker(std::size_t index);
    void startAgent(std::size_t index);

    /// Waits until a job runs to its end.
    void awaitService();

    /// Writes what operators write.
    void write(const std::string &key, const nlohmann::json &value);
    void remove(const std::string &key);

    /// Switches the stand-in store.
    void setStore(const nlohmann::json &mode);

    /// Submits a job of tasks alike, as a caller who asks again, through other entries, when the answer is lost.
    JobAnswer submit(const std::string &id, int tasks, int runMillis, bool ephemeral, Millis patience) const;

    Result<HttpResponse> call(std::size_t entry, const std::string &method, const std::string &path, const std::string &body = {}) const;

    std::vector<CellEntry> &entries();
    std::vector<CellPlace> &places();

    /// Tasks that ran twice at the same time according to the workers' records.
    std::vector<std::string> overlaps() const;

    /// Ends recorded as done, by task.
    std::map<std::string, int> done() const;

    /// Index of the entry that leads, as the metrics tell.
    std::size_t leader() const;

private:
    void callStore(const std::string &path, const nlohmann::json &body) const;

    std::filesystem::path folder_;
    CellShape shape_;
    std::uint16_t storePort_ = 0;
    std::optional<Process> store_;
    std::vector<CellEntry> entries_;
    std::vector<CellPlace> places_;
};

/// An id of 16 hexadecimal digits.
std::string jobId(int number);

} // namespace ibiswall::system
