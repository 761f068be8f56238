// Supervises one target beside its agent: decides whether each start is carried out, renews the target lease and reports
// results.

#pragma once

#include <deque>
#include <ibiswall/cell/fence.hpp>
#include <ibiswall/cell/model.hpp>
#include <optional>
#include <set>

namespace ibiswall::cell {

/// A call to the target.
struct TargetCall
{
    enum class Kind : std::uint8_t {
        Start,
        Stop,
        /// Renews the target lease, acknowledges results and lists runs and results. A long poll.
        Renew,
    };

    Kind kind_ = Kind::Renew;
    Run run_;
    std::string payload_;
    std::string checkpoint_;
    /// Number of times that the same start was sent before.
    int retries_ = 0;
    /// End of the target lease on the target's clock, in milliseconds; empty to leave the lease unchanged.
    std::optional<std::int64_t> leaseEnd_;
    std::uint64_t epoch_ = 0;
    /// The target rejects the call once it has received one with a higher fence.
    std::uint64_t fence_ = 0;
    /// The target may discard its results up to this number; 0 to discard none.
    std::uint64_t acknowledged_ = 0;
    /// How long the target may delay the reply to a renewal while it has no new result.
    Millis wait_;
    /// Incarnation of the target that was known when the call was sent, 0 for none. A later one may carry it out.
    std::int64_t targetIncarnation_ = 0;
    Millis sentAt_;
    /// End of the target lease on the local clock.
    Millis leaseUntil_;
    /// Sequence number of a renewal, so that a reply that arrives out of order can be detected.
    std::uint64_t serial_ = 0;
};

/// Outcome of a call to the target.
enum class CallOutcome : std::uint8_t {
    Ok,
    /// Rejected because the target has too little free capacity.
    NoRoom,
    /// Rejected for another reason; not carried out.
    Rejected,
    /// Rejected since the target has received a call with a higher fence; not carried out.
    Fenced,
    /// Certainly not carried out: the target was unreachable, or another incarnation of it replied.
    NotSent,
    /// Certainly not carried out: nothing listens at the target's address. The target runs on the agent's machine, so its
    /// process has ended.
    Refused,
    /// May have been carried out, or may still be.
    Unknown,
};

/// A target's reply to a renewal.
struct RenewalReply
{
    CallOutcome outcome_ = CallOutcome::Unknown;
    /// The target's clock when it replied, in milliseconds.
    std::int64_t clock_ = 0;
    std::int64_t targetIncarnation_ = 0;
    std::vector<Run> running_;
    std::vector<RunResult> results_;
    /// Whether the target may have results after the listed ones. It lists them once it has been told to discard earlier ones.
    bool hasMoreResults_ = false;
};

/// What an agent reports to the dispatcher. Apply targetIncarnation_ and info_ before the results, which are numbered by that
/// incarnation.
struct AgentReport
{
    /// True when the lists contain all runs and all unacknowledged results; false when they add to earlier reports.
    bool full_ = false;
    /// Number of the full report; an incremental report has the number of the full report that it adds to. The agent
    /// rejects starts that were ordered without its latest full report.
    std::int64_t number_ = 0;
    /// 0 for a full report, then incremented with each report that adds to it, so that a lost report is detected.
    std::uint32_t part_ = 0;
    /// Set when it changed, and always in a full report unless the target has not announced itself since the agent
    /// started.
    std::optional<TargetInfo> info_;
    /// Incarnation of the target that the lists belong to. The agent may know it before its announcement.
    std::int64_t targetIncarnation_ = 0;
    std::vector<Run> running_;
    std::vector<RunResult> results_;
    /// Starts that were not carried out, each with whether the reason was a lack of capacity.
    std::vector<std::pair<Run, bool>> rejected_;
    /// Runs during which the target crashed: in a full report those of the last minute, else new ones. The end of the run
    /// is reported separately, once it is certain.
    std::vector<RunCrash> crashes_;
    /// Whether the target may have results that it has not listed yet, so that a run in neither list may have ended in any way.
    /// Set in a full report and when it changed.
    std::optional<bool> unlistedResults_;

