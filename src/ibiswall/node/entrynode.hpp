// An entry of a cell: handles callers' requests, stores their jobs, and runs a leader session while it is the leader.

#pragma once

#include "acceptor.hpp"
#include "gracefulstop.hpp"
#include "handover.hpp"
#include "leadersession.hpp"
#include "leadership.hpp"
#include "mesh.hpp"
#include "metrics.hpp"
#include "processlimits.hpp"
#include "recoverystages.hpp"
#include "stopsignals.hpp"
#include "succession.hpp"
#include <deque>
#include <ibiswall/settings.hpp>

namespace ibiswall::node {

class EntryNode
{
public:
    EntryNode(boost::asio::io_context &io, const CellEntrySettings &settings);

    /// Starts listening and connecting.
    /// @return an error if an address cannot be bound
    Result<void> start();

    /// Applies a changed store address, grace period, retention of states and scheduling. Other changes need a restart.
    void apply(const CellEntrySettings &settings);

private:
    /// Bytes of an open job.
    struct JobShares
    {
        BudgetShare record_;
        BudgetShare durableJob_;
    };

    /// What this entry knows about a job.
    struct KnownJob
    {
        cell::JobState state_ = cell::JobState::Pending;
        /// Set while this entry must make sure that the leader has the job.
        std::unique_ptr<cell::JobRecord> record_;
        std::int64_t revision_ = 0;
        /// Epoch of the leader that it was last offered to, 0 for none.
        std::uint64_t offeredEpoch_ = 0;
        /// When this entry was notified of the final state.
        Millis endedAt_;
        /// Taken from ProcessLimits while record_ is set, and for a final state that is kept.
        JobShares shares_;

        bool isEphemeral() const
        {
            return record_ && record_->spec_.ephemeral_;
        }
    };

    /// A caller waiting for an answer.
    struct Caller
    {
        Respond respond_;
        Millis deadline_;
        std::uint64_t number_ = 0;
        Millis since_;
    };

    using Callers = std::unordered_map<std::string, std::vector<Caller>>;

    // Callers (entrycallers.cpp)
    void serve(HttpRequest &&request, Respond respond);
    void submit(const cell::Queue &queue, const std::string &id, const HttpRequest &request, Respond respond);
    void submitEphemeral(const std::string &id, cell::JobSpec spec, const HttpRequest &request, Respond respond);
    void onCallerDisconnected(const std::string &id, std::uint64_t number);
    std::optional<JobShares> acquireShares(const cell::JobSpec &spec);
    void keepFinalState(const std::string &id, KnownJob &job);
    void discardOldestFinalState();
    void expireFinalStates(Millis now);
    void refuse(const std::string &id, const char *reason, const Respond &respond);
    void answerAll(Callers &waiting, const std::string &id, const HttpReply &reply);
    /// @param unknownStatus status if there is no such job
    void answerState(const std::string &id, int unknownStatus, const Respond &respond);
    void cancel(const std::string &id, Millis deadline, Respond respond);
    void answerQueueLength(const cell::Queue &queue, const Respond &respond) const;
    void onAccepted(const std::string &id, const AcceptedJob &job);
    void onNotice(const cell::Notice &notice);
    void onUnknownJob(const std::string &id);
    void onCancelRefused(const std::string &id);
    void expireCallers(Millis now);
    void refuseUnoffered(Millis now);
    bool isStoreLost() const;
    Millis unservableWait(const cell::Queue &queue, const cell::JobSpec &spec) const;

    // Other processes of the cell (entrycell.cpp)
    void receive(const std::string &from, std::string_view bytes);
    void handle(const std::string &from, Frame &&frame);
    /// Whether a notice concerns a job of this entry and is not outdated.
    bool isRelevant(const NoticesFrame &frame, const cell::Notice &notice) const;
    bool sendTo(const std::string &name, const Frame &frame);
    void broadcastToEntries(const Frame &frame);
    void queueOffer(const std::string &id);
    Millis callerTimeout(const std::string &id) const;
    Millis callerWait(const std::string &id) const;
    void offerOpenJobs();
    void flushOffers();
    void scheduleOffers();
    void sendOffers(std::deque<std::string> &queue);
    void onPeerUp(const Peer &peer);
    void onPeerDown(const std::string &name);
    HeartbeatFrame makeHeartbeat(Millis now);
    void sendHeartbeats();
    void onLeaderChanged();

