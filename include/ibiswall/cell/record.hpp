// The stored form of a job: what survives the loss of every process.

#pragma once

#include <ibiswall/cell/model.hpp>

namespace ibiswall::cell {

/// Progress of a job that must not be forgotten.
struct JobProgress
{
    JobState state_ = JobState::Pending;
    /// Wall clock at the final state, 0 before.
    std::int64_t endedAt_ = 0;
    /// Per task in step order: whether a run ended as done. Empty when none did.
    std::vector<bool> done_;
    /// Runs that ended as failed, so that none counts twice: the task's place in step order, and the run's number.
    std::vector<std::pair<std::uint32_t, std::uint64_t>> failedRuns_;
};

/// A job as it is stored. The spec of a job in a final state is left out.
struct JobRecord
{
    JobSpec spec_;
    JobProgress progress_;
    /// Tells one submission from another under the same id.
    std::string nonce_;
};

/// Writes a record as CBOR.
std::string formatRecord(const JobRecord &record);

/// Reads a record.
/// @return Corrupt when the bytes are not a record
Result<JobRecord> parseRecord(std::string_view bytes);

} // namespace ibiswall::cell
