// Decides which records to store and when, and which results targets may discard.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>
#include <iterator>

namespace ibiswall::cell {

namespace {

// With this many results of a target waiting to be stored, progress is stored at once. A target lists 500 results at a time and gets
// no starts while it may have others.
constexpr std::size_t maxDelayedResults = 250;

} // namespace

void Dispatcher::scheduleWrite(Job &job, const std::string &agent, const RunResult &result, Millis due)
{
    // Agents keep the results of an ephemeral job until it ends, so that a later dispatcher does not run its tasks
    // again; not while they keep the target from listing others, of which the job may need one to end.
    Target &target = targets_[agent];
    if (result.number_ != 0 && !(job.isEphemeral() && target.unlistedResults_)) {
        job.unsaved_.push_back({agent, target.info_.targetIncarnation_, result.number_});
        target.unsavedResults_.insert(result.number_);
    }
    if (!job.isEphemeral() && (!job.writeDue_ || due < *job.writeDue_)) {
        job.writeDue_ = due;
        dirty_.insert(job.id_);
    }
}

std::vector<JobWrite> Dispatcher::takeWrites(std::size_t most, Millis now)
{
    const bool hurry = std::any_of(targets_.begin(), targets_.end(),
                                   [](const auto &each) { return each.second.unsavedResults_.size() >= maxDelayedResults; });
    std::vector<std::pair<std::int64_t, Job *>> due;
    for (const std::string &id : dirty_) {
        Job &job = jobs_.at(id);
        if (!job.writing_ && (hurry || *job.writeDue_ <= now)) {
            due.emplace_back(isFinal(job.state_) ? 0 : 1, &job);
        }
    }
    std::sort(due.begin(), due.end(), [](const auto &a, const auto &b) {
        return std::tuple(a.first, a.second->writeDue_->count_, a.second->sequence_)
            < std::tuple(b.first, b.second->writeDue_->count_, b.second->sequence_);
    });
    std::vector<JobWrite> writes;
    for (const auto &[order, job] : due) {
        if (writes.size() == most) {
            break;
        }
        JobProgress &progress = job->record_.progress_;
        progress.state_ = job->state_;
        progress.endedAt_ = isFinal(job->state_) ? wallClock().count_ : 0;
        progress.done_.assign(job->tasks_.size(), false);
        progress.failedRuns_.clear();
        for (std::size_t i = 0; i < job->tasks_.size(); ++i) {
            const Task &task = job->tasks_[i];
            progress.done_[i] = task.phase_ == Phase::Done;
            for (const std::uint64_t run : task.failedRuns_) {
                progress.failedRuns_.emplace_back(static_cast<std::uint32_t>(i), run);
            }
        }
        progress.crashes_ = crashesToStore(*job);
        job->writing_ = true;
        job->writeDue_.reset();
        dirty_.erase(job->id_);
        job->savingCrash_ = std::exchange(job->unsavedCrash_, false);
        job->saving_ = std::exchange(job->unsaved_, {});
        writes.push_back({job->id_, job->revision_, job->record_});
    }
    return writes;
}

std::vector<JobRemoval> Dispatcher::takeRemovals(std::size_t most)
{
    const std::size_t taken = std::min(most, removals_.size());
    std::vector<JobRemoval> out(removals_.end() - static_cast<std::ptrdiff_t>(taken), removals_.end());
    removals_.resize(removals_.size() - taken);
    return out;
}

void Dispatcher::requeueRemovals(std::vector<JobRemoval> removals)
{
    std::move(removals.begin(), removals.end(), std::back_inserter(removals_));
}

void Dispatcher::onWritten(const std::string &id, std::int64_t revision, Millis now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    Job &job = found->second;
    job.revision_ = revision;
    job.writing_ = false;
    job.savingCrash_ = false;
    for (const ResultRef &result : std::exchange(job.saving_, {})) {
        onResultSaved(result);
    }
    if (isFinal(job.record_.progress_.state_)) {
        finalizeJob(job, now);
    }
}

void Dispatcher::onWriteFailed(const std::string &id, std::int64_t revision)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    Job &job = found->second;
    job.revision_ = revision;
    job.writing_ = false;
    job.unsavedCrash_ = job.unsavedCrash_ || std::exchange(job.savingCrash_, false);
    job.unsaved_.insert(job.unsaved_.end(), job.saving_.begin(), job.saving_.end());
    job.saving_.clear();
    job.writeDue_ = Millis{0};
    dirty_.insert(id);
}

void Dispatcher::onWriteRejected(const std::string &id, std::int64_t revision, Millis now)
{
    onWriteFailed(id, revision);
    if (const auto found = jobs_.find(id); found != jobs_.end() && !isFinal(found->second.state_)) {
        finish(found->second, JobState::Failed, now);
    }
}

void Dispatcher::onResultSaved(const ResultRef &result)
{
    Target &target = targets_[result.agent_];
    if (target.info_.targetIncarnation_ == result.targetIncarnation_) {
        target.unsavedResults_.erase(result.number_);
        acknowledge(target);
    }
}

// Lets a target discard the results of ephemeral jobs that have not ended.
void Dispatcher::releaseEphemeralResults(const std::string &agent)
{
    for (auto &[id, job] : jobs_) {
        if (!job.isEphemeral()) {
            continue;
        }
        const auto released = std::stable_partition(job.unsaved_.begin(), job.unsaved_.end(),
                                                    [&agent](const ResultRef &result) { return result.agent_ != agent; });
        std::for_each(released, job.unsaved_.end(), [this](const ResultRef &result) { onResultSaved(result); });
        job.unsaved_.erase(released, job.unsaved_.end());
    }
}

void Dispatcher::acknowledge(Target &target)
{
    const std::uint64_t through = target.unsavedResults_.empty() ? target.highestResult_ : *target.unsavedResults_.begin() - 1;
    if (through > target.acknowledged_) {
        target.acknowledged_ = through;
        actions_.acks_.push_back({target.agent_, target.info_.targetIncarnation_, through, target.info_.draining_});
    }
}

} // namespace ibiswall::cell
