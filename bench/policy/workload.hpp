// Deployments and seeded workloads on which dispatch policies are compared.

#pragma once

#include <ibiswall/core.hpp>
#include <string>
#include <vector>

namespace ibiswall::bench {

/// One kind of request and its fraction of the submitted jobs.
struct KindShare
{
    std::string name_;
    Kind kind_;
    double share_ = 0;
};

/// One deployment: size, network delays and kinds of requests.
struct Deployment
{
    std::string name_;
    int domains_ = 3;
    int workers_ = 11;
    int slots_ = 8;
    int entries_ = 3;
    int members_ = 5;
    /// One-way delay between entry and agent.
    Millis linkDelay_{1};
    /// One-way delay between caller and entry.
    Millis callerDelay_{1};
    /// In order of decreasing value.
    std::vector<KindShare> kinds_;
};

/// One job that a caller submits.
struct JobSpec
{
    Millis at_;
    int member_ = 0;
    std::string kind_;
    /// Nominal run time of each task.
    std::vector<Millis> runTimes_;
    /// When the caller cancels the job; zero if it does not.
    Millis cancelAt_;
};

/// Start or end of a fault.
enum class FaultKind {
    DomainOut,
    DomainIn,
    TargetFails,
    TargetRecovers,
};

/// One fault; index_ is the failure domain or the target.
struct Fault
{
    Millis at_;
    FaultKind kind_ = FaultKind::DomainOut;
    int index_ = 0;
};

/// One seeded workload; jobs are sorted by arrival time.
struct Workload
{
    std::string name_;
    std::vector<JobSpec> jobs_;
    std::vector<Fault> faults_;
    /// Whether the shared queue of simulateSharedQueue() is printed as a reference.
    bool hasSharedQueueBound_ = false;
};

/// Tasks of this kind fail on every target.
constexpr const char *failingKind = "hopeless";
/// Kind of the large jobs.
constexpr const char *batchKind = "batch";
/// Time of the last arrival.
constexpr Millis arrivalsEnd{40000};
/// Interval of the fault in workloads that have one.
constexpr Millis faultStart{12000};
constexpr Millis faultEnd{25000};

/// The two reference deployments.
std::vector<Deployment> makeDeployments();

/// All workloads for a deployment; equal seeds give equal workloads.
std::vector<Workload> makeWorkloads(const Deployment &deployment, std::uint64_t seed);

} // namespace ibiswall::bench
