// Keeps runs and results until their job is offered, with indexes by agent and by time of loss.

#include <ibiswall/cell/orphans.hpp>

#include <algorithm>

namespace ibiswall::cell {

void OrphanJobs::addRun(const std::string &agent, const Run &run)
{
    jobs_[run.task_.job_].running_.push_back({agent, run, {}});
    jobsOfAgent_[agent].insert(run.task_.job_);
}

void OrphanJobs::addResult(const ResultRef &ref, const RunResult &result)
{
    jobs_[result.run_.task_.job_].results_.emplace_back(ref, result);
}

template<typename Predicate>
void OrphanJobs::removeRuns(const std::string &job, Predicate matches)
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        return;
    }
    auto &running = found->second.running_;
    running.erase(std::remove_if(running.begin(), running.end(), matches), running.end());
    if (running.empty() && found->second.results_.empty()) {
        jobs_.erase(found);
    }
}

void OrphanJobs::removeRun(const std::string &agent, const Run &run)
{
    removeRuns(run.task_.job_, [&agent, &run](const OrphanRun &each) {
        return each.agent_ == agent && each.run_.task_ == run.task_ && each.run_.number_ == run.number_;
    });
}

void OrphanJobs::removeRunsOf(const std::string &agent)
{
    const auto found = jobsOfAgent_.find(agent);
    if (found == jobsOfAgent_.end()) {
        return;
    }
    for (const std::string &job : found->second) {
        removeRuns(job, [&agent](const OrphanRun &each) { return each.agent_ == agent; });
    }
    jobsOfAgent_.erase(found);
}

void OrphanJobs::markLost(const std::string &agent, Millis now)
{
    const auto found = jobsOfAgent_.find(agent);
    if (found == jobsOfAgent_.end()) {
        return;
    }
    for (const std::string &id : found->second) {
        const auto job = jobs_.find(id);
        if (job == jobs_.end()) {
            continue;
        }
        for (OrphanRun &each : job->second.running_) {
            each.lostAt_ = each.agent_ == agent ? now : each.lostAt_;
        }
        lost_.emplace_back(now, id);
    }
}

void OrphanJobs::removeLost(Millis before)
{
    const auto removed = std::stable_partition(lost_.begin(), lost_.end(), [before](const auto &each) { return each.first >= before; });
    for (auto each = removed; each != lost_.end(); ++each) {
        removeRuns(each->second, [before](const OrphanRun &run) { return run.lostAt_ != Millis{0} && run.lostAt_ < before; });
    }
    lost_.erase(removed, lost_.end());
}

bool OrphanJobs::contains(const std::string &job) const
{
    return jobs_.count(job) != 0;
}

OrphanJob OrphanJobs::take(const std::string &job)
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        return {};
    }
    OrphanJob taken = std::move(found->second);
    jobs_.erase(found);
    return taken;
}

OrphanJob OrphanJobs::discardResults(const std::string &job)
{
    OrphanJob discarded = take(job);
    if (!discarded.running_.empty()) {
        jobs_[job].running_ = discarded.running_;
    }
    return discarded;
}

} // namespace ibiswall::cell
