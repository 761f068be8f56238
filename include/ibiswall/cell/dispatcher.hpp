// The deciding process of a cell: which task runs where, and what has to be stored about it.

#pragma once

#include <deque>
#include <ibiswall/cell/record.hpp>
#include <ibiswall/cell/targets.hpp>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace ibiswall::cell {

/// Tells an agent to start a run on its target.
struct StartOrder
{
    std::string agent_;
    Run run_;
    std::string payload_;
    std::string checkpoint_;
    bool ephemeral_ = false;
};

/// Tells an agent to stop a run, or to keep one that has not arrived from starting.
struct StopOrder
{
    std::string agent_;
    Run run_;
};

/// Tells an agent that the ends up to a number need not be listed again.
struct AckOrder
{
    std::string agent_;
    /// Life of the target that numbered the ends.
    std::int64_t targetIncarnation_ = 0;
    std::uint64_t through_ = 0;
};

/// Tells every entry that a job's state has changed. Final states are told only once they are stored.
struct Notice
{
    std::string job_;
    JobState state_ = JobState::Pending;
    /// Entries whose callers wait for an ephemeral job; empty for every entry.
    std::set<std::string> origins_;
};

/// What the dispatcher wants to be sent.
struct DispatcherActions
{
    /// Jobs to read from the store: a target reports runs or ends of them, and nobody has offered them.
    std::vector<std::string> lookups_;
    std::vector<StartOrder> starts_;
    std::vector<StopOrder> stops_;
    std::vector<AckOrder> acks_;
    std::vector<Notice> notices_;
};

/// A record to store under the condition that the stored one has the given revision.
struct JobWrite
{
    std::string job_;
    std::int64_t expectedRevision_ = 0;
    JobRecord record_;
};

/// A record that need not be reported any more, to remove if the stored one still has the revision.
struct JobRemoval
{
    std::string job_;
    std::int64_t revision_ = 0;
};

/// A job to take in.
struct JobOffer
{
    std::string id_;
    JobRecord record_;
    std::int64_t revision_ = 0;
    /// True when no other dispatcher can have started any of its tasks.
    bool fresh_ = false;
    /// Entry that offers it; empty when it was read from the store.
    std::string origin_;
    /// For how long its caller waits; 0 when nobody waits.
    Millis callerTimeout_;
    /// For how long its caller has waited already.
    Millis age_;
};

enum class CancelOutcome {
    /// A notice follows once the cancel is stored.
    Accepted,
    AlreadyFinal,
    Unknown,
};

/// A job that takes more than this many times its objective is of no use to its caller; the users count it as not served.
constexpr std::int64_t usefulObjectiveFactor = 3;

/// Owns the jobs of a cell during one epoch. Not thread-safe, no input or output.
class Dispatcher
{
public:
    /// @param epoch higher than that of every earlier dispatcher; leads the run numbers
    explicit Dispatcher(std::uint64_t epoch);

    void setConfig(const CellConfig &config, const std::set<std::string> &domainsOut);

    /// Takes a job in. A job that is already known stays as it is.
    /// @return the state to tell the offering entry, when it is final
    std::optional<JobState> addJob(JobOffer offer, Millis now);

    /// Neither the store nor any entry knows the job: what targets run of it is to be stopped. Runs are remembered until
    /// they have ended, in case the job is offered after all.
    void discardUnknownJob(const std::string &job);

    /// Takes in all that an agent knows, at the first contact in this epoch and after each new link.
    /// @param born life of the target that the lists belong to
    void applyFullReport(const std::string &agent,
                         const std::optional<TargetInfo> &info,
                         std::int64_t born,
                         Span<const Run> running,
                         Span<const RunResult> results,
                         Millis now);

    /// Takes in what a target now says of itself. With a later birth its ends are numbered anew; which runs it has lost
    /// the agent tells.
    void updateTarget(const std::string &agent, const TargetInfo &info);

    /// Places nothing more on the agent's target until the agent has reported anew.
    void pausePlacement(const std::string &agent);

