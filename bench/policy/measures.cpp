// Computes the measures of a simulation relative to an ideal deployment.

#include "measures.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibiswall::bench {

namespace {

constexpr double percent = 100;
/// Excluded from the measures of work.
constexpr std::size_t warmUpSeconds = 3;
constexpr std::size_t arrivalSeconds = 40;
/// The outage is measured from 2 s after the domain leaves.
constexpr std::size_t outageStartSecond = 14;
constexpr std::size_t outageEndSecond = 25;
constexpr std::size_t recoveryEndSecond = 30;
constexpr double millisPerSecond = 1000;

double totalRunMillis(const JobSpec &spec)
{
    return std::accumulate(spec.runTimes_.begin(), spec.runTimes_.end(), 0.0,
                           [](double sum, Millis run) { return sum + static_cast<double>(run.count_); });
}

/// Response time if the longest task, or an even split over all slots, were the only limit; network delays included.
double idealResponseMillis(const Deployment &deployment, const JobSpec &spec)
{
    const double longest = static_cast<double>(std::max_element(spec.runTimes_.begin(), spec.runTimes_.end())->count_);
    const double evenSplit = totalRunMillis(spec) / (deployment.workers_ * deployment.slots_);
    return std::max(longest, evenSplit) + 2 * static_cast<double>(deployment.callerDelay_.count_ + deployment.linkDelay_.count_);
}

/// Lower quantile without interpolation; 0 if there are no values.
double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

bool isComplete(const JobResult &job, const JobSpec &spec)
{
    return job.answeredAt_.count_ != 0 && job.code_ == Code::Ok && job.tasksDone_ == spec.runTimes_.size();
}

void measureResponse(const Deployment &deployment, const Workload &workload, const SimulationResult &result, Measures &out)
{
    std::vector<double> slowdowns;
    std::vector<double> recoverySlowdowns;
    std::vector<double> incompleteWaits;
    for (std::size_t i = 0; i < result.jobs_.size(); ++i) {
        const JobSpec &spec = workload.jobs_[i];
        const JobResult &job = result.jobs_[i];
        const double response = static_cast<double>((job.answeredAt_ - spec.at_).count_);
        if (!isComplete(job, spec)) {
            if (job.answeredAt_.count_ != 0) {
                incompleteWaits.push_back(response);
            }
            continue;
        }
        slowdowns.push_back(response / idealResponseMillis(deployment, spec));
        if (spec.at_ >= faultEnd && spec.at_.count_ < static_cast<std::int64_t>(recoveryEndSecond) * 1000) {
            recoverySlowdowns.push_back(slowdowns.back());
        }
    }
    out.p50Slowdown_ = quantile(slowdowns, 0.5);
    out.p99Slowdown_ = quantile(slowdowns, 0.99);
    out.meanSlowdown_
        = std::accumulate(slowdowns.begin(), slowdowns.end(), 0.0) / static_cast<double>(std::max<std::size_t>(1, slowdowns.size()));
    out.p99RecoverySlowdown_ = quantile(recoverySlowdowns, 0.99);
    out.incompleteWaitMillis_ = quantile(incompleteWaits, 0.5);
    out.completePercent_ = percent * static_cast<double>(slowdowns.size()) / static_cast<double>(result.jobs_.size());
}

double completePercent(const Workload &workload, const SimulationResult &result, const std::string &kind)
{
    double total = 0;
    double complete = 0;
    for (std::size_t i = 0; i < result.jobs_.size(); ++i) {
        if (workload.jobs_[i].kind_ == kind) {
            ++total;
            complete += isComplete(result.jobs_[i], workload.jobs_[i]) ? 1 : 0;
        }
    }
    return percent * complete / std::max(1.0, total);
}

/// Max-min fair division of the capacity: no demand gets more than it asks for, and what it leaves is shared by the larger ones.
std::vector<double> fairShares(std::vector<double> demands, double capacity)
{
    std::vector<double> shares(demands.size(), 0);
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return demands[a] < demands[b]; });
    for (std::size_t i = 0; i < order.size(); ++i) {
        const double evenShare = capacity / static_cast<double>(order.size() - i);
        shares[order[i]] = std::min(demands[order[i]], evenShare);
        capacity -= shares[order[i]];
    }
    return shares;
}

