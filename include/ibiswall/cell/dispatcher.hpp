// Dispatcher of a cell: places tasks on targets and decides what to store about them.

#pragma once

#include <deque>
#include <ibiswall/base/budget.hpp>
#include <ibiswall/cell/containment.hpp>
#include <ibiswall/cell/crashhistory.hpp>
#include <ibiswall/cell/dispatcheractions.hpp>
#include <ibiswall/cell/orphans.hpp>
#include <ibiswall/cell/runtimes.hpp>
#include <ibiswall/cell/schedulingsettings.hpp>
#include <ibiswall/cell/targets.hpp>
#include <ibiswall/cell/usage.hpp>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace ibiswall::cell {

enum class CancelOutcome {
    /// A notice follows once the cancellation is stored.
    Accepted,
    AlreadyFinal,
    Unknown,
};

/// A job that takes longer than this many times its objective is useless to its caller; users count it as not served.
constexpr std::int64_t usefulObjectiveFactor = 3;

/// Whether a job that arrives now and starts after a predicted wait probably ends while it is useful to its caller.
bool isUsefulAfter(Millis wait, const JobSpec &spec, const Queue &queue);

/// Manages the jobs of a cell during one epoch. Not thread-safe; performs no I/O.
class Dispatcher
{
public:
    /// @param epoch must be higher than that of every earlier dispatcher; run numbers start with it
    explicit Dispatcher(std::uint64_t epoch);

    void setConfig(const CellConfig &config, const std::set<std::string> &domainsOut);

    void setScheduling(const SchedulingSettings &settings);

    /// Limits the bytes of jobs and their tasks. Ephemeral jobs of which no dispatcher can have started a task are refused beyond it;
    /// others are always added.
    void setJobBudget(std::shared_ptr<Budget> budget);

    /// Adds a job. Does not change a job that was added before.
    /// @return the job's state if it is final already, to be reported to the offering entry
    std::optional<JobState> addJob(JobOffer offer, Millis now);

    /// Neither the store nor any entry has the job: stops its runs. The runs are remembered until they have ended, in
    /// case the job is still offered.
    void discardUnknownJob(const std::string &job);

    /// Applies the full report of an agent, at the first contact in this epoch and after each reconnection.
    /// @param incarnation incarnation of the target that the lists belong to
    void applyFullReport(const std::string &agent,
                         const std::optional<TargetInfo> &info,
                         std::int64_t incarnation,
                         Span<const Run> running,
                         Span<const RunResult> results,
                         Millis now);

    /// Whether an agent's target has results that it has not listed yet. Until it has listed them, a run that is missing in its
    /// reports may have ended in any way, so its task is not placed again, and the target gets no starts. To be called before the
    /// full report, or after the results of an incremental one, that says so.
    void setUnlistedResults(const std::string &agent, bool unlisted, Millis now);

    /// Whether any target has unlisted results.
    bool hasUnlistedResults() const;

    /// Updates what is known about a target. In a later incarnation its result numbers start again; the agent reports
    /// which runs were lost.
    void updateTarget(const std::string &agent, const TargetInfo &info);

    /// An agent's report belongs to this incarnation of its target. Of a later one than the known one nothing else is known yet, and
    /// it gets no starts. To be called before the results of the report.
    void followIncarnation(const std::string &agent, std::int64_t incarnation);

    /// Places no more tasks on the agent's target until the agent's next full report.
    void pausePlacement(const std::string &agent);

    /// The agent lease has certainly expired. The agent's tasks are not placed again before requeueLostTasks: a later
    /// dispatcher may lead the agent, and its runs may go on there.
    void markTargetLost(const std::string &agent, Millis now);

    /// No later dispatcher had taken over at the given time: tasks lost before it may be placed again.
    void requeueLostTasks(Millis confirmedAt);

    void applyResult(const std::string &agent, const RunResult &result, Millis now);

    /// Targets crashed during runs. To be called before the ends of the runs are applied, so that the tasks are not placed as if
    /// nothing had happened.
    /// @param crashes from one agent; those of one crash have the same age
    /// @return tasks whose jobs were given up because of it
    std::vector<TaskId> recordCrashes(Span<const RunCrash> crashes, Millis now);

