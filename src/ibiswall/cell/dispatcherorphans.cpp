// Runs and results of jobs that no entry has offered yet.

#include <ibiswall/cell/dispatcher.hpp>

namespace ibiswall::cell {

// Stops the runs of a job that will not be offered, and lets targets discard its results.
void Dispatcher::releaseOrphan(const OrphanJob &orphan)
{
    for (const auto &[ref, result] : orphan.results_) {
        onResultSaved(ref);
    }
    for (const OrphanRun &each : orphan.running_) {
        actions_.stops_.push_back({each.agent_, each.run_});
    }
}

void Dispatcher::discardUnknownJob(const std::string &id)
{
    releaseOrphan(orphans_.discardResults(id));
}

bool Dispatcher::withdraw(const std::string &id, std::int64_t revision, Millis now)
{
    const auto finalJob = finalJobs_.find(id);
    if (jobs_.count(id) != 0 || (finalJob != finalJobs_.end() && finalJob->second.state_ != JobState::Withdrawn)) {
        removals_.push_back({id, revision});
        return false;
    }
    const OrphanJob orphan = orphans_.take(id);
    releaseOrphan(orphan);
    const bool mayRun = !orphan.running_.empty() || !orphan.results_.empty();
    const bool added = finalJobs_.insert_or_assign(id, FinalJob{JobState::Withdrawn, now, false, revision, false, mayRun}).second;
    withdrawnJobs_ += added ? 1 : 0;
    return true;
}

std::size_t Dispatcher::withdrawnJobs() const
{
    return withdrawnJobs_;
}

// Keeps the result of a run of a job that nobody has offered yet.
void Dispatcher::recordOrphanResult(Target &target, const RunResult &result)
{
    orphans_.removeRun(target.agent_, result.run_);
    if (result.number_ != 0) {
        orphans_.addResult({target.agent_, target.info_.targetIncarnation_, result.number_}, result);
        target.unsavedResults_.insert(result.number_);
        actions_.lookups_.push_back(result.run_.task_.job_);
    }
    acknowledge(target);
}

// Applies what targets have reported of a job before it was added. Invalidates references to the job if it ends by that.
void Dispatcher::applyOrphan(Job &job, Millis now)
{
    const OrphanJob known = orphans_.take(job.id_);
    if (known.results_.empty() && known.running_.empty()) {
        return;
    }
    job.mayHaveStarted_ = true;
    std::set<TaskId> ignored;
    for (const auto &[ref, result] : known.results_) {
        RunResult adjusted = result;
        if (targets_[ref.agent_].info_.targetIncarnation_ == ref.targetIncarnation_) {
            targets_[ref.agent_].unsavedResults_.erase(ref.number_);
        } else {
            // The target has discarded this result, and its number may now belong to another one.
            adjusted.number_ = 0;
        }
        applyResult(ref.agent_, adjusted, now);
    }
    for (const OrphanRun &each : known.running_) {
        applyReportedRun(each.agent_, each.run_, ignored, now);
        if (each.lostAt_ != Millis{0}) {
            markRunLost(each.agent_, each.run_.task_, each.lostAt_);
        }
    }
}

} // namespace ibiswall::cell