    bool isEmpty() const
    {
        return !full_ && !info_ && results_.empty() && rejected_.empty() && crashes_.empty() && !unlistedResults_;
    }
};

/// A call without a reply after this time counts as lost. A target on the same machine replies within a few
/// milliseconds, and a late reply does no harm because calls may be repeated.
constexpr Millis targetCallTimeout{30};

/// Timeouts and limits of a supervisor.
struct TargetSupervisorSettings
{
    /// Longest target lease to request.
    Millis maxLease_{1000};
    /// Longest wait of a renewal for a result.
    Millis longPollWait_{120};
    /// The same while the connection to the target is lossy. Bounds the delay of a result whose reply was lost.
    Millis lossyLongPollWait_{30};
    /// Renewals in flight while the connection is lossy, so that a single lost reply causes no delay.
    int maxLossyRenewals_ = 2;
    /// How long the connection counts as lossy after a call without a reply.
    Millis lossyPeriod_{2000};
    /// Delay before a failed call is repeated.
    Millis retryDelay_{40};
    /// Delay after a renewal without a reply. The timeout has already delayed it, but a closed connection fails at
    /// once.
    Millis lossRetryDelay_{5};
    /// Maximum number of retries of an unanswered start; after them the run is stopped.
    int maxStartRetries_ = 4;
    /// A target that has not replied for this long gets no new lease, so that the end of its runs is soon certain.
    /// Spans several calls, so that single lost replies do no harm.
    Millis unresponsiveAfter_{700};
    /// Interval between renewals sent to an unresponsive target.
    Millis probeInterval_{100};
    /// Interval between renewals while the target has unlisted results and may not discard any: it replies at once, and the list of
    /// results stays the same.
    Millis unlistedPollInterval_{100};
    /// Largest error of the target's clock, from its drift since it was read, for which a lease is requested. It shortens the lease.
    Millis maxClockError_{200};
    /// Added to a lease before it counts as expired, for clock drift of the target and for the time that it needs to
    /// stop its runs.
    Millis leaseExpiryMargin_{150};
    /// Time from the first refused call to the conclusion that the target has crashed. Covers the replies to the calls that
    /// were in flight, which show whether their runs were started.
    Millis crashConfirmation_{20};
    /// A run whose start was sent at most this long before the target's last reply may have caused the crash.
    Millis crashSuspicionWindow_{50};
    /// Longest wait of a stopping agent, from the end of its last run, for the dispatcher to acknowledge the results. A result that
    /// must be stored first stays in the list of the target.
    Millis acknowledgementTimeout_{600};
    /// How long after its sending a call without a reply may still be carried out.
    Millis lateCallPeriod_{15000};
    /// Starts without a reply that are remembered at most; the oldest are dropped.
    std::size_t maxUnansweredStarts_ = 256;
    /// How long crashes are repeated in full reports, so that a new dispatcher knows of them.
    Millis crashRetention_ = crashRetention;
    /// Crashes that are repeated at most; the oldest are dropped.
    std::size_t maxCrashes_ = 256;
};

/// State machine that supervises one target. Not thread-safe; performs no I/O: the caller sends the calls and reports
/// that it takes from here.
class TargetSupervisor
{
public:
    /// @param firstReport number of the first full report; must be higher than those of earlier agent processes of this
    ///        target
    TargetSupervisor(TargetSupervisorSettings settings, std::int64_t firstReport);

    /// Follows a dispatcher and schedules a full report to it. Its fence voids the calls of an earlier agent process that the target has
    /// not carried out yet, so a run that is missing in the first report will never be started.
    /// @return false when the epoch is older than the current one
    bool follow(const Lead &lead, Millis now);

    /// The current dispatcher has extended the agent lease: runs may be started until then.
    void renewAgentLease(Millis until);

    /// Schedules a full report, for example after reconnecting.
    void scheduleFullReport();

    /// Applies an announcement of the target.
    /// @param clock the target's clock when it sent the announcement, in milliseconds
    void onAnnouncement(const TargetInfo &info, std::int64_t clock, Millis now);

    /// The agent is about to stop: starts nothing more and lets running tasks go on.
    void drain();

    /// The target has deregistered. It can also be an earlier incarnation with the same id, whose call arrives late.
    /// @param incarnation 0 if the call does not name it
    void onDeparture(const std::string &id, std::int64_t incarnation, Millis now);

    /// @param report number of the latest full report that the dispatcher knew when it placed the run
    /// @param ephemeral whether the result need not outlive this process
    void start(const Run &run, const std::string &payload, const std::string &checkpoint, bool ephemeral, std::int64_t report, Millis now);
    void stop(const Run &run, Millis now);

