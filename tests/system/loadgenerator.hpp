// Submits jobs continuously from several threads.

#pragma once

#include "cluster.hpp"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace ibiswall::system {

/// Submits jobs of the kind `note` until finish() is called; each thread sends one job at a time.
class LoadGenerator
{
public:
    /// @param callers number of threads, assigned to the entries in turn
    /// @param tasksPerJob number of tasks of each job
    LoadGenerator(const Cluster &cluster, std::size_t callers, std::size_t tasksPerJob);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /// Stops after the jobs in progress have been answered.
    /// @return every answer received
    std::vector<Json> finish();

    /// Number of submissions without a valid answer, because the connection was closed or the call timed out.
    std::size_t unanswered() const;

private:
    void run(std::size_t entry);

    const Cluster &cluster_;
    std::size_t tasksPerJob_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::vector<Json> answers_;
    std::size_t unanswered_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace ibiswall::system
