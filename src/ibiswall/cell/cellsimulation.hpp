// Simulated cell with targets, agents, links and dispatchers on one simulated clock, driven by a seed.
// The simulation keeps its own record of what runs where. It does not depend on the decisions of the dispatcher and the
// supervisors, and checks only what a target would observe.

#pragma once

#include "testparts.hpp"

#include <functional>
#include <ibiswall/cell/reports.hpp>
#include <queue>
#include <random>

namespace ibiswall::cell {

/// Contents of a scenario, and safeguards to disable.
struct SimulationSettings
{
    std::uint32_t seed_ = 1;
    int agents_ = 5;
    int jobs_ = 60;
    int faults_ = 12;
    /// Share of calls to targets without a reply, some of which are carried out seconds later.
    double lostCalls_ = 0.15;
    /// Share of jobs whose first task crashes every target that starts it.
    double crashingJobs_ = 0;
    /// Most results that a target lists at a time.
    std::size_t listedResults_ = 500;
    /// Times that the capacity of a target shrinks or grows.
    int capacityChanges_ = 0;
    /// Time in ms after which a new dispatcher has read the stored jobs. It begins without them, as after a planned handover.
    int storeReadMillis_ = 0;
    /// Times that an agent restarts besides the faults.
    int agentRestarts_ = 0;
    /// Whether the lease of a late start counts from when it is carried out.
    bool renewLateLeases_ = false;
    /// Disables a safeguard to verify that the checks detect it: orders do not name the report that they are based on.
    bool ignoreReportNumbers_ = false;
    /// Same: the processes of an agent use one fence in an epoch.
    bool ignoreTerms_ = false;
    /// Same: reports older than the accepted ones are applied.
    bool acceptStaleReports_ = false;
    /// Same: a new dispatcher does not wait for the agents.
    bool skipReconciliation_ = false;
    /// Same: a new dispatcher accepts offers of new jobs before the agents have reported.
    bool skipWaitForReports_ = false;
    /// Same: a list of results that may be cut off is taken for a whole one.
    bool ignoreUnlistedResults_ = false;
    /// Same: a new dispatcher accepts offers of stored jobs before it has read these.
    bool skipWaitForRead_ = false;
};

/// Outcome of a scenario.
struct SimulationResult
{
    std::vector<std::string> violations_;
    int completed_ = 0;
    int starts_ = 0;
    int takeovers_ = 0;
    int crashes_ = 0;
};

/// Runs one scenario to its end.
SimulationResult runSimulation(const SimulationSettings &settings);

} // namespace ibiswall::cell
