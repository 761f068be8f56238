// Runs one workload through entries and agents on a made-up clock.

#pragma once

#include "naive.hpp"
#include "workload.hpp"
#include <array>
#include <variant>

namespace ibiswall::bench {

/// Length of the measured time in seconds, arrivals and drain together.
constexpr std::size_t simulatedSeconds = 75;

/// An entry under some policy.
using Entry = std::variant<Dispatcher, NaiveEntry>;

/// What became of one job.
struct JobResult
{
    /// When the caller had the answer; zero for never.
    Millis answered_;
    Code code_ = Code::Ok;
    /// Whether it ended without any task sent, for overload.
    bool refused_ = false;
    std::size_t tasksDone_ = 0;
    /// Run time of the tasks done.
    double workDone_ = 0;
};

/// What a run counted.
struct RunResult
{
    /// One for each job of the workload, in order.
    std::vector<JobResult> jobs_;
    /// Useful run time in milliseconds, by the second in which it was spent.
    std::array<double, simulatedSeconds> work_{};
    std::uint64_t orders_ = 0;
    std::uint64_t refusedOrders_ = 0;
    /// Tasks that ran although their job had been cancelled or answered.
    std::uint64_t futile_ = 0;
    /// Renewals and grants while jobs arrive.
    std::uint64_t control_ = 0;
    std::uint64_t tasksDone_ = 0;
    std::uint64_t tasksFailed_ = 0;
    /// Tasks that the faulty target failed.
    std::uint64_t faultyCalls_ = 0;
};

/// Runs a workload under the dispatcher's own policy, or a naive one.
RunResult simulate(const Deployment &deployment, const Workload &workload, std::optional<NaivePolicy> naive, std::uint64_t seed);

/// Answers every job from one shared first-come queue over all slots, with run times known.
RunResult simulateSharedQueue(const Deployment &deployment, const Workload &workload);

} // namespace ibiswall::bench
