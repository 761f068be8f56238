// An entry of a cell: takes callers' requests, makes jobs durable, and leads the cell when it is its turn.

#pragma once

#include "acceptor.hpp"
#include "leadersession.hpp"
#include "leadership.hpp"
#include "mesh.hpp"
#include "metrics.hpp"
#include <boost/asio/signal_set.hpp>
#include <ibiswall/settings.hpp>

namespace ibiswall::node {

class EntryNode
{
public:
    EntryNode(boost::asio::io_context &io, const CellEntrySettings &settings);

    /// Starts to listen and to connect.
    Result<void> start();

    /// Takes over changed settings, but for the addresses that it listens on.
    void apply(const CellEntrySettings &settings);

private:
    /// A job as this entry knows it.
    struct KnownJob
    {
        cell::JobState state_ = cell::JobState::Pending;
        /// Set while this entry has to see to it that the leader knows the job.
        std::optional<cell::JobRecord> record_;
        std::int64_t revision_ = 0;
        /// Epoch to which it was offered last, 0 for none.
        std::uint64_t offeredTo_ = 0;
        /// When the final state was learnt.
        Millis endedAt_;

        bool isEphemeral() const
        {
            return record_ && record_->spec_.ephemeral_;
        }
    };

    /// A caller who waits.
    struct Caller
    {
        Respond respond_;
        Millis giveUpAt_;
        std::uint64_t number_ = 0;
        Millis since_;
    };

    using Callers = std::unordered_map<std::string, std::vector<Caller>>;

    // Callers (entrycallers.cpp).
    void serve(HttpRequest &&request, Respond respond);
    void submit(const cell::Queue &queue, const std::string &id, const HttpRequest &request, Respond respond);
    void submitEphemeral(const std::string &id, cell::JobSpec spec, const HttpRequest &request, Respond respond);
    void callerLeft(const std::string &id, std::uint64_t number);
    void answerAll(Callers &waiting, const std::string &id, const HttpReply &reply);
    void answerState(const std::string &id, const Respond &respond);
    void cancel(const std::string &id, Millis giveUpAt, Respond respond);
    void answerWaiting(const cell::Queue &queue, const Respond &respond) const;
    void onAccepted(const std::string &id, const AcceptedJob &job);
    void onNotice(const cell::Notice &notice);
    void onUnknownJob(const std::string &id);
    void giveUp(Millis now);
    bool isStoreLost() const;

    // The cell (entrycell.cpp).
    void receive(const std::string &from, std::string_view bytes);
    void handle(const std::string &from, Frame &&frame);
    /// Whether a notice concerns a job here, and still holds.
    bool isWanted(const NoticesFrame &frame, const cell::Notice &notice) const;
    bool sendTo(const std::string &name, const Frame &frame);
    void tellEntries(const Frame &frame);
    void offerLater(const std::string &id);
    Millis patienceFor(const std::string &id) const;
    Millis ageOf(const std::string &id) const;
    void offerAll();
    void flushOffers();
    void peerUp(const Peer &peer);
    void peerDown(const std::string &name);
    void beat();
    void considerLead();
    void readLead();
    void takeLead(std::int64_t expected);
    void lead(std::uint64_t epoch, Millis takenAt, bool first);
    void onLeadChanged();
    void readEntries();
    void publishEntry();
    void removeDeadEntries(Span<const platform::Item> items);

    // Configuration (entryconfig.cpp).
    void readConfig();
    void watchConfig();
    void takeConfig(Span<const platform::Item> items, bool whole);
    void configChanged();

    void tick();
    bool isReady() const;
    void stop();
    void finishStop();
    void answerRest();

    boost::asio::io_context &io_;
    CellEntrySettings settings_;
    Peer self_;
    platform::StoreClient store_;
    Mesh mesh_;
    Leadership leadership_;
    Acceptor acceptor_;
    HttpServer callers_;
    HttpServer ready_;
    MetricsServer metrics_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer configTimer_;
    boost::asio::signal_set signals_;

    cell::CellConfig config_;
    bool configured_ = false;
    std::int64_t configRevision_ = 0;
    std::int64_t watchFrom_ = 0;
    std::set<std::string> domainsOut_;

    std::shared_ptr<DispatchDuty> duty_;
    bool takingLead_ = false;
    std::string leadNonce_;

    std::unordered_map<std::string, KnownJob> jobs_;
    /// Callers who wait for a job to be stored, or for an ephemeral job to end.
    Callers submitters_;
    Callers cancellers_;
    std::uint64_t nextCaller_ = 1;
    std::vector<std::string> toOffer_;
    /// The leader's count of jobs with no task started, by queue.
    std::map<std::string, std::size_t> waiting_;
    /// Other entries; not set before the first read.
    std::map<std::string, Address> entries_;
    bool entriesKnown_ = false;
    /// When each entry of the roster was last known to be reachable.
    std::map<std::string, Millis> entryReachedAt_;
    Millis entriesReadAt_;
    bool readingEntries_ = false;
    bool entryPublished_ = false;
    Millis beatAt_;
    Millis forgotAt_;
    std::uint64_t nextNonce_ = 1;
    /// Set once the process has been told to stop.
    std::optional<Millis> stoppingSince_;
    /// Set once callers are sent elsewhere: connections close after their answers, and new jobs are refused.
    std::optional<Millis> closingSince_;
};

} // namespace ibiswall::node
