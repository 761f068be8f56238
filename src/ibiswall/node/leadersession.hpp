// The leader's work during one epoch: passes received frames to the dispatcher, and sends and stores its decisions.

#pragma once

#include "../../../platform/store.hpp"
#include "frames.hpp"
#include "handover.hpp"
#include "leadership.hpp"
#include "recoverystages.hpp"
#include <boost/asio/steady_timer.hpp>
#include <ibiswall/cell/reports.hpp>

namespace ibiswall::node {

/// Interval of the timer that checks timeouts and periodic work.
constexpr Millis tickPeriod{50};

/// Most records of a transaction of the leader: each takes a condition and a write, and the leader key takes a condition.
constexpr std::size_t maxRecords = (platform::maxTransactionSize - 1) / 2;

/// How long the record of a withdrawn job is kept: any transaction that an entry has sent for a submission before then has taken effect or
/// been rejected.
constexpr Millis withdrawnRetention{30000};

/// Durations of agent leases.
struct AgentLeaseSettings
{
    /// Longest lease of one agent from its ping; the tasks of an unresponsive agent are placed elsewhere after it.
    Millis duration_{1000};
    /// No agent lease lasts longer than this after the last confirmation of the leadership by the store, or longer than the
    /// election hold-off of the other entries, whichever ends later.
    Millis confirmationLimit_{3500};
    /// How long the hold-off of the other entries counts without a confirmation.
    Millis holdOffLimit_{8000};
    /// Added before a lease counts as expired, for slower clocks and the time that a target takes to stop a run.
    Millis margin_{200};
};

/// Callbacks through which a session reaches other processes and the election.
struct LeaderSessionHooks
{
    /// Sends a frame to an agent or entry; false when there is no path.
    std::function<bool(const std::string &, const Frame &)> send_;
    /// Sends a frame to every entry, this one included.
    std::function<void(const Frame &)> broadcast_;
    /// Drops the link to an agent.
    std::function<void(const std::string &)> drop_;
    /// Agents that can be reached.
    std::function<std::vector<std::string>()> reachableAgents_;
    /// Until when no other entry can have become the leader, even if the store does not answer.
    std::function<Millis()> heldOffUntil_;
    /// The leadership is lost: another entry has become the leader, or has to. This session has stopped.
    std::function<void()> leadershipLost_;
    /// The cell has passed a stage of its recovery; called again each time.
    std::function<void(RecoveryStage)> reached_;
};

/// Work of the leader during one epoch. Must be owned by a shared_ptr, since handlers of pending store calls keep it alive.
class LeaderSession : public std::enable_shared_from_this<LeaderSession>
{
public:
    /// @param acquiredAt when the store call that made this process the leader was sent
    /// @param first whether nobody has ever led before
    LeaderSession(boost::asio::io_context &io,
                  platform::StoreClient &store,
                  LeaderSessionHooks hooks,
                  std::uint64_t epoch,
                  Millis acquiredAt,
                  bool first,
                  Millis stateRetention);

    /// Loads jobs and agents from the store, and asks the agents for reports.
    /// @param agents the registered agents, if the former leader has handed them over: agents are asked at once then, and jobs that no
    /// leader can have started need not wait for the store
    void start(const std::optional<RegisteredAgents> &agents);
    void stop();

    /// Stops placing tasks and granting agent leases, so that another entry can take over without waiting.
    void stepDown();
    bool hasSteppedDown() const;

    /// Hands the leadership over to an entry. Placing continues until it has taken over, and hold-offs no longer count.
    void handOver(const std::string &successor);

    /// Continues to lead, since no entry is left to take over. To be called only once the handover is overdue.
    void cancelHandover();

    /// The entry that is to take over; empty if there is none.
    const std::string &successor() const;
    bool isHandoverOverdue(Millis now) const;

    /// When it stepped down; 0 if it has not.
    Millis steppedDownAt() const;

    /// Resumes after stepping down without a successor.
    void resume();

