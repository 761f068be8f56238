// Gives up jobs whose tasks crash their targets.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>

namespace ibiswall::cell {

std::vector<TaskId> Dispatcher::recordCrashes(Span<const RunCrash> crashes, Millis now)
{
    std::vector<TaskId> givenUp;
    std::map<Millis, std::vector<RunCrash>> added;
    for (const RunCrash &crash : crashes) {
        const TaskId &task = crash.run_.task_;
        if (crashes_.record(task, {crash.run_.number_, crash.suspected_, crash.started_, now - crash.age_})) {
            added[now - crash.age_].push_back(crash);
        }
    }
    for (const auto &[at, each] : added) {
        recordSuspects(each, at);
        for (const RunCrash &crash : each) {
            if (applyCrash(crash.run_.task_, now)) {
                givenUp.push_back(crash.run_.task_);
            }
        }
    }
    return givenUp;
}

// Records which queues may have caused a crash.
void Dispatcher::recordSuspects(Span<const RunCrash> crashes, Millis at)
{
    std::set<std::string> queues;
    for (const RunCrash &crash : crashes) {
        Job *job = nullptr;
        if (!crash.suspected_) {
            continue;
        }
        if (findTask(crash.run_.task_, job) == nullptr) {
            queues.insert(CrashContainment::unknownQueue);
            continue;
        }
        job->suspect_ = true;
        queues.insert(job->record_.spec_.queue_);
        if (crashes_.isRepeated(crash.run_.task_)) {
            containment_.contain(job->record_.spec_.queue_, at);
        }
    }
    containment_.recordCrash(queues, at);
}

// Returns whether the job was given up.
bool Dispatcher::applyCrash(const TaskId &id, Millis now)
{
    Job *job = nullptr;
    const Task *task = findTask(id, job);
    if (task == nullptr || task->phase_ == Phase::Done || isFinal(job->state_)) {
        return false;
    }
    if (!job->isEphemeral()) {
        job->unsavedCrash_ = true;
        job->writeDue_ = now;
        dirty_.insert(job->id_);
    }
    if (!crashes_.isGivenUp(id, job->isEphemeral())) {
        return false;
    }
    finish(*job, JobState::Failed, now);
    return true;
}

void Dispatcher::containQueues(const std::set<std::string> &queues, Millis now)
{
    for (const std::string &queue : queues) {
        containment_.contain(queue, now);
    }
}

const std::set<std::string> &Dispatcher::containedQueues() const
{
    return containment_.contained();
}

bool Dispatcher::awaitsStoredCrash(const Job &job, const TaskId &task) const
{
    return (job.unsavedCrash_ || job.savingCrash_) && !crashes_.crashesOf(task).empty();
}

void Dispatcher::expireCrashes(Millis before)
{
    crashes_.expire(before, [this](const std::string &job) { return jobs_.count(job) != 0; });
}

// Tasks of a job in step order.
std::vector<TaskId> Dispatcher::tasksOf(const Job &job)
{
    std::vector<TaskId> tasks;
    tasks.reserve(job.tasks_.size());
    for (std::uint32_t step = 0; step < job.offsets_.size(); ++step) {
        for (std::uint32_t i = 0; i < job.record_.spec_.steps_[step].count_; ++i) {
            tasks.push_back({job.id_, step, i});
        }
    }
    return tasks;
}

// Takes over the crashes in the stored record of a new job, and gives the job up if one of its tasks has crashed too many targets.
// Invalidates the reference if it does.
void Dispatcher::applyKnownCrashes(Job &job, Millis now)
{
    const std::vector<StoredCrash> &stored = job.record_.progress_.crashes_;
    if (stored.empty() && crashes_.isEmpty()) {
        return;
    }
    const std::vector<TaskId> tasks = tasksOf(job);
    for (const StoredCrash &crash : stored) {
        crashes_.record(tasks[crash.task_], {crash.run_, crash.suspected_, crash.started_, now});
    }
    bool givenUp = false;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        job.suspect_ = job.suspect_ || crashes_.isSuspect(tasks[i]);
        givenUp = givenUp || (job.tasks_[i].phase_ != Phase::Done && crashes_.isGivenUp(tasks[i], job.isEphemeral()));
    }
    if (givenUp) {
        finish(job, JobState::Failed, now);
    }
}

// Crashes during the runs of a job's tasks, to be stored.
std::vector<StoredCrash> Dispatcher::crashesToStore(const Job &job) const
{
    std::vector<StoredCrash> stored;
    if (crashes_.isEmpty()) {
        return stored;
    }
    const std::vector<TaskId> tasks = tasksOf(job);
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        for (const KnownCrash &crash : crashes_.crashesOf(tasks[i])) {
            stored.push_back({i, crash.run_, crash.suspected_, crash.started_});
        }
    }
    return stored;
}

} // namespace ibiswall::cell
