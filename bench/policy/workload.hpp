// The deployments and seeded workloads that the policies are measured on.

#pragma once

#include <ibiswall/core.hpp>
#include <string>
#include <vector>

namespace ibiswall::bench {

/// One kind of request and how often it is submitted.
struct KindShare
{
    std::string name_;
    Kind kind_;
    double share_ = 0;
};

/// One installation: its size, its delays and its kinds.
struct Deployment
{
    std::string name_;
    int domains_ = 3;
    int workers_ = 11;
    int slots_ = 8;
    int entries_ = 3;
    int members_ = 5;
    /// One way, entry to agent.
    Millis linkDelay_{1};
    /// One way, caller to entry.
    Millis callerDelay_{1};
    /// From the most valuable to the least valuable.
    std::vector<KindShare> kinds_;
};

/// One job that a caller submits.
struct JobSpec
{
    Millis at_;
    int member_ = 0;
    std::string kind_;
    /// Run time of each task.
    std::vector<Millis> runs_;
    /// When the caller cancels; zero for never.
    Millis cancelAt_;
};

/// What goes wrong, or right again.
enum class FaultKind {
    DomainOut,
    DomainIn,
    TargetFails,
    TargetHeals,
};

/// One fault; the index names the failure domain or the target.
struct Fault
{
    Millis at_;
    FaultKind kind_ = FaultKind::DomainOut;
    int index_ = 0;
};

/// One seeded workload; its jobs are ordered by time.
struct Workload
{
    std::string name_;
    std::vector<JobSpec> jobs_;
    std::vector<Fault> faults_;
    /// The shared queue with perfect knowledge bounds this workload.
    bool bounded_ = false;
};

/// Tasks of this kind fail on every target.
constexpr const char *hopelessKind = "hopeless";
/// Large jobs use this kind.
constexpr const char *batchKind = "batch";
/// Arrivals end here.
constexpr Millis workloadEnd{40000};
/// Start and end of the fault in workloads that have one.
constexpr Millis faultStart{12000};
constexpr Millis faultEnd{25000};

/// Both deployments of the brief.
std::vector<Deployment> makeDeployments();

/// All workloads for a deployment.
std::vector<Workload> makeWorkloads(const Deployment &deployment, std::uint64_t seed);

} // namespace ibiswall::bench
