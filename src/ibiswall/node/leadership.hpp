// Leader election among the entries of a cell: decides when an entry campaigns and when a leader steps down.
// A conditional write to the store decides which candidate wins.

#pragma once

#include <ibiswall/base.hpp>
#include <map>
#include <set>
#include <string>

#include "frames.hpp"

namespace ibiswall::node {

/// Timing of leader election.
struct LeadershipSettings
{
    /// A leader or another entry counts as unreachable after this time without a heartbeat. For the leader, heartbeats that
    /// other entries have received count as well.
    Millis peerTimeout_{450};
    /// Interval of heartbeats from and to the leader, and from its likely successors. Less than holdOff_.
    Millis frequentHeartbeat_{100};
    /// Interval of all other heartbeats; peerTimeout_ is longer by the difference for them.
    Millis rareHeartbeat_{1000};
    /// Number of entries that send frequent heartbeats besides the leader: those that would campaign first.
    std::size_t likelySuccessors_ = 4;
    /// Campaign delay for each eligible entry that ranks before this one, so that candidates do not compete. Entries rank by
    /// CPU share, then by name.
    Millis rankDelay_{150};
    /// A leader whose last confirmation from the store is older than this steps down if the store has since answered another
    /// entry.
    Millis maxLeaderStoreAge_{1300};
    /// An entry whose last answer from the store is older than this does not campaign.
    Millis maxCandidateStoreAge_{800};
    /// Allowance for the transit time of heartbeats and for clock drift when times of two processes are compared.
    Millis clockTolerance_{150};
    /// A leader that has stepped down resumes if it has no successor after this time. Shorter than an agent lease, which
    /// would expire otherwise and end the agents' runs.
    Millis resumeDelay_{500};
    /// Election hold-off: for how long an entry does not campaign after a heartbeat of the leader. Less than peerTimeout_.
    Millis holdOff_{400};
    /// Time that a new leader has for its first heartbeat.
    Millis startupGrace_{800};
    /// A leader steps down for an entry with at least this many times its CPU share ...
    double minCpuRatio_ = 1.5;
    /// ... that has been reachable without interruption for this long, so that an entry that keeps restarting, or is not linked
    /// to the agents yet, does not become the leader.
    Millis minUptime_{2000};
};

/// State of the contact between a leader and the store.
struct StoreContact
{
    /// Age of the latest confirmation of its leadership by the store.
    Millis age_;
    /// When the first call since then that is still unanswered was sent; 0 for none.
    Millis unansweredSince_;
};

/// Whether a process is shutting down, and how far it is.
enum class Departure {
    None,
    /// It still accepts jobs.
    Accepting,
    /// It refuses new jobs.
    Closing,
};

/// The latest leader that an entry has learned of.
struct LeaderInfo
{
    /// Revision of the leader key in the store; 0 if there has been no leader yet.
    std::uint64_t epoch_ = 0;
    std::string leader_;
};

/// What an entry knows about the other entries, for its log.
struct EntryCounts
{
    std::int64_t known_ = 0;
    std::int64_t reachable_ = 0;
    /// Reachable and leaving.
    std::int64_t leaving_ = 0;
    /// Reachable and accepting jobs.
    std::int64_t accepting_ = 0;
    /// Age of the oldest heartbeat among the reachable ones; 0 if there are none.
    Millis oldestHeartbeat_;
};

/// Election state machine of one entry. It does no I/O.
class Leadership
{
public:
    /// @param millicores CPU share of this entry, in thousandths of a core
    Leadership(std::string self, std::int64_t millicores, LeadershipSettings settings);

    /// Applies leader information from the store or from a heartbeat.
    /// @return true if it is newer than the known one
    bool updateLeader(const LeaderInfo &info, Millis now);

    /// @return whether the entry is new, or reports a different state of its own than before
    bool onHeartbeat(const std::string &from, const HeartbeatFrame &heartbeat, Millis now);