    /// Takes over the containment of an earlier dispatcher.
    void containQueues(const std::set<std::string> &queues, Millis now);

    /// Queues that may use only a part of the targets, since their jobs crash targets.
    const std::set<std::string> &containedQueues() const;

    /// Takes over what an earlier dispatcher had learned of interference.
    void adoptInterference(Span<const InterferingPair> pairs, Millis now);

    /// The believed pairs with the largest factors.
    std::vector<InterferingPair> interferingPairs(std::size_t most) const;

    /// Number of believed pairs.
    std::size_t interferingPairCount() const;

    /// Takes the pairs that have been believed or forgotten since the last call.
    std::vector<InterferenceChange> takeInterferenceChanges();

    /// Forgets the crashes of jobs that are not open if the latest one was before the given time.
    void expireCrashes(Millis before);

    /// The target rejected a start.
    void onStartRejected(const std::string &agent, const Run &run, bool noRoom, Millis now);

    /// Every agent that may have run tasks of an earlier epoch has reported or lost its lease.
    void markReconciled(Millis now);

    CancelOutcome cancel(const std::string &job, Millis now);

    /// A record has been stored under the id of a job that neither the store nor any entry had, so that it cannot be submitted. Stops its
    /// runs. Offers of it are refused, or end as cancelled if it may have been started.
    /// @return false if an entry has offered the job meanwhile; the record is scheduled for removal then
    bool withdraw(const std::string &job, std::int64_t revision, Millis now);

    /// Number of withdrawn jobs whose records have not expired.
    std::size_t withdrawnJobs() const;

    /// The last caller at an entry that waited for an ephemeral job has left. Cancels the job when no other entry has a
    /// caller.
    void abandon(const std::string &job, const std::string &origin, Millis now);

    /// Refuses ephemeral jobs of which no dispatcher can have started a task, once they can only end after
    /// usefulObjectiveFactor times their objective, or when their callers are about to time out. Under overload the
    /// caller gets the answer at once, and the capacity serves jobs that are still useful.
    void refuseUnservable(Millis now);

    /// Discards final states older than the given times; records of stored ones are scheduled for removal from the
    /// store.
    void expireFinalJobs(Millis ephemeralBefore, Millis storedBefore, Millis withdrawnBefore);

    /// Takes records that are due for removal.
    std::vector<JobRemoval> takeRemovals(std::size_t most);

    /// The store has not confirmed the removal of the records: retries it later.
    void requeueRemovals(std::vector<JobRemoval> removals);

    /// Predicted time until the last task of a job that arrives now can start, by queue. Empty without admission control.
    std::map<std::string, Millis> predictedWaits(Millis now) const;

    /// Places waiting tasks, by priority, then jobs that can still meet their objective, then by due time. Under
    /// temporary overload, jobs that are already late do not delay others. With admission control, jobs that have arrived or become
    /// late since the last call and found no target are refused if they cannot be served in time.
    void schedule(Millis now);

    /// Whether nothing runs on an agent's target, its results are known, and it is unresponsive or takes no starts.
    bool isIdle(const std::string &agent) const;

    DispatcherActions takeActions();

    /// Takes records that are due to be stored, most urgent first. A job has at most one write in progress.
    std::vector<JobWrite> takeWrites(std::size_t most, Millis now);

    /// The record was stored.
    void onWritten(const std::string &job, std::int64_t revision, Millis now);

    /// The record was not stored: schedules another write, for the given revision.
    void onWriteFailed(const std::string &job, std::int64_t revision);

    /// The store does not take the record, of the given revision: ends the job as failed, since the record of an ended job has neither
    /// payload nor steps.
    void onWriteRejected(const std::string &job, std::int64_t revision, Millis now);

    /// Returns whether the job is known, in any state.
    bool hasJob(const std::string &job) const;

    /// Final state of a job that ended in this epoch or was loaded as ended.
    std::optional<JobState> finalState(const std::string &job) const;

    /// Number of jobs with no task started, by queue.
    std::map<std::string, std::size_t> waitingJobs() const;

    /// Number of jobs that are not final.
    std::size_t openJobs() const;

private:
    enum class Phase : std::uint8_t {
        /// A dispatcher of an earlier epoch may have started it.
        Unreconciled,
        Waiting,
        Placed,
        /// Its agent was lost; the run may go on under a later dispatcher.
        Lost,
        Done,
    };