    void setConfig(const cell::CellConfig &config, const std::set<std::string> &domainsOut);
    /// Limits the bytes of jobs that have not ended; see Dispatcher::setJobBudget.
    void setJobBudget(std::shared_ptr<Budget> budget);
    void setScheduling(const cell::SchedulingSettings &settings);

    /// Takes over the containment of the previous leader.
    void containQueues(const std::set<std::string> &queues);
    const std::set<std::string> &containedQueues() const;

    /// Takes over the pairs of kinds that interfere by the previous leader.
    void adoptInterference(Span<const cell::InterferingPair> pairs);
    std::vector<cell::InterferingPair> interferingPairs() const;
    std::size_t interferingPairCount() const;

    /// Stops placing tasks on an agent's target until the agent has sent a full report, and asks for it. To be called when the
    /// agent has connected and whenever frames of it may have been lost.
    void requestFullReport(const std::string &agent);

    void onFrame(const std::string &from, Frame &&frame);

    /// Schedules scans of the stored jobs, since an entry may have failed before it could offer one.
    void scheduleSweeps();

    /// Age of the latest confirmation of the leadership, and the first unanswered call since.
    StoreContact storeContact() const;

    std::map<std::string, std::size_t> waitingJobs() const;

    /// Predicted time until a job that arrives now has started, by queue. Empty without admission control.
    std::map<std::string, Millis> predictedWaits() const;

private:
    struct AgentState
    {
        /// Registered in the store as an agent that may have active runs.
        bool registered_ = false;
        /// Revision of its key in the store.
        std::int64_t revision_ = 0;
        /// Removed from the store since its target accepted no starts and had no runs; registered again when it is usable.
        bool deregistered_ = false;
        /// Whether it may hold a lease or have active runs.
        bool mayHoldLease_ = false;
        /// Complete once it has reported in this epoch over the current path.
        cell::ReportOrder reports_;
        /// Number of announcements of this leader to the agent.
        std::uint64_t leadsSent_ = 0;
        /// What is to be acknowledged with the next orders.
        std::optional<cell::AckOrder> pendingAck_;
        /// When it was last granted a lease or sent a full report; its lease expires at the latest
        /// AgentLeaseSettings::duration_ later.
        Millis leaseGrantedAt_;
        /// Since when its target has accepted no starts and had no runs; 0 while it accepts starts or has runs.
        Millis idleSince_;
        /// Reports that wait for the registration.
        std::vector<ReportFrame> deferredReports_;
    };

    void load();
    void onRead();
    void addAgent(const std::string &name, std::int64_t revision);
    void onHandoverRequest(const std::string &from, const HandoverRequestFrame &frame);
    bool isFirstReportNeeded(const std::string &agent) const;
    void addStored(const platform::Item &item);
    void contactAgents();
    void sendLead(const std::string &agent);
    void onOffers(const std::string &from, OffersFrame &&frame);
    void onPing(const std::string &from, const PingFrame &frame);
    void onReport(const std::string &from, ReportFrame &&frame);
    void onCancel(const std::string &from, const CancelFrame &frame);
    void applyReport(const std::string &from, const ReportFrame &frame);
    void registerAgent(const std::string &agent);
    void deregisterAgent(const std::string &agent);
    void withdraw(const std::string &job, const std::string &entry);
    void scheduleWithdrawals(Millis due);
    void storeWithdrawals();
    void onWithdrawn(const std::vector<std::string> &jobs, const platform::StoreResult &answer);
    void answerCancels(const std::string &job);
    void lookUp(const std::string &job, std::function<void(bool)> callback);
    void lookUpOrphan(const std::string &job);
    void readJobs(std::function<void(platform::StoreOutcome)> done);
    void sweep();
    void dispatch();
    void logContainment();
    void logInterference();
    static void logStalls(Span<const cell::StallChange> changes);
    void logRefusals(Span<const cell::Refusal> refusals);
    void scheduleDispatch();
    void send(cell::DispatcherActions &&actions);
    void store();
    void onStored(const std::vector<cell::JobWrite> &writes, const std::vector<std::string> &values, const platform::StoreResult &answer);
    void onWritesRejected(const std::vector<cell::JobWrite> &writes);
    void removeExpiredRecords(Millis now);
    void onRemovalConflict(const std::vector<cell::JobRemoval> &removals, const platform::StoreResult &answer);
    void confirmLeadership();
    void tick();
    void checkAgents(Millis now);
    bool isReconciled(Millis now) const;
    bool haveAgentsReported(Millis now) const;
    platform::Transaction leaderTransaction() const;
    bool isStillLeader(const platform::StoreResult &conflict) const;
    void recordConfirmation(Millis sentAt);
    Millis leaseUntil() const;
    Millis heldOffUntil() const;
    Millis confirmationAge() const;
    void loseLeadership();

