// Event loop of the dispatcher: owns the links to agents and to other entries.

#pragma once

#include "messages.hpp"
#include "peers.hpp"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <ibiswall/settings.hpp>

namespace ibiswall {

/// Sends messages of the dispatch loop to the other loops.
struct DispatchLoopHooks
{
    std::function<void(CallersMessage)> sendToCallers_;
    /// Returns false when the queue is full.
    std::function<bool(WriteRequest)> sendToPlatform_;
};

/// A change that is written but not yet known to be applied by enough entries.
struct PendingConfirmation
{
    CallerRef caller_ = 0;
    Change change_;
    /// When the operator gets the answer "unconfirmed".
    Millis deadline_;
};

/// Runs the dispatcher on its own event loop.
class DispatchLoop
{
public:
    DispatchLoop(boost::asio::io_context &io, const EntrySettings &settings, DispatchLoopHooks hooks);

    /// Starts to accept links and to connect to the other entries.
    /// @return the bound port
    Result<std::uint16_t> start(const Address &address);

    /// Closes every link.
    void stop();

    /// Handles a request of a caller or an operator.
    void handle(DispatchMessage &&message);

    /// Handles a read or a write of the change log that the platform loop finished.
    void handle(PlatformMessage &&message);

private:
    void onMessage(SubmitRequest &&request);
    void onMessage(const JobRequest &request);
    void onMessage(const IdsRequest &request);
    void onMessage(const PlanRequest &request);
    void onMessage(const ConfirmRequest &request);
    void onMessage(const StatusRequest &request);
    void onMessage(const AuditRequest &request);
    void onMessage(const MetricsRequest &request);
    void onMessage(const DrainRequest &request);
    void onMessage(ChangeLogRead &&message);
    void onMessage(const WriteReply &message);

    void receive(LinkId link, std::string_view frame);
    void onFrame(LinkId link, const AgentHello &hello);
    void onFrame(LinkId link, const LeaseRenewal &renewal);
    void onFrame(LinkId link, const TaskReports &reports);
    void onFrame(LinkId link, const AgentDraining &leaving);
    void onFrame(LinkId link, const PeerHello &hello);
    void onFrame(LinkId link, const RelayRequest &request);
    void onFrame(LinkId link, const PeerStatusRequest &statusRequest);
    void onFrame(LinkId link, const PeerChanges &changes);
    template<typename T>
    void onFrame(LinkId link, const T &unexpected);

    void execute(DispatchActions &actions);
    void answer(CallerRef caller, const std::shared_ptr<const JobAnswer> &answer);
    void reply(CallerRef caller, HttpReply reply);
    void replyError(CallerRef caller, const Error &error);
    void applyChange(const Change &change);
    void applyChanges(Span<const Change> changes);
    void notifyAgents();
    void onPeerStatus(const std::string &peer, const PeerStatus &status);
    void onLinkClosed(LinkId link);
    PeerChanges changesAfter(std::uint64_t version) const;
    void queryPeers(Millis now);
    void resolveConfirmations(Millis now);
    void awaitAcceptance(const WriteReply &message);
    LeaseGrant makeLeaseGrant(const Agent &agent, std::uint64_t renewal, Millis duration) const;
    std::vector<TargetPlace> announcedTargets() const;
    void recordRefusedLink(std::string_view reason);
    void scheduleTick();
    void reportDrained();
    void reportCaughtUp();

    Dispatcher dispatcher_;
    DispatchLoopHooks hooks_;
    LinkServer links_;
    Peers peers_;
    boost::asio::steady_timer timer_;
    ConfigQuorum configQuorum_;
    /// Other entries by the link that they opened.
    std::unordered_map<LinkId, Incarnation> entryLinks_;
    /// By version.
    std::map<std::uint64_t, PendingConfirmation> pendingConfirmations_;
    /// When the other entries were last queried for their status.
    Millis lastQueryAt_;
    /// The latest changes in version order without gaps: the audit trail, and the source for entries that lag behind.
    std::deque<Change> recentChanges_;
    /// Link and relay number of each relayed request; the references of these callers have the top bit set.
    std::unordered_map<CallerRef, std::pair<LinkId, std::uint64_t>> relayedCallers_;
    CallerRef nextRelayedCaller_;
    bool drainReported_ = false;
    bool caughtUpReported_ = false;
    std::uint64_t refusedLinkCount_ = 0;
    /// When a refused link was last logged.
    Millis lastRefusalLogAt_;
};

} // namespace ibiswall
