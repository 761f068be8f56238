// A made-up cell for seeded histories: targets, agents, links and dispatchers on one made-up clock.
//
// The world keeps its own plain record of what runs where. It knows nothing of how the dispatcher and the attendants
// decide, and only checks what a target would see.

#pragma once

#include "testparts.hpp"

#include <functional>
#include <ibiswall/cell/reports.hpp>
#include <queue>
#include <random>

namespace ibiswall::cell {

/// What a history contains, and which safeguard it leaves out.
struct SimulationSettings
{
    std::uint32_t seed_ = 1;
    int agents_ = 5;
    int jobs_ = 60;
    int faults_ = 12;
    /// Share of calls to targets without an answer, some of which are carried out seconds later.
    double lostCalls_ = 0.15;
    /// Left out to see that the checks notice: orders do not name the report that they rest on.
    bool ignoreReportNumbers_ = false;
    /// Left out likewise: reports that are older than what is known are taken in.
    bool acceptStaleReports_ = false;
    /// Left out likewise: a new dispatcher does not wait for the agents.
    bool skipReconciliation_ = false;
    /// Left out likewise: a new dispatcher takes jobs that are offered as new before the agents have reported.
    bool skipWaitForReports_ = false;
};

/// What a history came to.
struct SimulationResult
{
    std::vector<std::string> violations_;
    int completed_ = 0;
    int starts_ = 0;
    int takeovers_ = 0;
};

/// Plays one history to its end.
SimulationResult runSimulation(const SimulationSettings &settings);

} // namespace ibiswall::cell
