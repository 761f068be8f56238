// The leading entry's duty: feeds the dispatcher with what arrives, and sends and stores what it decides.

#pragma once

#include "../../../platform/store.hpp"
#include "frames.hpp"
#include "leadership.hpp"
#include <boost/asio/steady_timer.hpp>
#include <ibiswall/cell/reports.hpp>

namespace ibiswall::node {

/// How often the duty looks for what time has made due.
constexpr Millis tickPeriod{50};

/// Times of the right to run.
struct RightSettings
{
    /// Longest right of an agent counted from its ping: a silent agent's tasks go elsewhere after it.
    Millis agent_{1000};
    /// Longest right of all agents counted from the leader's latest proof from the store that it leads.
    Millis leader_{3500};
    /// Added before a right counts as over: slower clocks, and the target's time to stop.
    Millis slack_{200};
};

/// How the duty reaches others.
struct DispatchOutlets
{
    /// Sends a frame to an agent or entry; false when there is no path.
    std::function<bool(const std::string &, const Frame &)> send_;
    /// Sends a frame to every entry, this one included.
    std::function<void(const Frame &)> tellEntries_;
    /// Drops the link to an agent.
    std::function<void(const std::string &)> drop_;
    /// Agents that can be reached.
    std::function<std::vector<std::string>()> agents_;
    /// Until when no other entry can have taken the lead, whatever the store does.
    std::function<Millis()> promisedUntil_;
    /// Another entry leads, or must.
    std::function<void()> deposed_;
};

/// Lives for one epoch.
class DispatchDuty : public std::enable_shared_from_this<DispatchDuty>
{
public:
    /// @param takenAt when the call that took the lead was sent
    /// @param first whether nobody has ever led before
    DispatchDuty(boost::asio::io_context &io,
                 platform::StoreClient &store,
                 DispatchOutlets outlets,
                 std::uint64_t epoch,
                 Millis takenAt,
                 bool first,
                 Millis keepStates);

    /// Reads what is stored, then takes over the agents.
    void start();
    void stop();

    /// Stops to place tasks and to grant rights, so that another entry can take over without waiting.
    void yield();
    bool hasYielded() const;

    /// When it began to yield.
    Millis yieldedAt() const;

    /// Goes on after a yield that nobody has answered.
    void resume();

    void setConfig(const cell::CellConfig &config, const std::set<std::string> &domainsOut);

    void agentUp(const std::string &agent);
    void received(const std::string &from, Frame &&frame);

    /// Reads the jobs again, in case an entry died before it could offer one.
    void sweepLater();

    /// Age of the latest proof that this process leads, and what is open with the store.
    StoreContact storeContact() const;

    std::map<std::string, std::size_t> waitingJobs() const;

private:
    struct AgentState
    {
        /// Known to the store as one that may hold runs.
        bool registered_ = false;
        /// Revision of its key in the store.
        std::int64_t revision_ = 0;
        /// Taken out of the store since its target took and ran nothing; it comes back with the target.
        bool forgotten_ = false;
        /// Whether it may hold a right, or runs that go on.
        bool trusted_ = false;
        /// Complete once it has reported in this epoch over the present path.
        cell::ReportOrder reports_;
        /// What is to be acknowledged with the next orders.
        std::optional<cell::AckOrder> acknowledge_;
        /// When the latest answer that gave a right went out.
        Millis grantedAt_;
        /// Since when its target has taken nothing and run nothing; 0 while it has.
        Millis idleSince_;
        /// Reports that wait for the registration.
        std::vector<ReportFrame> waiting_;
    };

    void load();
    void onLoaded(const platform::StoreResult &jobs);
    void onAgentsLoaded(const platform::StoreResult &agents);
    void addStored(const platform::Item &item);
    void takeOver();
    void introduce(const std::string &agent);
    void onOffers(const std::string &from, OffersFrame &&frame);
    void onPing(const std::string &from, const PingFrame &frame);
    void onReport(const std::string &from, ReportFrame &&frame);
    void onCancel(const std::string &from, const CancelFrame &frame);
    void applyReport(const std::string &from, const ReportFrame &frame);
    void registerAgent(const std::string &agent);
    void forgetAgent(const std::string &agent);
    void lookUp(const std::string &job, std::function<void(bool)> then);
    void lookUpForeign(const std::string &job);
    void sweep();
    void act();
    void actLater();
    void send(cell::Effects &&effects);
    void store();
    void onStored(const std::vector<cell::JobWrite> &writes, const std::vector<std::string> &values, const platform::StoreResult &answer);
    void removeEnded(Millis now);
    void onRemovalConflict(const std::vector<cell::JobRemoval> &removals, const platform::StoreResult &answer);
    void prove();
    void tick();
    void checkAgents(Millis now);
    bool isGathered(Millis now) const;
    bool isSettled(Millis now) const;
    platform::Transaction conditional() const;
    void proved(Millis sentAt);
    Millis rightUntil() const;
    Millis proofAge() const;
    void depose();

    boost::asio::io_context &io_;
    platform::StoreClient &store_;
    DispatchOutlets outlets_;
    std::uint64_t epoch_;
    bool first_;
    Millis keepStates_;
    RightSettings rights_;
    cell::Dispatcher dispatcher_;
    std::map<std::string, AgentState> agents_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer storeTimer_;
    Millis tookOverAt_;
    /// When the latest call that proved the lead had been sent.
    Millis provedAt_;
    bool proving_ = false;
    /// When the first call for a proof was sent that has had no answer, 0 for none.
    Millis unansweredSince_;
    bool loaded_ = false;
    bool gathered_ = false;
    /// Set once the agents that can be reached have reported. Offers wait for it: a caller who lost its connection may
    /// offer through another entry, as new, what an agent still runs for the former leader.
    bool settled_ = false;
    std::vector<std::pair<std::string, OffersFrame>> earlyOffers_;
    Millis loadedAt_;
    bool stopped_ = false;
    /// Since when it yields, 0 while it does not.
    Millis yieldedAt_;
    bool acting_ = false;
    bool storing_ = false;
    Millis storedAt_;
    /// When acknowledgements last went out to all agents that had some.
    Millis acknowledgedAt_;
    std::vector<Millis> sweeps_;
    bool sweeping_ = false;
    std::set<std::string> lookingUp_;
    /// Foreign jobs that are not in the store, with the moment at which this was seen.
    std::map<std::string, Millis> unoffered_;
    /// Foreign jobs whose look-up got no answer.
    std::set<std::string> lookUpAgain_;
};

} // namespace ibiswall::node