    /// Whether to campaign now.
    /// @param storeAge age of the latest answer of the store to this entry
    /// @param leaving whether this process is shutting down
    bool shouldCampaign(Millis storeAge, bool leaving, Millis now) const;

    /// Interval of heartbeats to another entry. The leader and its likely successors exchange them frequently with everyone,
    /// so that a lost leader is noticed by all and a leader that only some have lost is not replaced. The other entries need
    /// no recent state of one another, and their number would make the traffic grow with its square.
    Millis heartbeatInterval(const std::string &to, Millis now) const;

    /// This process has become the leader with this epoch.
    void acquire(std::uint64_t epoch, Millis now);

    /// This process is no longer the leader.
    void release();

    std::int64_t millicores() const;

    bool isLeader() const;
    const LeaderInfo &leaderInfo() const;

    /// Time since the last contact with the leader, direct or through another entry.
    Millis leaderAge(Millis now) const;

    /// At the leader: until when no other entry can have become the leader, whether the store answers or not. Entries without
    /// a hold-off in this epoch, or whose hold-off has expired, may have.
    /// @param entries names of all other entries
    Millis heldOffUntil(const std::set<std::string> &entries) const;

    /// Whether other reachable entries accept jobs and have at least half of the CPU of all reachable entries, so that callers
    /// can be sent there while this one is leaving. Of entries that are leaving at the same time, those with a larger CPU
    /// share, then those whose names sort later, continue for the others, so that not all of them refuse jobs at once.
    bool hasSuccessor(Millis now) const;

    EntryCounts countOthers(Millis now) const;

    /// At the leader: whether to step down for an eligible entry. Reasons are that this process is leaving; that the store has
    /// answered the other entry but not an earlier call of this one; or that the other entry has a much larger CPU share. All
    /// tasks of the cell pass through the leader, which overloads a small VM; so a leader that is leaving waits, until it refuses
    /// jobs, for an entry of comparable CPU share that has been up long enough to be linked to the agents.
    bool shouldStepDown(const StoreContact &store, Departure departure, Millis now) const;

    /// The entry to step down for, of several the one that campaigns first; empty if shouldStepDown() is false.
    std::string successor(const StoreContact &store, Departure departure, Millis now) const;

    /// At a leader that has stepped down: whether to resume since no entry has succeeded it. While the store is down none can.
    bool shouldResume(Millis steppedDownAt, Millis now) const;

    /// Start of the hold-off to report in heartbeats, on the leader's clock; 0 for none.
    Millis holdOffFrom() const;

private:
    struct OtherEntry
    {
        Millis lastContactAt_;
        Millis storeAge_;
        bool leaving_ = false;
        bool accepting_ = false;
        bool steppedDown_ = false;
        std::int64_t millicores_ = 0;
        /// Since when it has been reachable without interruption.
        Millis upSince_;
        /// When it first reported in this epoch that it has stepped down, 0 if it has not.
        Millis steppedDownAt_;
        /// Start of its latest hold-off in this epoch, on the leader's clock; 0 for none.
        Millis holdOffFrom_;
        std::uint64_t epoch_ = 0;
        /// Interval of its heartbeats to this entry.
        Millis interval_;
    };

    bool isLikelySuccessor(Millis now) const;
    bool isAlive(const OtherEntry &other, Millis now) const;
    bool isEligible(const OtherEntry &other, Millis now) const;

    std::string self_;
    std::int64_t millicores_;
    LeadershipSettings settings_;
    LeaderInfo leaderInfo_;
    /// Epoch in which this process became the leader, 0 for none.
    std::uint64_t acquiredEpoch_ = 0;
    Millis lastContactAt_;
    /// The leader's clock in the latest heartbeat received directly from it in this epoch.
    Millis leaderClock_;
    /// Other entries by name.
    std::map<std::string, OtherEntry> others_;
};

} // namespace ibiswall::node