    boost::asio::io_context &io_;
    platform::StoreClient &store_;
    LeaderSessionHooks hooks_;
    std::uint64_t epoch_;
    bool isFirstEpoch_;
    Millis stateRetention_;
    AgentLeaseSettings leaseSettings_;
    cell::Dispatcher dispatcher_;
    std::map<std::string, AgentState> agents_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer storeTimer_;
    boost::asio::steady_timer loadTimer_;
    boost::asio::steady_timer withdrawTimer_;
    Millis startedAt_;
    /// When the latest store call that confirmed the leadership was sent.
    Millis confirmedAt_;
    bool confirming_ = false;
    /// When the first unanswered call for a confirmation was sent, 0 for none.
    Millis unansweredSince_;
    /// The registered agents are known, from the former leader or the store.
    bool loaded_ = false;
    /// Outcome of the read of all jobs and answer to that of the agents, until both have arrived.
    std::optional<platform::StoreOutcome> jobsRead_;
    std::optional<platform::StoreResult> agentsRead_;
    /// Records that the latest read of all jobs has returned so far.
    std::size_t jobsReadCount_ = 0;
    /// Jobs and agents have been read in this epoch, so nothing that an earlier leader has stored is unknown.
    bool storeRead_ = false;
    bool reconciled_ = false;
    HandoverOffer handover_{HandoverSettings{}};
    /// Set once the reachable agents have reported. Offers are deferred until then: a caller that lost its connection may
    /// submit again, through another entry and as a new job, what an agent still runs for the previous leader.
    bool agentsReported_ = false;
    std::vector<std::pair<std::string, OffersFrame>> earlyOffers_;
    /// Offers of jobs that are stored, which may be outdated or have been started from the store by an earlier leader; deferred until
    /// storeRead_.
    std::vector<std::pair<std::string, OffersFrame>> earlyStoredOffers_;
    Millis loadedAt_;
    bool stopped_ = false;
    /// When it stepped down, 0 if it has not.
    Millis steppedDownAt_;
    bool dispatchScheduled_ = false;
    /// Contained queues as logged last.
    std::set<std::string> loggedContained_;
    bool storing_ = false;
    /// Number of records that are stored in a transaction each, since the store has rejected one with several.
    std::size_t separateWrites_ = 0;
    /// When the latest transaction was sent; set to a later time to delay a retry.
    Millis storedAt_;
    /// When acknowledgements last went out to all agents that had some.
    Millis acknowledgedAt_;
    /// When to scan the stored jobs for some that the dispatcher does not have.
    std::vector<Millis> sweeps_;
    bool sweeping_ = false;
    /// Cancelled jobs that neither the dispatcher nor the store has, with the entries whose callers wait for the cancel. Each is to be
    /// withdrawn by a record in the store.
    std::map<std::string, std::set<std::string>> withdrawals_;
    bool withdrawing_ = false;
    /// When the latest transaction with such records was sent.
    Millis withdrawnAt_;
    std::set<std::string> lookingUp_;
    /// Jobs of orphan runs that are not in the store, with the time of the lookup.
    std::map<std::string, Millis> unstoredOrphans_;
    /// Jobs of orphan runs whose lookup got no answer and is retried.
    std::set<std::string> lookupRetries_;
    /// Jobs of orphan runs that are looked up if the first read of all jobs does not return them.
    std::set<std::string> earlyLookups_;
};

} // namespace ibiswall::node