/// Smallest ratio of completed work to fair share over all members. Leaves out jobs that are cancelled or whose tasks fail on every target.
double minFairnessPercent(const Deployment &deployment, const Workload &workload, const SimulationResult &result)
{
    std::vector<double> offeredWork(static_cast<std::size_t>(deployment.members_), 0);
    std::vector<double> completedWork = offeredWork;
    for (std::size_t i = 0; i < result.jobs_.size(); ++i) {
        const JobSpec &spec = workload.jobs_[i];
        if (spec.kind_ == failingKind || spec.cancelAt_.count_ != 0) {
            continue;
        }
        offeredWork[static_cast<std::size_t>(spec.member_)] += totalRunMillis(spec);
        completedWork[static_cast<std::size_t>(spec.member_)] += result.jobs_[i].workDoneMillis_;
    }
    const double capacity = deployment.workers_ * deployment.slots_ * static_cast<double>(arrivalsEnd.count_);
    const std::vector<double> shares = fairShares(offeredWork, capacity);
    double minPercent = percent;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        minPercent = std::min(minPercent, percent * completedWork[i] / std::max(1.0, shares[i]));
    }
    return minPercent;
}

double workBetween(const SimulationResult &result, std::size_t from, std::size_t to)
{
    return std::accumulate(result.workBySecond_.begin() + static_cast<std::ptrdiff_t>(from),
                           result.workBySecond_.begin() + static_cast<std::ptrdiff_t>(to), 0.0);
}

void measureWork(const Deployment &deployment, const Workload &workload, const SimulationResult &result, Measures &out)
{
    const double capacityPerSecond = deployment.workers_ * deployment.slots_ * millisPerSecond;
    const int workersOut = (deployment.workers_ + deployment.domains_ - 1) / deployment.domains_;
    const double outageCapacityPerSecond = (deployment.workers_ - workersOut) * deployment.slots_ * millisPerSecond;
    double offered = 0;
    for (const JobSpec &spec : workload.jobs_) {
        const bool included = spec.kind_ != failingKind && spec.at_.count_ >= static_cast<std::int64_t>(warmUpSeconds) * 1000;
        offered += included ? totalRunMillis(spec) : 0;
    }
    const double attainable = std::min(offered, capacityPerSecond * (arrivalSeconds - warmUpSeconds));
    out.workPercent_ = percent * workBetween(result, warmUpSeconds, arrivalSeconds) / attainable;
    out.outageUtilizationPercent_ = percent * workBetween(result, outageStartSecond, outageEndSecond)
        / (outageCapacityPerSecond * (outageEndSecond - outageStartSecond));
    out.recoveryUtilizationPercent_
        = percent * workBetween(result, outageEndSecond, recoveryEndSecond) / (capacityPerSecond * (recoveryEndSecond - outageEndSecond));
}

} // namespace

Measures measure(const Deployment &deployment, const Workload &workload, const SimulationResult &result)
{
    Measures out;
    measureResponse(deployment, workload, result, out);
    measureWork(deployment, workload, result, out);
    const double finished = std::max(1.0, static_cast<double>(result.tasksDone_ + result.tasksFailed_));
    out.wastedPerTask_ = static_cast<double>(result.rejectedOrders_ + result.futileRuns_) / finished;
    out.controlPerTask_ = static_cast<double>(result.controlMessages_) / finished;
    out.mostValuablePercent_ = completePercent(workload, result, deployment.kinds_[0].name_);
    out.leastValuablePercent_ = completePercent(workload, result, deployment.kinds_[2].name_);
    out.minFairnessPercent_ = minFairnessPercent(deployment, workload, result);
    out.faultyCalls_ = result.faultyCalls_;
    return out;
}

} // namespace ibiswall::bench
