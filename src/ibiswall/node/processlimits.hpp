// What a process of a cell holds for its clients, derived from its memory and its file descriptors.

#pragma once

#include <ibiswall/base/budget.hpp>
#include <ibiswall/cell/model.hpp>

namespace ibiswall::node {

struct ProcessLimits
{
    /// Buffers of connections, bodies being received and replies not yet written.
    std::shared_ptr<Budget> connections_;
    /// Jobs that this entry has accepted and that have not ended, without their tasks.
    std::shared_ptr<Budget> jobs_;
    /// What a leader holds for the stored jobs that the entries of the cell have accepted; each entry uses an equal part.
    std::shared_ptr<Budget> durableJobs_;
    /// Jobs of this leader with their tasks.
    std::shared_ptr<Budget> leaderJobs_;
    /// Frames of links that are incomplete or not sent yet.
    std::shared_ptr<Budget> links_;
    /// Connections of callers.
    std::size_t maxConnections_ = 0;
    /// State reads of jobs that the entry does not know, and cancels that wait, each. Each may hold a connection to the store.
    std::size_t maxLookups_ = 0;
};

/// @param memory megabytes; 0 for a default
/// @param maxDescriptors 0 for the limit of the process
ProcessLimits processLimits(std::size_t memory, std::size_t maxDescriptors);

/// What a leader with this memory holds for stored jobs: the limit of ProcessLimits::durableJobs_, in bytes.
std::size_t durableJobLimit(std::size_t memory);

/// The method itself if callers may use it, otherwise `other`, so that clients cannot create metrics.
std::string methodLabel(const std::string &method);

} // namespace ibiswall::node
