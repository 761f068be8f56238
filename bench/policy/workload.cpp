// Generates arrivals, run times and faults from a seed.

#include "workload.hpp"

#include <algorithm>
#include <cmath>

namespace ibiswall::bench {

namespace {

constexpr double minRunMillis = 50;
constexpr double maxRunMillis = 1000;
constexpr double maxHeavyTailRunMillis = 5000;
constexpr double paretoShape = 1.1;
constexpr double singleTaskShare = 0.7;
constexpr int maxSmallJobTasks = 8;
constexpr std::size_t largeJobTasks = 910;
constexpr Millis urgentDeadline{3000};
constexpr Millis batchDeadline{30000};

/// Parameters of a workload; load is offered work over capacity, shares are fractions of the jobs.
struct LoadProfile
{
    double load_ = 0.7;
    bool heavyTail_ = false;
    /// Factor on the load during a burst: the last 500 ms of every 10 s.
    double burstFactor_ = 1;
    double failingShare_ = 0;
    /// Applies only to jobs that arrive during the fault interval.
    double cancelShare_ = 0;
    /// Additional load from member 0.
    double floodLoad_ = 0;
};

double uniform(Random &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

/// Log-uniform run time, or a truncated Pareto distribution for a heavy tail.
Millis sampleRunTime(Random &random, bool heavyTail)
{
    const double u = uniform(random);
    if (!heavyTail) {
        return {std::llround(minRunMillis * std::pow(maxRunMillis / minRunMillis, u))};
    }
    const double cdfAtMax = 1 - std::pow(minRunMillis / maxHeavyTailRunMillis, paretoShape);
    return {std::llround(minRunMillis / std::pow(1 - u * cdfAtMax, 1 / paretoShape))};
}

/// Monte Carlo estimate with a fixed seed, in milliseconds.
double meanRunTime(bool heavyTail)
{
    constexpr int samples = 20000;
    Random random(1);
    double sum = 0;
    for (int i = 0; i < samples; ++i) {
        sum += static_cast<double>(sampleRunTime(random, heavyTail).count_);
    }
    return sum / samples;
}

std::size_t sampleTaskCount(Random &random)
{
    return uniform(random) < singleTaskShare ? 1 : 2 + drawIndex(random, maxSmallJobTasks - 1);
}

std::string sampleKind(Random &random, const Deployment &deployment)
{
    double remaining = uniform(random);
    for (const KindShare &candidate : deployment.kinds_) {
        remaining -= candidate.share_;
        if (remaining < 0) {
            return candidate.name_;
        }
    }
    return deployment.kinds_.front().name_;
}

JobSpec sampleJob(Random &random, const Deployment &deployment, const LoadProfile &profile, Millis at)
{
    JobSpec job;
    job.at_ = at;
    job.member_ = static_cast<int>(drawIndex(random, static_cast<std::size_t>(deployment.members_)));
    job.kind_ = uniform(random) < profile.failingShare_ ? failingKind : sampleKind(random, deployment);
    const std::size_t tasks = sampleTaskCount(random);
    for (std::size_t i = 0; i < tasks; ++i) {
        job.runTimes_.push_back(sampleRunTime(random, profile.heavyTail_));
    }
    if (uniform(random) < profile.cancelShare_ && at >= faultStart && at < faultEnd) {
        job.cancelAt_ = at + sampleRunTime(random, false);
    }
    return job;
}

double loadAt(const LoadProfile &profile, Millis at)
{
    constexpr std::int64_t burstPeriodMillis = 10000;
    constexpr std::int64_t burstLengthMillis = 500;
    const bool inBurst = at.count_ % burstPeriodMillis >= burstPeriodMillis - burstLengthMillis;
    return inBurst ? profile.load_ * profile.burstFactor_ : profile.load_;
}

/// Adds jobs with exponential interarrival times at the rate that gives the load of the profile.
void addArrivals(Random &random, const Deployment &deployment, const LoadProfile &profile, std::vector<JobSpec> &jobs)
{
    constexpr double meanTasks = singleTaskShare + (1 - singleTaskShare) * (2 + maxSmallJobTasks) / 2.0;
    const double slots = deployment.workers_ * deployment.slots_;
    const double jobsPerMillisecond = slots / (meanRunTime(profile.heavyTail_) * meanTasks);
    double at = 0;
    while (at < static_cast<double>(arrivalsEnd.count_)) {
        const Millis now{static_cast<std::int64_t>(at)};
        jobs.push_back(sampleJob(random, deployment, profile, now));
        at += std::exponential_distribution<double>(jobsPerMillisecond * loadAt(profile, now))(random);
    }
}

Workload makeWorkload(std::string name, const Deployment &deployment, const LoadProfile &profile, std::uint64_t seed)
{
    Random random(seed);
    Workload workload;
    workload.name_ = std::move(name);
    addArrivals(random, deployment, profile, workload.jobs_);
    if (profile.floodLoad_ > 0) {
        std::vector<JobSpec> flood;
        LoadProfile floodProfile = profile;
        floodProfile.load_ = profile.floodLoad_;
        addArrivals(random, deployment, floodProfile, flood);
        for (JobSpec &job : flood) {
            job.member_ = 0;
            workload.jobs_.push_back(std::move(job));
        }
    }
    std::stable_sort(workload.jobs_.begin(), workload.jobs_.end(), [](const JobSpec &a, const JobSpec &b) { return a.at_ < b.at_; });
    return workload;
}

Workload withFault(Workload workload, FaultKind begin, FaultKind end)
{
    workload.faults_ = {{faultStart, begin, 0}, {faultEnd, end, 0}};
    return workload;
}

/// Adds one large job every 8 s.
Workload withLargeJobs(Workload workload, Random &random)
{
    constexpr std::int64_t periodMillis = 8000;
    for (std::int64_t at = 1000; at < arrivalsEnd.count_; at += periodMillis) {
        JobSpec job;
        job.at_ = {at};
        job.kind_ = batchKind;
        for (std::size_t i = 0; i < largeJobTasks; ++i) {
            job.runTimes_.push_back(sampleRunTime(random, false));
        }
        workload.jobs_.push_back(std::move(job));
    }
    std::stable_sort(workload.jobs_.begin(), workload.jobs_.end(), [](const JobSpec &a, const JobSpec &b) { return a.at_ < b.at_; });
    return workload;
}

Workload withSharedQueueBound(Workload workload)
{
    workload.hasSharedQueueBound_ = true;
    return workload;
}

/// Adds the kinds that every deployment has besides its own.
void addSharedKinds(Deployment &deployment)
{
    deployment.kinds_.push_back({failingKind, {1, false, urgentDeadline}, 0});
    deployment.kinds_.push_back({batchKind, {1, false, batchDeadline}, 0});
}

} // namespace

std::vector<Deployment> makeDeployments()
{
    Deployment kowalchuk;
    kowalchuk.name_ = "kowalchuk";
    kowalchuk.kinds_ = {{"chair-placement", {3, false, urgentDeadline}, 0.3},
                        {"panel-reservation", {2, false, urgentDeadline}, 0.3},
                        {"repertoire-check", {1, true, urgentDeadline}, 0.4}};
    Deployment cuidado;
    cuidado.name_ = "cuidado-cilios";
    cuidado.callerDelay_ = {3};
    cuidado.kinds_ = {{"glue-alert", {3, false, urgentDeadline}, 0.1},
                      {"care-note", {2, false, urgentDeadline}, 0.4},
                      {"retention-reminder", {1, false, urgentDeadline}, 0.5}};
    addSharedKinds(kowalchuk);
    addSharedKinds(cuidado);
    return {kowalchuk, cuidado};
}

std::vector<Workload> makeWorkloads(const Deployment &deployment, std::uint64_t seed)
{
    Random random(seed);
    std::vector<Workload> workloads;
    const auto add = [&](const char *name, const LoadProfile &profile) {
        workloads.push_back(makeWorkload(name, deployment, profile, seed));
    };
    add("steady-30", {0.3});
    workloads.push_back(withSharedQueueBound(makeWorkload("steady-70", deployment, {0.7}, seed)));
    workloads.push_back(withSharedQueueBound(makeWorkload("steady-90", deployment, {0.9}, seed)));
    add("steady-130", {1.3});
    add("flood", {0.6, false, 1, 0, 0, 1.2});
    workloads.push_back(
        withFault(makeWorkload("worker-fails-all", deployment, {0.7}, seed), FaultKind::TargetFails, FaultKind::TargetRecovers));
    workloads.push_back(withFault(makeWorkload("domain-out-and-back", deployment, {0.9}, seed), FaultKind::DomainOut, FaultKind::DomainIn));
    add("bursts", {0.4, false, 10});
    workloads.push_back(withSharedQueueBound(makeWorkload("heavy-tail", deployment, {0.7, true}, seed)));
    add("cancellations", {0.9, false, 1, 0, 0.5});
    add("never-runnable", {0.6, false, 1, 0.3});
    workloads.push_back(withLargeJobs(makeWorkload("jobs-of-910", deployment, {0.3}, seed), random));
    return workloads;
}

} // namespace ibiswall::bench