    struct Task
    {
        Phase phase_ = Phase::Waiting;
        /// Runs that ended as failed.
        std::vector<std::uint64_t> failedRuns_;
        /// Number of the latest run, 0 before the first.
        std::uint64_t run_ = 0;
        std::string agent_;
        Millis placedAt_;
        /// Time from then on after which the latest run is longer than the spread of its kind explains; 0 if that is not watched.
        Millis overdueAfter_;
        /// Whether the latest run was taken over from an earlier dispatcher, so that it started before placedAt_.
        bool adopted_ = false;
        /// Whether the latest run was ordered to stop since its target stalled, and how often that happened to the task.
        bool stallStopped_ = false;
        std::uint8_t stallRestarts_ = 0;
        std::string checkpoint_;
    };

    struct Job
    {
        std::string id_;
        JobRecord record_;
        std::int64_t revision_ = 0;
        /// In step order; task i of step s is at offsets_[s] + i.
        std::vector<Task> tasks_;
        std::vector<std::uint32_t> offsets_;
        /// Number of tasks of each step that are not done.
        std::vector<std::uint32_t> openInStep_;
        std::uint32_t open_ = 0;
        std::uint32_t waiting_ = 0;
        JobState state_ = JobState::Pending;
        std::uint32_t priority_ = 0;
        Millis due_;
        /// A job with no task started by then will probably end after its objective.
        Millis latestStart_;
        /// A job with no task started by then will probably end too late to be useful to its caller.
        Millis lastUsefulStart_;
        /// Whether the job missed latestStart_ with no task started, or may crash targets and its queue is contained; such jobs
        /// are placed last.
        bool late_ = false;
        /// Whether one of its tasks may have crashed a target.
        bool suspect_ = false;
        /// targetsVersion_ at which no target matched any of its tasks, 0 if that has not been seen.
        std::uint64_t unmatchedIn_ = 0;
        /// When it was added, or its latest task was placed.
        Millis activeAt_;
        /// When its caller times out; 0 for never.
        Millis callerTimeoutAt_;
        std::uint64_t sequence_ = 0;
        Millis addedAt_;
        /// Failure domain of its callers; empty if not known.
        std::string domain_;
        /// Average task.
        Work taskWork_;
        /// Waiting tasks contained in backlog_, and their keys by pool and by queue.
        std::uint32_t counted_ = 0;
        BacklogKey poolKey_;
        BacklogKey queueKey_;
        /// When its caller should return if it is refused; 0 if not known.
        Millis retryAfter_;
        /// When the record is to be stored; empty when the stored record is up to date.
        std::optional<Millis> writeDue_;
        bool writing_ = false;
        /// Whether a crash during one of its runs is in no stored record yet, and in none but the write in progress. Until it is
        /// stored, the task is not started again: a dispatcher that has been succeeded cannot store it, nor use up attempts.
        bool unsavedCrash_ = false;
        bool savingCrash_ = false;
        /// Results that are not in a stored record yet, and those in the write in progress.
        std::vector<ResultRef> unsaved_;
        std::vector<ResultRef> saving_;
        /// Entries that have offered it.
        std::set<std::string> origins_;
        /// Whether an earlier dispatcher may have started any of its tasks, in which case the job must not be refused
        /// as not run.
        bool mayHaveStarted_ = false;
        /// Bytes of the tasks.
        BudgetShare share_;
        /// Its queue was not configured any more when it was accepted.
        bool submittedAfterRemoval_ = false;

        bool isEphemeral() const
        {
            return record_.spec_.ephemeral_;
        }
    };

    struct FinalJob
    {
        JobState state_ = JobState::Completed;
        Millis at_;
        bool ephemeral_ = false;
        /// Revision of the stored record; unused for an ephemeral job.
        std::int64_t revision_ = 0;
        /// Cancelled because all callers had left. A caller that returns is not told so: the job is run again.
        bool abandoned_ = false;
        /// A target with a run of the job was lost, and the run may go on under a later dispatcher; or targets had runs or results of
        /// the job when it was withdrawn.
        bool mayRun_ = false;
    };

