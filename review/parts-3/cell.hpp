// A small deployment on loopback addresses: the programs of the deploy file as processes, with settings rendered from its templates,
// between the stand-ins of the store and of the workers.

#pragma once

#include "store.hpp"
#include "worker.hpp"

#include <filesystem>
#include <sys/types.h>

namespace review {

struct Node
{
    std::string name_;
    std::string command_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    std::uint16_t storePort_ = 0;
    /// Of an entry.
    std::uint16_t callersPort_ = 0;
    std::uint16_t readyPort_ = 0;
    std::uint16_t metricsPort_ = 0;
    pid_t process_ = 0;
};

struct CellOptions
{
    int entries_ = 2;
    int workers_ = 3;
    /// Labels by worker; the last ones have "a" if there are fewer.
    std::vector<std::vector<std::string>> labels_ = {};
    std::int64_t workerCpu_ = 8000;
};

struct Answer
{
    int status_ = 0;
    std::string state_;
};

/// All processes end with it.
class Cell
{
public:
    explicit Cell(const CellOptions &options);
    ~Cell();
    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    /// Starts everything and waits until a job has run on every worker's agent, or a time has passed.
    bool start();

    void startProcess(Node &node);
    static void sendSignal(const Node &node, int number);

    /// Kills a process, and starts it again after a time.
    void killAndRestart(Node &node, std::int64_t afterMs);

    /// Writes the configuration with these queues; each has the prefix "/NAME/".
    void configure(int version, const std::vector<std::string> &queues);

    Answer submit(std::size_t entry, const std::string &queue, const std::string &id, const nlohmann::json &step, std::int64_t deadlineMs);
    Answer submitSteps(
        std::size_t entry, const std::string &queue, const std::string &id, const nlohmann::json &steps, std::int64_t deadlineMs);
    Answer state(std::size_t entry, const std::string &queue, const std::string &id);
    Answer cancel(std::size_t entry, const std::string &queue, const std::string &id);

    /// Whether an entry leads, by its metrics.
    bool leads(std::size_t entry) const;

    std::vector<Run> allRuns() const;

    /// The stand-ins live until the process ends, since their threads use them.
    Store &store_;
    std::vector<Node> entries_;
    std::vector<Node> agents_;
    std::vector<Worker *> workers_;

private:
    Answer request(std::size_t entry,
                   const std::string &method,
                   const std::string &queue,
                   const std::string &id,
                   const std::string &body,
                   std::int64_t deadlineMs);

    std::filesystem::path folder_;
};

/// A step of tasks of equal duration.
nlohmann::json stepOf(int tasks, std::int64_t cpu, std::int64_t durationMs);

std::string jobId(std::uint64_t number);

/// The part of a task's name that names its job.
std::string jobOf(const std::string &task);

/// False if TROUBLE=0 asks for a run without the disruption.
bool isTroubled();

/// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int runCase(int argc, char **argv, int (*scenario)());

} // namespace review
