// Callers that submit job after job.

#pragma once

#include "cluster.hpp"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace ibiswall::system {

/// Submits jobs of the kind `note` from several threads until told to stop.
class Load
{
public:
    /// @param callers number of threads; they are spread over the entries
    /// @param tasks number of tasks of each job
    Load(const Cluster &cluster, std::size_t callers, std::size_t tasks);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Stops after the jobs in progress.
    /// @return every answer received
    std::vector<Json> finish();

    /// Submissions that got no answer, because the connection or the time ended.
    std::size_t unanswered() const;

private:
    void run(std::size_t entry);

    const Cluster &cluster_;
    std::size_t tasks_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::vector<Json> answers_;
    std::size_t unanswered_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace ibiswall::system
