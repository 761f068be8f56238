// Measures computed from the result of one simulation.

#pragma once

#include "simulation.hpp"

namespace ibiswall::bench {

/// Measures of one simulation. A slowdown is the response time of a complete job over its ideal response time.
struct Measures
{
    double p50Slowdown_ = 0;
    double p99Slowdown_ = 0;
    double meanSlowdown_ = 0;
    /// Rejected orders and futile runs, and separately control messages, per finished task.
    double wastedPerTask_ = 0;
    double controlPerTask_ = 0;
    /// Useful work over the smaller of offered work and capacity, in percent.
    double workPercent_ = 0;
    /// Complete jobs, in percent.
    double completePercent_ = 0;
    /// Complete jobs of the most valuable and of the least valuable kind, in percent.
    double mostValuablePercent_ = 0;
    double leastValuablePercent_ = 0;
    /// Smallest ratio of completed work to fair share over all members, in percent.
    double minFairnessPercent_ = 0;
    /// Median response time of answered jobs that were not complete, in milliseconds.
    double incompleteWaitMillis_ = 0;
    /// Utilization of the slots in service during the outage of a failure domain, and in the 5 s after its return, in percent.
    double outageUtilizationPercent_ = 0;
    double recoveryUtilizationPercent_ = 0;
    /// Slowdown of jobs that arrive in the 5 s after the return.
    double p99RecoverySlowdown_ = 0;
    /// Tasks that failed because their target was failing.
    std::uint64_t faultyCalls_ = 0;
};

/// Computes the measures of one simulation.
Measures measure(const Deployment &deployment, const Workload &workload, const SimulationResult &result);

} // namespace ibiswall::bench