    /// The agent can be holding no right of this dispatcher any more. Its tasks are not placed again before confirmLost:
    /// a later dispatcher may have taken the agent over, and its runs may go on.
    void markTargetLost(const std::string &agent, Millis now);

    /// No later dispatcher had taken over at a moment: what was lost before it can be placed again.
    void requeueLostTasks(Millis confirmedAt);

    void applyResult(const std::string &agent, const RunResult &result, Millis now);

    /// The target rejected a start.
    void onStartRejected(const std::string &agent, const Run &run, bool forRoom, Millis now);

    /// Every agent that may have run tasks of an earlier epoch has reported or lost its right.
    void markReconciled(Millis now);

    CancelOutcome cancel(const std::string &job, Millis now);

    /// The last caller at an entry who waited for an ephemeral job has gone. Without another one the job is cancelled.
    void abandon(const std::string &job, const std::string &origin, Millis now);

    /// Turns away the ephemeral jobs of which no task can have been started by any dispatcher, once they can result only after
    /// usefulObjectives times their objective, or when their callers are about to give up. Answers loads that exceed the
    /// room: the caller learns at once, and the room serves jobs that can still be of use.
    void refuseUnservable(Millis now);

    /// Forgets final states older than the given ages; stored ones are to be removed from the store as well.
    void expireFinalJobs(Millis ephemeralBefore, Millis storedBefore);

    /// Takes records that are to be removed.
    std::vector<JobRemoval> takeRemovals(std::size_t most);

    /// The store has not said that the records were removed.
    void requeueRemovals(std::vector<JobRemoval> removals);

    /// Places waiting tasks: by priority, then jobs that can still meet their objective, then by the time at which
    /// they are due. Answers loads that exceed the room for a while: what is late already makes nothing else late.
    void schedule(Millis now);

    /// Whether nothing runs on an agent's target, which does not answer or takes no starts.
    bool isIdle(const std::string &agent) const;

    DispatcherActions takeActions();

    /// Takes records that are due to be stored, most urgent first. Each job has one write in progress at most.
    std::vector<JobWrite> takeWrites(std::size_t most, Millis now);

    /// The record was stored.
    void onWritten(const std::string &job, std::int64_t revision, Millis now);

    /// The record was not stored and is to be written again under another revision.
    void onWriteFailed(const std::string &job, std::int64_t revision);

    /// Tells whether a job is known, in any state.
    bool hasJob(const std::string &job) const;

    /// Final state of a job that ended in this epoch or was loaded as ended.
    std::optional<JobState> finalState(const std::string &job) const;

    /// Jobs of each queue with no task started.
    std::map<std::string, std::size_t> waitingJobs() const;

