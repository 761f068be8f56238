// The duty that decides: owns the dispatcher and the links to agents and entries.

#pragma once

#include "messages.hpp"
#include "peers.hpp"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <ibiswall/settings.hpp>

namespace ibiswall {

/// How the dispatch duty reaches the other duties.
struct DispatchOutlets
{
    std::function<void(CallersMessage)> callers_;
    std::function<bool(WriteRequest)> platform_;
};

/// A change that was written and whose confirmation is not answered.
struct PendingConfirm
{
    CallerRef caller_ = 0;
    Change change_;
    /// When the confirmation is answered as unconfirmed.
    Millis giveUpAt_;
};

/// Runs the dispatcher on its own event loop.
class DispatchDuty
{
public:
    DispatchDuty(boost::asio::io_context &io, const EntrySettings &settings, DispatchOutlets outlets);

    /// Starts to accept links and to connect to the other entries.
    Result<std::uint16_t> start(const Address &address);

    /// Closes every link.
    void stop();

    /// Takes a request of a caller in.
    void take(DispatchMessage &&message);

    /// Takes news of the platform in.
    void take(PlatformMessage &&message);

private:
    void on(SubmitRequest &&request);
    void on(const JobRequest &request);
    void on(const IdsRequest &request);
    void on(const PlanRequest &request);
    void on(const ConfirmRequest &request);
    void on(const StatusRequest &request);
    void on(const AuditRequest &request);
    void on(const MetricsRequest &request);
    void on(const DrainRequest &request);
    void on(LogRead &&message);
    void on(const WriteReply &message);

    void receive(LinkId link, std::string_view frame);
    void onFrame(LinkId link, const AgentHello &hello);
    void onFrame(LinkId link, const LeaseRenewal &renewal);
    void onFrame(LinkId link, const TaskReports &reports);
    void onFrame(LinkId link, const AgentDraining &leaving);
    void onFrame(LinkId link, const PeerHello &hello);
    void onFrame(LinkId link, const RelayRequest &request);
    void onFrame(LinkId link, const PeerStatusRequest &question);
    void onFrame(LinkId link, const PeerChanges &changes);
    template<typename T>
    void onFrame(LinkId link, const T &unexpected);

    void act(DispatchActions &actions);
    void answer(CallerRef caller, const std::shared_ptr<const JobAnswer> &answer);
    void reply(CallerRef caller, HttpReply reply);
    void replyError(CallerRef caller, const Error &error);
    void applyChange(const Change &change);
    void applyChanges(Span<const Change> changes);
    void notifyAgents();
    void on(const std::string &peer, const PeerWord &word);
    void closed(LinkId link);
    PeerChanges changesAfter(std::uint64_t version) const;
    void askPeers(Millis now);
    void answerConfirms(Millis now);
    void awaitAcceptance(const WriteReply &message);
    Grant makeGrant(const Agent &agent, std::uint64_t renewal, Millis length) const;
    std::vector<TargetPlace> announced() const;
    void noteRefusedLink(std::string_view reason);
    void scheduleTick();
    void reportDrained();

    Dispatcher dispatcher_;
    DispatchOutlets outlets_;
    LinkServer links_;
    Peers peers_;
    boost::asio::steady_timer timer_;
    Electorate electorate_;
    /// The other entries by the links that they opened.
    std::unordered_map<LinkId, Incarnation> entryLinks_;
    /// Written changes, by version, that too few entries are known to have applied.
    std::map<std::uint64_t, PendingConfirm> pendingConfirms_;
    /// When the other entries were last asked for their version.
    Millis askedAt_;
    /// The latest changes, newest last and without gaps, for the audit trail and for entries that are behind.
    std::deque<Change> audit_;
    /// Where replies to relayed requests go; such callers have the top bit set.
    std::unordered_map<CallerRef, std::pair<LinkId, std::uint64_t>> relayed_;
    CallerRef nextRelayed_;
    bool drainReported_ = false;
    std::uint64_t refusedLinks_ = 0;
    /// When the last refused link was logged.
    Millis refusalLogged_;
};

} // namespace ibiswall