    // Campaigns (entrycampaign.cpp)
    void maybeCampaign();
    bool isHeldBack() const;
    void readLeader();
    bool onLeaderItem(const platform::Item &item, Millis sentAt);
    void acquireLead(std::int64_t expected);
    void onAcquireConflict(Span<const platform::Item> current, Millis sentAt);
    void checkRegistration(Span<const platform::Item> current);
    void startLeading(std::uint64_t epoch, Millis acquiredAt, std::int64_t replaced);
    void updateHandover(Millis now);
    void requestHandover(Millis now);
    void onHandoverList(const std::string &from, const HandoverFrame &frame);

    // Registry of entries (entryregistration.cpp)
    void readEntries();
    void publishEntry();
    void removeUnreachableEntries(Span<const platform::Item> items);

    // Configuration (entryconfig.cpp)
    void readConfig();
    void watchConfig();
    void applyConfig(Span<const platform::Item> items, bool isSnapshot);
    void onConfigChanged();

    void reachStage(RecoveryStage stage);
    void tick();
    void answerHealthCheck(const Respond &respond);
    void reportReadiness();
    void beginStop();
    void continueStop();
    void answerRemaining();

    boost::asio::io_context &io_;
    CellEntrySettings settings_;
    ProcessLimits limits_;
    Peer self_;
    platform::StoreClient store_;
    Mesh mesh_;
    Leadership leadership_;
    Succession succession_;
    PlannedTakeover takeover_;
    GracefulStop stop_;
    RecoveryStages stages_;
    Acceptor acceptor_;
    HttpServer callers_;
    HttpServer ready_;
    MetricsServer metrics_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer configTimer_;
    boost::asio::steady_timer offerTimer_;
    StopSignals signals_;

    cell::CellConfig config_;
    bool configured_ = false;
    std::int64_t configRevision_ = 0;
    std::int64_t watchFrom_ = 0;
    std::set<std::string> evacuatedDomains_;

    std::shared_ptr<LeaderSession> leaderSession_;
    bool campaigning_ = false;
    /// Value that the latest attempt to acquire the leadership writes, until its outcome is known.
    std::string leaderNonce_;
    /// Revision of the leader key that this attempt replaces; 0 if there has been no leader.
    std::int64_t replacedRevision_ = 0;

    std::unordered_map<std::string, KnownJob> jobs_;
    /// Jobs whose final states are kept, in the order in which this entry learned of them. Some may have been submitted again.
    std::deque<std::string> finalStates_;
    /// Callers waiting for a job to be stored, or for an ephemeral job to end.
    Callers submitters_;
    Callers cancellers_;
    /// Of jobs that are being stored.
    std::unordered_map<std::string, JobShares> acceptingShares_;
    /// Reads of states from the store that are in progress.
    std::size_t lookups_ = 0;
    std::uint64_t nextCaller_ = 1;
    /// Jobs to be offered to the leader: those with a caller that waits for their end, and after them others that are offered again.
    std::deque<std::string> offerQueue_;
    std::deque<std::string> reoffers_;
    bool offersScheduled_ = false;
    /// The leader's count of jobs with no task started, by queue.
    std::map<std::string, std::size_t> waiting_;
    /// Queues that the leader contains.
    std::set<std::string> contained_;
    /// Interfering pairs by the latest heartbeat of the leader.
    std::vector<cell::InterferingPair> interfering_;
    /// The leader's predicted waits by queue, and when they were received.
    std::map<std::string, Millis> waits_;
    Millis waitsAt_;
    /// Addresses of the other entries; empty before the first read.
    std::map<std::string, Address> entries_;
    /// Memory of the other entry with the least, in megabytes; 0 if it is not known.
    std::size_t smallestMemory_ = 0;
    /// When each registered entry was last reachable.
    std::map<std::string, Millis> entryReachedAt_;
    Millis entriesReadAt_;
    bool readingEntries_ = false;
    bool entryPublished_ = false;
    /// When the next heartbeat is due at each reachable entry.
    std::map<std::string, Millis> heartbeatsDueAt_;
    /// Contains the state of this process that the other entries were told last.
    HeartbeatFrame lastHeartbeat_;
    Millis prunedAt_;
    std::uint64_t nextNonce_ = 1;
    /// Readiness in the latest log line about it.
    bool reportedReady_ = false;
};

} // namespace ibiswall::node
