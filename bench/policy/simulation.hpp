// Simulates one workload on entries and agents with a simulated clock.

#pragma once

#include "naive.hpp"
#include "workload.hpp"
#include <array>
#include <variant>

namespace ibiswall::bench {

/// Simulated time in seconds, including the time after the last arrival in which the queues drain.
constexpr std::size_t simulatedSeconds = 75;

/// An entry that runs either the dispatcher or a naive policy.
using Entry = std::variant<Dispatcher, NaiveEntry>;

/// Result of one job.
struct JobResult
{
    /// When the caller received the answer; zero if it never did.
    Millis answeredAt_;
    Code code_ = Code::Ok;
    /// Whether the answer contains no tasks: the entry refused the job as a whole.
    bool refused_ = false;
    std::size_t tasksDone_ = 0;
    /// Sum of the nominal run times of the completed tasks, in milliseconds.
    double workDoneMillis_ = 0;
};

/// Results and counters of one simulation.
struct SimulationResult
{
    /// One for each job, in the order of the workload.
    std::vector<JobResult> jobs_;
    /// Nominal run time of completed tasks in milliseconds, by the second in which they ran.
    std::array<double, simulatedSeconds> workBySecond_{};
    std::uint64_t orders_ = 0;
    /// Orders that agents reported as not run.
    std::uint64_t rejectedOrders_ = 0;
    /// Runs that started after the job was cancelled, or ended after it was answered.
    std::uint64_t futileRuns_ = 0;
    /// Lease renewals and their replies, counted until the last arrival.
    std::uint64_t controlMessages_ = 0;
    std::uint64_t tasksDone_ = 0;
    std::uint64_t tasksFailed_ = 0;
    /// Tasks that failed because their target was failing.
    std::uint64_t faultyCalls_ = 0;
};

/// Simulates a workload under a naive policy, or under the dispatcher if none is given.
SimulationResult simulate(const Deployment &deployment, const Workload &workload, std::optional<NaivePolicy> naive, std::uint64_t seed);

/// Simulates one shared first-in-first-out queue over all slots, without faults and
/// with perfect knowledge of when slots become free, as a reference.
SimulationResult simulateSharedQueue(const Deployment &deployment, const Workload &workload);

} // namespace ibiswall::bench
