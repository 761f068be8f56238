// The agent's part beside a target: the last judge of each start, keeper of the target's lease, reporter of ends.

#pragma once

#include <ibiswall/cell/model.hpp>
#include <optional>
#include <set>

namespace ibiswall::cell {

/// A call to make to the target.
struct TargetCall
{
    enum class Kind : std::uint8_t {
        Start,
        Stop,
        /// Renews the lease, acknowledges ends and lists runs and ends.
        Renew,
    };

    Kind kind_ = Kind::Renew;
    Run run_;
    std::string payload_;
    std::string checkpoint_;
    /// How often the same start was sent before.
    int retries_ = 0;
    /// Lease result on the target's own clock; nothing to leave the lease as it is.
    std::optional<std::int64_t> leaseEnd_;
    std::uint64_t epoch_ = 0;
    std::uint64_t acknowledged_ = 0;
    /// How long a hold may wait for an result.
    Millis wait_;
    /// Life of the target that the call is for, 0 for any.
    std::int64_t targetIncarnation_ = 0;
    Millis sentAt_;
    /// Local moment of the lease result.
    Millis leaseUntil_;
    /// Numbers the holds, so that of two answers the older one is known.
    std::uint64_t serial_ = 0;
};

/// How a call ended.
enum class CallOutcome : std::uint8_t {
    Ok,
    /// Rejected for want of room.
    NoRoom,
    /// Rejected for another reason; not carried out.
    Rejected,
    /// Surely not carried out: the target could not be reached, or another life of it answered.
    NotSent,
    /// May have been carried out, or may be later.
    Unknown,
};

/// A target's answer to a hold.
struct RenewalReply
{
    CallOutcome outcome_ = CallOutcome::Unknown;
    /// The target's clock as it answered.
    std::int64_t clock_ = 0;
    std::int64_t targetIncarnation_ = 0;
    std::vector<Run> running_;
    std::vector<RunResult> results_;
};

/// What the dispatcher is told. The info is to be taken in before the ends, which belong to the life that it names.
struct AgentReport
{
    /// True when the lists are all that the agent knows; false when they add to what was told.
    bool full_ = false;
    /// Numbers the whole reports; the same in those that add to one. Starts that were ordered without knowledge of the
    /// latest one are refused.
    std::int64_t number_ = 0;
    /// 0 for a whole report, then one more for each that adds to it, so that a lost one is noticed.
    std::uint32_t part_ = 0;
    /// Set when it changed; with whole_, unless the target has not spoken since the agent began.
    std::optional<TargetInfo> info_;
    /// Life of the target that the lists belong to.
    std::int64_t targetIncarnation_ = 0;
    std::vector<Run> running_;
    std::vector<RunResult> results_;
    /// Starts that were not carried out, and whether for want of room.
    std::vector<std::pair<Run, bool>> rejected_;

    bool isEmpty() const
    {
        return !full_ && !info_ && results_.empty() && rejected_.empty();
    }
};

/// A call that the target has not answered by then is taken for lost: a target on the same machine answers within a few
/// milliseconds. Late answers do no harm, since calls may be repeated.
constexpr Millis targetCallTimeout{30};

/// Bounds of an attendant.
struct TargetSupervisorSettings
{
    /// Longest lease of a target.
    Millis maxLease_{1000};
    /// Longest wait of a hold for an result.
    Millis longPollWait_{120};
    /// The same while the target loses answers; bounds how late an result is told whose answer was lost.
    Millis lossyLongPollWait_{30};
    /// Holds at a time while the target loses answers, so that one lost answer delays nothing.
    int maxLossyRenewals_ = 2;
    /// Time for which a target counts as one that loses answers after a call that it did not answer.
    Millis lossyPeriod_{2000};
    /// Pause before a call that failed is repeated.
    Millis retryDelay_{40};
    /// Pause after a hold without an answer: the time-out was a pause already, but a closed connection is none.
    Millis lossRetryDelay_{5};
    /// How often a start without an answer is sent again before it is stopped.
    int maxStartRetries_ = 4;
    /// A target that has answered nothing for this long gets no further lease, so that what it runs is soon known to be
    /// over. Several calls fall into it, so that single lost answers do no harm.
    Millis unresponsiveAfter_{700};
    /// Pause between two questions to a target that does not answer.
    Millis probeInterval_{100};
    /// Added to a lease before it counts as lapsed: the target's slower clock, and its time to stop.
    Millis leaseExpiryMargin_{150};
};

/// The state beside one target. Not thread-safe, no input or output.
class TargetSupervisor
{
public:
    /// @param firstReport number of the first whole report; higher than those of earlier processes beside the target
    TargetSupervisor(TargetSupervisorSettings settings, std::int64_t firstReport);

    /// A dispatcher of a later epoch has taken over. All is to be reported to it.
    /// @param lastReport number of the latest report that it has taken in from here; the next one gets a higher number,
    ///        also when this process began with a clock behind that of an earlier one
    /// @return false when the epoch is an older one
    bool follow(std::uint64_t epoch, std::int64_t lastReport, Millis now);

    /// The current dispatcher grants the right to run until a moment.
    void renewAgentLease(Millis until);