    /// Priority, late or not, due time, order of arrival.
    using ReadyKey = std::tuple<std::uint32_t, bool, std::int64_t, std::uint64_t>;

    /// State of one call of schedule().
    struct SchedulingPass
    {
        /// By service, required label, and whether the queue is contained.
        std::map<std::tuple<std::string_view, std::string_view, bool>, ExhaustedNeeds> exhausted_;
        /// Whether a task has found all its targets closed since this was checked.
        bool closed_ = false;
        /// Share of the CPU in use by service, for those with tasks that interfere, at their first placement in the pass.
        std::map<std::string_view, double> utilization_;
        /// Needs for which no target has room, although targets may be open.
        std::map<std::tuple<std::string_view, std::string_view, bool>, ExhaustedNeeds> full_;
    };

    /// Predictions in one pass, and the supply of each pool of targets.
    struct Forecast
    {
        Millis now_;
        std::map<std::string, Supply> supplies_;
    };

    static ReadyKey keyOf(const Job &job);
    // Admission (dispatcheradmission.cpp)
    void initAdmission(Job &job, Millis objective, bool fresh, Millis now);
    void countWaiting(Job &job);
    void checkArrivals(Millis now);
    std::vector<Job *> jobsToRecheck(Millis now);
    const Supply &supplyFor(Forecast &forecast, const Queue &queue, const std::string &label) const;
    Millis predict(Forecast &forecast, const Job &job, const Queue &queue, bool late) const;
    bool isAdmissible(Forecast &forecast, const Job &job, Millis &wait) const;
    void refuse(Job &job, const char *reason, Millis wait, Millis now);
    void placeReady(Millis now);
    bool becomesLate(const Job &job, Millis now) const;
    bool keepsCapacity(const Job &job, Millis now) const;
    // Shares under shortage (dispatchershares.cpp)
    void placeInTurn(const std::set<std::string> &services, Millis now);
    std::vector<Job *> jobsInTurn(const std::set<std::string> &services) const;
    bool isBelowFloor(const Job &job, const std::set<std::string> &services) const;
    // Runs on targets (dispatcherusage.cpp)
    void addRun(Target &target, const Job &job, const TaskId &id, bool measured, Millis now);
    std::optional<PlacedRun> removeRun(Target &target, const TaskId &id);
    Task *findTask(const TaskId &id, Job *&job);
    void setWaiting(Job &job, Task &task);
    void applyDoneOrFailed(Job &job, Task &task, const std::string &agent, const RunResult &result, Millis now);
    void scheduleWrite(Job &job, const std::string &agent, const RunResult &result, Millis due);
    bool applyCrash(const TaskId &id, Millis now);
    bool awaitsStoredCrash(const Job &job, const TaskId &task) const;
    void recordSuspects(Span<const RunCrash> crashes, Millis at);
    bool isContained(const Job &job, Millis now) const;
    bool isBacklogged(const Job &job, std::size_t jobsAhead, Millis now) const;
    void updateContainment(Millis now);
    void updateContainedPool(const std::string &service);
    bool mayRunSomewhere(const std::string &job) const;
    void addReturnedJobs(Millis now);
    static std::vector<TaskId> tasksOf(const Job &job);
    void applyKnownCrashes(Job &job, Millis now);
    std::vector<StoredCrash> crashesToStore(const Job &job) const;
    void finish(Job &job, JobState state, Millis now);
    void finalizeJob(Job &job, Millis now);
    void stopRuns(Job &job);
    void markRunLost(const std::string &agent, const TaskId &id, Millis now);
    void releaseOrphan(const OrphanJob &orphan);
    void recordOrphanResult(Target &target, const RunResult &result);
    void markMissingRunsLost(const std::string &agent, const std::set<TaskId> &reported, Millis now);
    void adopt(Job &job, Task &task, const std::string &agent, const Run &run, Millis now);
    void applyReportedRun(const std::string &agent, const Run &run, std::set<TaskId> &reported, Millis now);
    void applyOrphan(Job &job, Millis now);
    void onResultSaved(const ResultRef &result);
    void releaseEphemeralResults(const std::string &agent);
    bool isLate(const Job &job, Millis now) const;
    static bool isRefusable(const Job &job);
    bool isUnservable(const Job &job, Millis now) const;
    void placeTasks(Job &job, SchedulingPass &pass, Millis now);
    std::optional<Shortage> placeStep(Job &job, std::uint32_t step, const Queue &queue, SchedulingPass &pass, Millis now);
    bool isStepReady(const Job &job, std::size_t step) const;
    void place(Job &job, const TaskId &id, Target &target, Millis now);
    PlacedRun describeRun(const Job &job, std::uint32_t step, Millis now);
    void learnFromRun(Target &target, const PlacedRun &run, const Job &job, const TaskId &id, Millis runTime, Millis now);
    void avoidInterference(Placement &placement, const std::string &kind, SchedulingPass &pass, Millis now);
    void acknowledge(Target &target);
    static Millis slackOf(const Job &job, std::uint32_t step, Millis now);
    void watchRun(const Job &job, Task &task, const Run &run, Target &target, const ExpectedRatio &kind, Millis now);
    void recordEndOfRun(const Job &job, const Task &task, Target &target, const RunResult &result, Millis now);
    void updateStalls(Millis now);
    void refreshFactors(Millis now);
    bool isOpenRun(const Run &run);
    void noteOverdue(const OverdueRun &overdue);
    bool checkStall(Target &target, Millis now);
    void stopOverdueRuns(Target &target, Millis now);
    const Queue *queueOf(const Job &job) const;
    bool isSubmittedAfterRemoval(const JobOffer &offer) const;