    /// The dispatcher no longer needs the results up to this number of an incarnation of the target.
    void acknowledge(std::int64_t incarnation, std::uint64_t through);

    void onStartReply(const TargetCall &call, CallOutcome outcome, Millis now);
    void onStopReply(const TargetCall &call, CallOutcome outcome, Millis now);
    void onRenewalReply(const TargetCall &call, const RenewalReply &reply, Millis now);

    /// Sends renewals and retries that are due, and marks runs lost after their lease has expired.
    void tick(Millis now);

    std::vector<TargetCall> takeCalls();
    AgentReport takeReport();

    /// Latest known incarnation of the target, 0 before the first contact.
    std::int64_t targetIncarnation() const;

    /// Number of runs that are running or may be.
    std::size_t runs() const;

    /// Whether the agent of a draining target may exit: nothing runs, and the dispatcher has acknowledged all results or has had
    /// time to.
    bool isDrained(Millis now) const;
    std::uint64_t epoch() const;

    /// Number of the latest full report.
    std::int64_t reportNumber() const;

    /// Whether the target has replied to the latest calls.
    bool isResponsive() const;

    /// Whether the target rejects the calls of this process: another one has used a higher fence. A new announcement of the dispatcher
    /// has a fence above that.
    bool isFenced() const;

    /// Whether a start can be sent: the target is known, neither it nor the agent is draining, the agent lease is valid for as long as
    /// the lease of the target, and no full report is due.
    bool isReady(Millis now) const;

private:
    enum class Phase : std::uint8_t {
        Starting,
        Running,
        /// The stop has not been confirmed yet.
        Stopping,
        /// Stopped; the next list of results shows whether it had ended before.
        Stopped,
    };

    /// A crash of the target that a run may have been active during, and whether the run may be its cause.
    struct PossibleCrash
    {
        Millis at_;
        bool suspected_ = false;
    };

    struct LocalRun
    {
        std::uint64_t number_ = 0;
        Phase phase_ = Phase::Starting;
        /// Start of the phase. Lists requested earlier say nothing about the run.
        Millis since_;
        Millis retryAt_;
        bool calling_ = false;
        bool ephemeral_ = false;
        /// When its start was last sent; 0 for a run that an earlier agent process started.
        Millis startSentAt_;
        /// Whether the target has confirmed the start, or listed the run as running.
        bool started_ = false;
        /// Latest incarnation of the target that can have started it, 0 if a later one than the known one can have. A reply to a start
        /// does not name the incarnation.
        std::int64_t startedBy_ = 0;
        /// Incarnation that was known when a call for its start had no reply, 0 if all had one. A later one may still carry it out.
        std::int64_t unansweredIn_ = 0;
        /// When the latest of these calls was found to have no reply.
        Millis unansweredAt_;
        /// Its end has been reported; it is only known here until its start is prevented.
        bool reported_ = false;
        /// The crash of an incarnation that it may have been active on; empty once that is known.
        std::optional<PossibleCrash> crash_;
    };

    /// A result that the dispatcher has not acknowledged.
    struct UnacknowledgedResult
    {
        RunResult result_;
        bool ephemeral_ = false;
    };

    void recordOutcome(const TargetCall &call, CallOutcome outcome, Millis now);
    void readClock(std::int64_t clock, Millis now);
    bool isClockKnown(Millis now) const;
    std::int64_t earliestClock(Millis now) const;
    void setResponsive(bool responsive);
    void recordCrash(bool restarted, Millis now);
    void addCrash(RunCrash crash, Millis at, Millis now);
    bool mayHaveCausedCrash(const LocalRun &run) const;
    void expireCrashes(Millis now);
    void reportTarget();
    bool isLossy(Millis now) const;
    bool mayRequestLease(Millis now) const;
    TargetCall makeCall(TargetCall::Kind kind, const Run &run, Millis now) const;
    void requestLease(TargetCall &call, Millis now);
    void renew(Millis wait, Millis now);
    void sendStop(const TaskId &task, LocalRun &run, Millis now);
    void onTargetRestarted(std::int64_t incarnation, Millis now);
    void dropRunsOfEarlierIncarnations(Millis now);
    void confirmIncarnation(const TargetCall &call);
    void rememberUnansweredStart(const TargetCall &call, Millis now);
    void stopUnansweredStarts(Millis now);
    void stopRunsWithStrayLease(Millis now);
    bool mayStartLate(const LocalRun &run, Millis now) const;
    void expireRuns(Millis now);
    std::map<TaskId, LocalRun>::iterator loseRun(std::map<TaskId, LocalRun>::iterator lost, Millis now);
    void recordResult(const RunResult &result);
    void setUnlistedResults(bool unlisted);
    bool canListMoreResults() const;
    std::uint64_t releasable() const;
    bool mayRelease() const;
    void reconcileRuns(const TargetCall &call, const RenewalReply &reply, Millis now);
    bool isStateKnownWithoutTarget(Millis now) const;
    void completeFullReport(Millis now);

