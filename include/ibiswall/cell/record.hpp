// The stored form of a job, from which it is recovered after the loss of all processes.

#pragma once

#include <ibiswall/cell/model.hpp>

namespace ibiswall::cell {

/// A run during which its target crashed.
struct StoredCrash
{
    /// Index of the task in step order.
    std::uint32_t task_ = 0;
    std::uint64_t run_ = 0;
    /// Whether the run may have been the cause.
    bool suspected_ = false;
    /// Whether the target had confirmed the start of the run.
    bool started_ = false;
};

/// Progress of a job that must survive a takeover.
struct JobProgress
{
    JobState state_ = JobState::Pending;
    /// Wall-clock time of the final state in milliseconds, 0 before.
    std::int64_t endedAt_ = 0;
    /// Per task in step order: whether a run ended as done. Empty when none did.
    std::vector<bool> done_;
    /// Runs that ended as failed, by index of the task in step order and run number, so that none is counted twice.
    std::vector<std::pair<std::uint32_t, std::uint64_t>> failedRuns_;
    std::vector<StoredCrash> crashes_;
};

/// A job as it is stored. In a final state the payload and the steps are left out.
struct JobRecord
{
    JobSpec spec_;
    JobProgress progress_;
    /// Distinguishes submissions under the same id.
    std::string nonce_;
};

/// Encodes a record as CBOR.
std::string formatRecord(const JobRecord &record);

/// Decodes a record.
/// @return Corrupt when the bytes are not a record
Result<JobRecord> parseRecord(std::string_view bytes);

} // namespace ibiswall::cell