    std::uint64_t epoch_;
    std::uint64_t runsAssigned_ = 0;
    std::uint64_t nextSequence_ = 1;
    CellConfig config_;
    SchedulingSettings scheduling_;
    /// Null for no limit.
    std::shared_ptr<Budget> jobBudget_;
    std::set<std::string> domainsOut_;
    std::unordered_map<std::string, Job> jobs_;
    /// Jobs in a final state that are stored or ephemeral; none of them is in jobs_.
    std::unordered_map<std::string, FinalJob> finalJobs_;
    /// Number of finalJobs_ that are withdrawn.
    std::size_t withdrawnJobs_ = 0;
    /// Offers of abandoned jobs of which a run may still be active.
    std::vector<JobOffer> returned_;
    /// Records of jobs that are in none of the other tables.
    std::vector<JobRemoval> removals_;
    /// None of these jobs is in jobs_ or finalJobs_.
    OrphanJobs orphans_;
    /// Jobs with waiting tasks, in placement order; all are in jobs_.
    std::map<ReadyKey, Job *> ready_;
    /// Jobs whose writeDue_ is set.
    std::unordered_set<std::string> dirty_;
    /// Tasks in phase Lost with the time of the loss; may contain tasks that have left the phase.
    std::vector<std::pair<Millis, TaskId>> lostTasks_;
    Targets targets_;
    /// Incremented when a target or the configuration has changed.
    std::uint64_t targetsVersion_ = 1;
    Interference interference_;
    CrashHistory crashes_;
    CrashContainment containment_;
    /// By service, if it has contained queues.
    std::map<std::string, ContainedPool> containedPools_;
    RunTimes runTimes_;
    Millis factorsRefreshedAt_;
    /// Runs by when they are overdue, if targets are chosen by expected end; may contain runs that have ended.
    std::multimap<std::int64_t, OverdueRun> overdueAt_;
    /// Agents whose targets are stalled or have overdue runs.
    std::set<std::string> stallSuspects_;
    Millis stallsCheckedAt_;
    Millis stallsSuspendedUntil_;
    /// Waiting work by pool of targets, and by queue. Empty without admission control.
    Backlog poolBacklog_;
    Backlog queueBacklog_;
    /// By pool and queue.
    std::map<std::pair<std::string, std::string>, ArrivalRate> arrivalRates_;
    /// Jobs to be checked after the next placement: they have arrived or become late.
    std::vector<std::string> arrivals_;
    /// Predicted waits by queue at which its waiting jobs were checked last.
    std::map<std::string, Millis> checkedWaits_;
    Usage usage_;
    /// Services of which a task found no room in the latest call of schedule().
    std::set<std::string> shortServices_;
    /// When the first target reported; 0 if none has.
    Millis firstReportAt_;
    bool reconciled_ = false;
    DispatcherActions actions_;
};

} // namespace ibiswall::cell