    TargetSupervisorSettings settings_;
    std::optional<TargetInfo> info_;
    /// Incarnation of the target that runs_ and the result numbers belong to, 0 before the first contact.
    std::int64_t targetIncarnation_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t fence_ = 0;
    /// Whether a call with fence_ was rejected as outdated, and none has been carried out since.
    bool fenced_ = false;
    Millis agentLeaseUntil_;
    /// The target's clock was at least clock_ at the local time clockAt_; empty before the first contact.
    std::optional<std::int64_t> clock_;
    Millis clockAt_;
    /// Latest local time at which a lease that the target may hold can end.
    Millis leaseUntil_;
    /// Until then the target may hold a lease that does not end with the agent lease: it was requested by the clock of an earlier
    /// incarnation.
    Millis strayLeaseUntil_;
    /// Starts without a reply with the time of each, in order of time, at most maxUnansweredStarts_.
    std::deque<std::pair<Millis, Run>> unansweredStarts_;
    /// Calls in flight that request a lease.
    int leasesInFlight_ = 0;
    /// Whether the target has replied to the latest calls.
    bool responsive_ = true;
    /// The current incarnation of the target has deregistered, so later announcements of it are outdated.
    bool departed_ = false;
    /// Time of the first call that was refused since the target last replied, 0 for none.
    Millis refusedSince_;
    /// Whether the crash of the current incarnation has been recorded.
    bool crashRecorded_ = false;
    /// Runs whose lease has expired since the target last replied, each with whether its start was confirmed. Whether the
    /// target crashed is not known yet.
    std::vector<std::pair<Run, bool>> unexplainedLosses_;
    /// With the time of each, in order of time, at most maxCrashes_.
    std::deque<std::pair<Millis, RunCrash>> crashes_;
    /// When a run was last active.
    Millis lastRunAt_;
    /// Time of the latest call without a reply, 0 for never.
    Millis lastTimeoutAt_;
    /// Number of renewals sent.
    std::uint64_t renewalsSent_ = 0;
    /// Sequence number of the latest renewal whose lists were applied; replies to earlier ones are outdated.
    std::uint64_t latestAppliedRenewal_ = 0;
    /// When the target last replied or announced itself.
    Millis lastContactAt_;
    std::map<TaskId, LocalRun> runs_;
    /// Results by number, repeated in each full report. The target is told to discard results of ephemeral jobs, which
    /// are then kept here only. It lists all others until the dispatcher has stored their effect.
    std::map<std::uint64_t, UnacknowledgedResult> unacknowledgedResults_;
    /// Highest result number that the target has listed.
    std::uint64_t highestResult_ = 0;
    /// Highest result number that the target has confirmed to discard.
    std::uint64_t releasedThrough_ = 0;
    /// Whether the target may have results after highestResult_. A run that is in neither of its lists has ended then, but how is
    /// not known.
    bool unlistedResults_ = false;
    int renewalsInFlight_ = 0;
    Millis renewedAt_;
    Millis renewRetryAt_;
    bool agentDraining_ = false;
    std::int64_t reportNumber_ = 0;
    /// Reports taken since the latest full one.
    std::uint32_t incrementalReports_ = 0;
    bool fullReportDue_ = false;
    bool reportRenewalSent_ = false;
    /// The target has restarted, and its next list decides which runs are lost.
    bool listDue_ = false;
    /// Whether a list of the target has been applied, so that runs_ has every run that may be active on it.
    bool listApplied_ = false;
    std::vector<TargetCall> calls_;
    AgentReport report_;
};

} // namespace ibiswall::cell
