// Decides when an entry takes the lead of its cell. The store's conditional write decides who gets it.

#pragma once

#include <ibiswall/base.hpp>
#include <map>
#include <set>
#include <string>

#include "frames.hpp"

namespace ibiswall::node {

/// Times of the lead.
struct LeadershipSettings
{
    /// A leader not heard of for this long, on any path, is taken for gone.
    Millis silence_{450};
    /// Added for each live entry whose name comes first, so that not all try at once.
    Millis turn_{150};
    /// A leader whose latest word from the store is older than this lets go, if another entry has had one since.
    Millis storeLost_{1300};
    /// An entry whose latest word from the store is older than this does not try for the lead.
    Millis storeFresh_{800};
    /// What beats may take on their way, and clocks may differ in pace while one is compared with another's.
    Millis transit_{150};
    /// A leader that has let go and has no successor after this time goes on: shorter than the right of an agent, whose
    /// runs would lapse.
    Millis resume_{500};
    /// How long an entry that has just heard the leader does not try for the lead; less than silence_.
    Millis promise_{400};
    /// Time that a new leader has to make itself heard.
    Millis settle_{800};
    /// A leader lets go to an entry with at least this many times its processor ...
    double stronger_ = 1.5;
    /// ... that has been heard without a break for this long, so that one that keeps restarting gets no lead.
    Millis steady_{2000};
};

/// How a leader stands with the store.
struct StoreContact
{
    /// Age of its latest proof that it leads.
    Millis age_;
    /// When the first call since then was sent that has had no answer; 0 for none.
    Millis unansweredSince_;
};

/// What an entry knows of the lead.
struct Lead
{
    /// Revision of the leader's key; 0 while nobody has led.
    std::uint64_t epoch_ = 0;
    std::string leader_;
};

/// The state of one entry. No input or output.
class Leadership
{
public:
    /// @param power processor that this entry may use, in thousandths of a core
    Leadership(std::string self, std::int64_t power, LeadershipSettings settings);

    /// The stored lead as read from the store, or as a beat tells it.
    /// @return true when it is newer than what was known
    bool learn(const Lead &lead, Millis now);

    void heard(const std::string &from, const BeatFrame &beat, Millis now);

    /// Tells whether to try for the lead now.
    bool shouldTake(Millis storeAge, bool leaving, Millis now) const;

    /// This process has won the lead with this epoch.
    void take(std::uint64_t epoch, Millis now);

    /// This process lets go of the lead that it had.
    void release();

    std::int64_t power() const;

    bool isMine() const;
    const Lead &lead() const;

    /// Time since the leader was heard.
    Millis leaderAge(Millis now) const;

    /// At the leader: until when no other entry can have taken the lead, whatever the store does. Entries that have
    /// not promised anything, or whose promise is over, may have.
    /// @param entries names of all other entries
    Millis promisedUntil(const std::set<std::string> &entries) const;

    /// Whether another entry is alive and stays, so that callers have somewhere to go.
    bool hasHeir(Millis now) const;

    /// At the leader: whether to let go, since it is leaving and another entry can take over; since the store has answered
    /// another entry but not a call that this one had sent before; or since a much stronger entry is there. All tasks of
    /// the cell pass through the leader, which a weak VM does not bear.
    bool shouldLetGo(const StoreContact &store, bool leaving, Millis now) const;

    /// At a leader that has let go: whether to go on, since nobody has taken the lead. In an outage nobody can.
    bool shouldResume(Millis yieldedAt, Millis now) const;

    /// What to promise the leader in a beat.
    Millis promisedFrom() const;

private:
    struct Other
    {
        Millis heardAt_;
        Millis storeAge_;
        bool leaving_ = false;
        bool yielded_ = false;
        std::int64_t power_ = 0;
        /// Since when it has been heard without a break.
        Millis upSince_;
        /// When it was first heard to have yielded in this epoch, 0 while it has not.
        Millis yieldedAt_;
        /// Latest promise to this leader in this epoch, 0 for none.
        Millis promisedFrom_;
        std::uint64_t epoch_ = 0;
    };

    bool isAlive(const Other &other, Millis now) const;
    bool isAble(const Other &other, Millis now) const;

    std::string self_;
    std::int64_t power_;
    LeadershipSettings settings_;
    Lead lead_;
    /// Epoch that this process has won, 0 for none.
    std::uint64_t taken_ = 0;
    Millis heardAt_;
    /// The leader's clock in the latest beat heard from itself in this epoch.
    Millis leaderClock_;
    /// Other entries by name.
    std::map<std::string, Other> others_;
};

} // namespace ibiswall::node