    /// Reports all again over a new link.
    void scheduleFullReport();

    /// Takes in what the target says of itself.
    /// @param clock the target's clock as it spoke
    void onAnnouncement(const TargetInfo &info, std::int64_t clock, Millis now);

    /// The agent is to result: nothing more is started, what runs goes on.
    void drain();

    /// The target has left for good.
    void onDeparture(const std::string &id, Millis now);

    /// @param report number of the latest whole report that the dispatcher had when it decided
    /// @param ephemeral whether the result need not last longer than this process
    void start(const Run &run, const std::string &payload, const std::string &checkpoint, bool ephemeral, std::int64_t report, Millis now);
    void stop(const Run &run, Millis now);

    /// The dispatcher needs to hear no more of ends up to this number of a life of the target.
    void acknowledge(std::int64_t born, std::uint64_t through);

    void onStartReply(const TargetCall &call, CallOutcome outcome, Millis now);
    void onStopReply(const TargetCall &call, CallOutcome outcome, Millis now);
    void onRenewalReply(const TargetCall &call, const RenewalReply &reply, Millis now);

    /// Decides on holds, repeats and lapses.
    void tick(Millis now);

    std::vector<TargetCall> takeCalls();
    AgentReport takeReport();

    /// Runs that go on, or may.
    std::size_t runs() const;
    std::uint64_t epoch() const;

    /// Number of the latest whole report.
    std::int64_t reportNumber() const;

    /// Whether the target has answered its latest calls.
    bool isResponsive() const;

    /// Whether the target can take starts as far as the agent knows.
    bool isReady(Millis now) const;

private:
    enum class Phase : std::uint8_t {
        Starting,
        Running,
        /// A stop is to be confirmed.
        Stopping,
        /// Stopped; the next list of ends tells whether it had ended before.
        Stopped,
    };

    struct LocalRun
    {
        std::uint64_t number_ = 0;
        Phase phase_ = Phase::Starting;
        /// When the phase began; lists asked for earlier say nothing about it.
        Millis since_;
        Millis retryAt_;
        bool calling_ = false;
        bool ephemeral_ = false;
    };

    /// An result that the dispatcher has not acknowledged.
    struct UnacknowledgedResult
    {
        RunResult result_;
        bool ephemeral_ = false;
    };

    void recordOutcome(const TargetCall &call, CallOutcome outcome, Millis now);
    void setResponsive(bool responsive);
    bool isLossy(Millis now) const;
    bool mayRequestLease(Millis now) const;
    TargetCall makeCall(TargetCall::Kind kind, const Run &run, Millis now) const;
    void requestLease(TargetCall &call, Millis now);
    void renew(Millis wait, Millis now);
    void sendStop(const TaskId &task, LocalRun &run, Millis now);
    void onTargetRestarted(std::int64_t born);
    void markAllRunsLost();
    void recordResult(const RunResult &result);
    std::uint64_t releasable() const;
    void reconcileRuns(const TargetCall &call, const RenewalReply &reply, Millis now);

    TargetSupervisorSettings settings_;
    std::optional<TargetInfo> info_;
    /// Life of the target that runs_ and the result numbers belong to, 0 before the first word of it.
    std::int64_t targetIncarnation_ = 0;
    std::uint64_t epoch_ = 0;
    Millis agentLeaseUntil_;
    /// The target's clock was at least clock_ at the local moment clockAt_; not set before the target has spoken.
    std::optional<std::int64_t> clock_;
    Millis clockAt_;
    /// Latest local moment at which a lease can result that the target may have granted.
    Millis leaseUntil_;
    /// Calls without an outcome yet that ask for a lease.
    int leasesInFlight_ = 0;
    /// Whether the target has answered its latest calls.
    bool responsive_ = true;
    /// When a call was last left without an answer, 0 for never.
    Millis lastTimeoutAt_;
    /// Holds sent so far.
    std::uint64_t renewalsSent_ = 0;
    /// The latest hold whose lists were taken in; lists asked for earlier are older.
    std::uint64_t latestAppliedRenewal_ = 0;
    /// When the target last answered or announced itself.
    Millis lastContactAt_;
    std::map<TaskId, LocalRun> runs_;
    /// Ends by number that are told again in each whole report. Those of ephemeral jobs live here alone once the target
    /// has been told to forget them; all others the target lists until the dispatcher has stored what they mean.
    std::map<std::uint64_t, UnacknowledgedResult> unacknowledgedResults_;
    /// Highest number that the target has listed.
    std::uint64_t highestResult_ = 0;
    /// Highest number that a hold told the target to forget and the target answered.
    std::uint64_t releasedThrough_ = 0;
    int renewalsInFlight_ = 0;
    Millis renewRetryAt_;
    bool agentDraining_ = false;
    std::int64_t reportNumber_ = 0;
    /// Reports taken since the latest whole one.
    std::uint32_t incrementalReports_ = 0;
    bool fullReportDue_ = false;
    bool reportRenewalSent_ = false;
    std::vector<TargetCall> calls_;
    AgentReport report_;
};

} // namespace ibiswall::cell