    /// Jobs that are not final.
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
        /// The latest run, 0 before the first.
        std::uint64_t run_ = 0;
        std::string agent_;
        Millis placedAt_;
        std::string checkpoint_;
    };

    /// An result in the list of one life of a target.
    struct ResultRef
    {
        std::string agent_;
        std::int64_t targetIncarnation_ = 0;
        std::uint64_t number_ = 0;
    };

    struct Job
    {
        std::string id_;
        JobRecord record_;
        std::int64_t revision_ = 0;
        /// In step order; task i of step s is at offsets_[s] + i.
        std::vector<Task> tasks_;
        std::vector<std::uint32_t> offsets_;
        /// Tasks of each step that are not done.
        std::vector<std::uint32_t> openInStep_;
        std::uint32_t open_ = 0;
        std::uint32_t waiting_ = 0;
        JobState state_ = JobState::Pending;
        std::uint32_t priority_ = 0;
        Millis due_;
        /// A job of which nothing was started by then will most likely result after its objective.
        Millis latestStart_;
        /// A job of which nothing was started by then will most likely result too late to be of use to its caller.
        Millis lastUsefulStart_;
        /// Whether it was found to have missed latestStart_ with nothing started; such jobs are placed last.
        bool late_ = false;
        /// When its caller gives up; 0 for never.
        Millis callerTimeoutAt_;
        std::uint64_t sequence_ = 0;
        /// When the record has to be stored; empty when it says all that must last.
        std::optional<Millis> writeDue_;
        bool writing_ = false;
        /// Ends not yet in a stored record, and those in the write in progress.
        std::vector<ResultRef> unsaved_;
        std::vector<ResultRef> saving_;
        /// Entries that have offered it.
        std::set<std::string> origins_;
        /// Whether an earlier dispatcher may have started any of its tasks, so that nobody can say that it has not run.
        bool mayHaveStarted_ = false;

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
        /// Revision of the stored record; of no meaning for an ephemeral job.
        std::int64_t revision_ = 0;
    };

    /// What targets report of a job that nobody has offered yet.
    struct OrphanRuns
    {
        struct Running
        {
            std::string agent_;
            Run run_;
            /// When the agent was lost, 0 while it is not.
            Millis lostAt_;
        };

        std::vector<Running> running_;
        /// Ends with the life of the target that numbered them, also those that change nothing: they tell that it started.
        std::vector<std::pair<ResultRef, RunResult>> results_;
    };

    /// Priority, late or not, due time, order of arrival.
    using ReadyKey = std::tuple<std::uint32_t, bool, std::int64_t, std::uint64_t>;

    static ReadyKey keyOf(const Job &job);
    Task *findTask(const TaskId &id, Job *&job);
    void setWaiting(Job &job, Task &task);
    void applyDoneOrFailed(Job &job, Task &task, const std::string &agent, const RunResult &result, Millis now);
    void scheduleWrite(Job &job, const std::string &agent, const RunResult &result, Millis due);
    void finish(Job &job, JobState state, Millis now);
    void finalizeJob(Job &job, Millis now);
    void stopRuns(Job &job);
    void markRunLost(const std::string &agent, const TaskId &id, Millis now);
    void recordOrphanResult(Target &target, const RunResult &result);
    void markMissingRunsLost(const std::string &agent, const std::set<TaskId> &reported, Millis now);
    void adopt(Job &job, Task &task, const std::string &agent, const Run &run, Millis now);
    void applyReportedRun(const std::string &agent, const Run &run, std::set<TaskId> &reported, Millis now);
    template<typename Predicate>
    void eraseOrphanRuns(Predicate drop);
    void onResultSaved(const ResultRef &result);
    bool isLate(const Job &job, Millis now) const;
    bool isUnservable(const Job &job, Millis now) const;
    bool placeTasks(Job &job, Millis now);
    bool isStepReady(const Job &job, std::size_t step) const;
    void place(Job &job, std::size_t step, std::uint32_t index, Target &target, Millis now);
    void acknowledge(Target &target);
    const Queue *queueOf(const Job &job) const;

    std::uint64_t epoch_;
    std::uint64_t runsAssigned_ = 0;
    std::uint64_t nextSequence_ = 1;
    CellConfig config_;
    std::set<std::string> domainsOut_;
    std::unordered_map<std::string, Job> jobs_;
    /// Jobs in a final state that are stored or ephemeral; none of them is in jobs_.
    std::unordered_map<std::string, FinalJob> finalJobs_;
    /// Records of jobs that are in none of the other tables.
    std::vector<JobRemoval> removals_;
    /// None of these jobs is in jobs_ or ended_.
    std::unordered_map<std::string, OrphanRuns> orphans_;
    /// Jobs with waiting tasks, in the order of placing; all are in jobs_.
    std::map<ReadyKey, Job *> ready_;
    /// Jobs whose writeDue_ is set.
    std::unordered_set<std::string> dirty_;
    /// Tasks in phase Lost, with the moment of the loss; may name tasks that have left the phase.
    std::vector<std::pair<Millis, TaskId>> lostTasks_;
    Targets targets_;
    bool reconciled_ = false;
    DispatcherActions actions_;
};

} // namespace ibiswall::cell
