// Compares what a run did with the ideal.

#include "measures.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibiswall::bench {

namespace {

constexpr double percent = 100;
constexpr std::size_t warmSeconds = 3;
constexpr std::size_t arrivalSeconds = 40;
constexpr std::size_t outFrom = 14;
constexpr std::size_t outTo = 25;
constexpr std::size_t backTo = 30;
constexpr double millisPerSecond = 1000;

double totalRun(const JobSpec &spec)
{
    return std::accumulate(spec.runs_.begin(), spec.runs_.end(), 0.0,
                           [](double sum, Millis run) { return sum + static_cast<double>(run.count_); });
}

double idealResponse(const Deployment &deployment, const JobSpec &spec)
{
    const double longest = static_cast<double>(std::max_element(spec.runs_.begin(), spec.runs_.end())->count_);
    const double spread = totalRun(spec) / (deployment.workers_ * deployment.slots_);
    return std::max(longest, spread) + 2 * static_cast<double>(deployment.callerDelay_.count_ + deployment.linkDelay_.count_);
}

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
    return job.answered_.count_ != 0 && job.code_ == Code::Ok && job.tasksDone_ == spec.runs_.size();
}

void measureResponse(const Deployment &deployment, const Workload &workload, const RunResult &result, Measures &out)
{
    std::vector<double> ratios;
    std::vector<double> back;
    std::vector<double> waits;
    for (std::size_t i = 0; i < result.jobs_.size(); ++i) {
        const JobSpec &spec = workload.jobs_[i];
        const JobResult &job = result.jobs_[i];
        const double response = static_cast<double>((job.answered_ - spec.at_).count_);
        if (!isComplete(job, spec)) {
            if (job.answered_.count_ != 0) {
                waits.push_back(response);
            }
            continue;
        }
        ratios.push_back(response / idealResponse(deployment, spec));
        if (spec.at_ >= faultEnd && spec.at_.count_ < static_cast<std::int64_t>(backTo) * 1000) {
            back.push_back(ratios.back());
        }
    }
    out.p50_ = quantile(ratios, 0.5);
    out.p99_ = quantile(ratios, 0.99);
    out.mean_ = std::accumulate(ratios.begin(), ratios.end(), 0.0) / static_cast<double>(std::max<std::size_t>(1, ratios.size()));
    out.p99Back_ = quantile(back, 0.99);
    out.refusalWait_ = quantile(waits, 0.5);
    out.complete_ = percent * static_cast<double>(ratios.size()) / static_cast<double>(result.jobs_.size());
}

double completeShare(const Workload &workload, const RunResult &result, const std::string &kind)
{
    double all = 0;
    double complete = 0;
    for (std::size_t i = 0; i < result.jobs_.size(); ++i) {
        if (workload.jobs_[i].kind_ == kind) {
            ++all;
            complete += isComplete(result.jobs_[i], workload.jobs_[i]) ? 1 : 0;
        }
    }
    return percent * complete / std::max(1.0, all);
}

// Divides the capacity between demands so that none gets more than it asks for and the least gets most.
std::vector<double> fairShares(std::vector<double> demands, double capacity)
{
    std::vector<double> shares(demands.size(), 0);
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return demands[a] < demands[b]; });
    for (std::size_t i = 0; i < order.size(); ++i) {
        const double even = capacity / static_cast<double>(order.size() - i);
        shares[order[i]] = std::min(demands[order[i]], even);
        capacity -= shares[order[i]];
    }
    return shares;
}

double lowestFairness(const Deployment &deployment, const Workload &workload, const RunResult &result)
{
    std::vector<double> asked(static_cast<std::size_t>(deployment.members_), 0);
    std::vector<double> got = asked;
    for (std::size_t i = 0; i < result.jobs_.size(); ++i) {
        const JobSpec &spec = workload.jobs_[i];
        if (spec.kind_ == hopelessKind || spec.cancelAt_.count_ != 0) {
            continue;
        }
        asked[static_cast<std::size_t>(spec.member_)] += totalRun(spec);
        got[static_cast<std::size_t>(spec.member_)] += result.jobs_[i].workDone_;
    }
    const double capacity = deployment.workers_ * deployment.slots_ * static_cast<double>(workloadEnd.count_);
    const std::vector<double> shares = fairShares(asked, capacity);
    double lowest = percent;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        lowest = std::min(lowest, percent * got[i] / std::max(1.0, shares[i]));
    }
    return lowest;
}

double workIn(const RunResult &result, std::size_t from, std::size_t to)
{
    return std::accumulate(result.work_.begin() + static_cast<std::ptrdiff_t>(from), result.work_.begin() + static_cast<std::ptrdiff_t>(to),
                           0.0);
}

void measureWork(const Deployment &deployment, const Workload &workload, const RunResult &result, Measures &out)
{
    const double perSecond = deployment.workers_ * deployment.slots_ * millisPerSecond;
    const int away = (deployment.workers_ + deployment.domains_ - 1) / deployment.domains_;
    const double perSecondOut = (deployment.workers_ - away) * deployment.slots_ * millisPerSecond;
    double offered = 0;
    for (const JobSpec &spec : workload.jobs_) {
        const bool counts = spec.kind_ != hopelessKind && spec.at_.count_ >= static_cast<std::int64_t>(warmSeconds) * 1000;
        offered += counts ? totalRun(spec) : 0;
    }
    const double limit = std::min(offered, perSecond * (arrivalSeconds - warmSeconds));
    out.work_ = percent * workIn(result, warmSeconds, arrivalSeconds) / limit;
    out.workOut_ = percent * workIn(result, outFrom, outTo) / (perSecondOut * (outTo - outFrom));
    out.workBack_ = percent * workIn(result, outTo, backTo) / (perSecond * (backTo - outTo));
}

} // namespace

Measures measure(const Deployment &deployment, const Workload &workload, const RunResult &result)
{
    Measures out;
    measureResponse(deployment, workload, result, out);
    measureWork(deployment, workload, result, out);
    const double finished = std::max(1.0, static_cast<double>(result.tasksDone_ + result.tasksFailed_));
    out.wasted_ = static_cast<double>(result.refusedOrders_ + result.futile_) / finished;
    out.control_ = static_cast<double>(result.control_) / finished;
    out.best_ = completeShare(workload, result, deployment.kinds_[0].name_);
    out.least_ = completeShare(workload, result, deployment.kinds_[2].name_);
    out.fair_ = lowestFairness(deployment, workload, result);
    out.faultyCalls_ = result.faultyCalls_;
    return out;
}

} // namespace ibiswall::bench
