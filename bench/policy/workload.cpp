// Draws arrivals, run times and faults from a seed.

#include "workload.hpp"

#include <algorithm>
#include <cmath>

namespace ibiswall::bench {

namespace {

constexpr double shortestRun = 50;
constexpr double longestRun = 1000;
constexpr double longestHeavyRun = 5000;
constexpr double heavyShape = 1.1;
constexpr double singleTaskShare = 0.7;
constexpr int largestSmallJob = 8;
constexpr std::size_t largeJob = 910;
constexpr Millis urgentDeadline{3000};
constexpr Millis batchDeadline{30000};

struct Shape
{
    double load_ = 0.7;
    bool heavyTail_ = false;
    /// Load multiplied by this between burstPeriod starts.
    double burst_ = 1;
    double hopelessShare_ = 0;
    double cancelShare_ = 0;
    /// Load that member 0 sends on top.
    double flood_ = 0;
};

double uniform(Random &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

Millis drawRun(Random &random, bool heavyTail)
{
    const double u = uniform(random);
    if (!heavyTail) {
        return {std::llround(shortestRun * std::pow(longestRun / shortestRun, u))};
    }
    const double cut = 1 - std::pow(shortestRun / longestHeavyRun, heavyShape);
    return {std::llround(shortestRun / std::pow(1 - u * cut, 1 / heavyShape))};
}

double meanRun(bool heavyTail)
{
    constexpr int samples = 20000;
    Random random(1);
    double sum = 0;
    for (int i = 0; i < samples; ++i) {
        sum += static_cast<double>(drawRun(random, heavyTail).count_);
    }
    return sum / samples;
}

std::size_t drawTasks(Random &random)
{
    return uniform(random) < singleTaskShare ? 1 : 2 + drawIndex(random, largestSmallJob - 1);
}

std::string drawKind(Random &random, const Deployment &deployment)
{
    double left = uniform(random);
    for (const KindShare &each : deployment.kinds_) {
        left -= each.share_;
        if (left < 0) {
            return each.name_;
        }
    }
    return deployment.kinds_.front().name_;
}

JobSpec drawJob(Random &random, const Deployment &deployment, const Shape &shape, Millis at)
{
    JobSpec job;
    job.at_ = at;
    job.member_ = static_cast<int>(drawIndex(random, static_cast<std::size_t>(deployment.members_)));
    job.kind_ = uniform(random) < shape.hopelessShare_ ? hopelessKind : drawKind(random, deployment);
    const std::size_t tasks = drawTasks(random);
    for (std::size_t i = 0; i < tasks; ++i) {
        job.runs_.push_back(drawRun(random, shape.heavyTail_));
    }
    if (uniform(random) < shape.cancelShare_ && at >= faultStart && at < faultEnd) {
        job.cancelAt_ = at + drawRun(random, false);
    }
    return job;
}

double loadAt(const Shape &shape, Millis at)
{
    constexpr std::int64_t burstPeriod = 10000;
    constexpr std::int64_t burstLength = 500;
    const bool burst = at.count_ % burstPeriod >= burstPeriod - burstLength;
    return burst ? shape.load_ * shape.burst_ : shape.load_;
}

void addArrivals(Random &random, const Deployment &deployment, const Shape &shape, std::vector<JobSpec> &jobs)
{
    constexpr double meanTasks = singleTaskShare + (1 - singleTaskShare) * (2 + largestSmallJob) / 2.0;
    const double slots = deployment.workers_ * deployment.slots_;
    const double jobsPerMilli = slots / (meanRun(shape.heavyTail_) * meanTasks);
    double at = 0;
    while (at < static_cast<double>(workloadEnd.count_)) {
        const Millis now{static_cast<std::int64_t>(at)};
        jobs.push_back(drawJob(random, deployment, shape, now));
        at += std::exponential_distribution<double>(jobsPerMilli * loadAt(shape, now))(random);
    }
}

Workload makeWorkload(std::string name, const Deployment &deployment, const Shape &shape, std::uint64_t seed)
{
    Random random(seed);
    Workload workload;
    workload.name_ = std::move(name);
    addArrivals(random, deployment, shape, workload.jobs_);
    if (shape.flood_ > 0) {
        std::vector<JobSpec> flood;
        Shape only = shape;
        only.load_ = shape.flood_;
        addArrivals(random, deployment, only, flood);
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

Workload withLargeJobs(Workload workload, Random &random)
{
    constexpr std::int64_t period = 8000;
    for (std::int64_t at = 1000; at < workloadEnd.count_; at += period) {
        JobSpec job;
        job.at_ = {at};
        job.kind_ = batchKind;
        for (std::size_t i = 0; i < largeJob; ++i) {
            job.runs_.push_back(drawRun(random, false));
        }
        workload.jobs_.push_back(std::move(job));
    }
    std::stable_sort(workload.jobs_.begin(), workload.jobs_.end(), [](const JobSpec &a, const JobSpec &b) { return a.at_ < b.at_; });
    return workload;
}

Workload bounded(Workload workload)
{
    workload.bounded_ = true;
    return workload;
}

void addCommonKinds(Deployment &deployment)
{
    deployment.kinds_.push_back({hopelessKind, {1, false, urgentDeadline}, 0});
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
    addCommonKinds(kowalchuk);
    addCommonKinds(cuidado);
    return {kowalchuk, cuidado};
}

std::vector<Workload> makeWorkloads(const Deployment &deployment, std::uint64_t seed)
{
    Random random(seed);
    std::vector<Workload> all;
    const auto add = [&](const char *name, const Shape &shape) {
        all.push_back(makeWorkload(name, deployment, shape, seed));
    };
    add("steady-30", {0.3});
    all.push_back(bounded(makeWorkload("steady-70", deployment, {0.7}, seed)));
    all.push_back(bounded(makeWorkload("steady-90", deployment, {0.9}, seed)));
    add("steady-130", {1.3});
    add("flood", {0.6, false, 1, 0, 0, 1.2});
    all.push_back(withFault(makeWorkload("worker-fails-all", deployment, {0.7}, seed), FaultKind::TargetFails, FaultKind::TargetHeals));
    all.push_back(withFault(makeWorkload("domain-out-and-back", deployment, {0.9}, seed), FaultKind::DomainOut, FaultKind::DomainIn));
    add("bursts", {0.4, false, 10});
    all.push_back(bounded(makeWorkload("heavy-tail", deployment, {0.7, true}, seed)));
    add("cancellations", {0.9, false, 1, 0, 0.5});
    add("never-runnable", {0.6, false, 1, 0.3});
    all.push_back(withLargeJobs(makeWorkload("jobs-of-910", deployment, {0.3}, seed), random));
    return all;
}

} // namespace ibiswall::bench
