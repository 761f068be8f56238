// The figures that are printed for a run.

#pragma once

#include "simulation.hpp"

namespace ibiswall::bench {

/// The measures of one run.
struct Measures
{
    /// Response time over the ideal, of complete jobs.
    double p50_ = 0;
    double p99_ = 0;
    double mean_ = 0;
    /// Messages for each finished task: refused orders and futile runs; control apart.
    double wasted_ = 0;
    double control_ = 0;
    /// Useful work over the lesser of what was offered and what the slots can do, in percent.
    double work_ = 0;
    /// Jobs complete, in percent.
    double complete_ = 0;
    /// Complete jobs of the most valuable and of the least valuable kind, in percent.
    double best_ = 0;
    double least_ = 0;
    /// Lowest share of work that a member got over its fair share, in percent.
    double fair_ = 0;
    /// Median wait for the answer to a job that was not complete, in milliseconds.
    double refusalWait_ = 0;
    /// During a domain's absence, and in the five seconds after its return, in percent of the slots in service.
    double workOut_ = 0;
    double workBack_ = 0;
    /// Response time over the ideal of jobs that arrive in the five seconds after the return.
    double p99Back_ = 0;
    std::uint64_t faultyCalls_ = 0;
};

/// Works the measures of a run out.
Measures measure(const Deployment &deployment, const Workload &workload, const RunResult &result);

} // namespace ibiswall::bench
