// Which entries may take over the leadership, as the registry of entries decides it.
//
// Only a registered entry can acquire the leadership: the transaction has its record as a condition. An entry that the leader may not
// know waits for longer than a leader relies on what it has read in the registry. So a leader that the store no longer answers knows
// for a bounded time which entries can succeed it.

#pragma once

#include <cstdint>
#include <ibiswall/base.hpp>
#include <map>
#include <set>
#include <string>

namespace ibiswall::node {

struct SuccessionSettings
{
    /// For how long a leader relies on the registry as it has read it. Longer than most outages of the store.
    Millis registryValidity_{8000};
    /// Reads of the registry may be outdated by up to this much.
    Millis maxReadAge_{4000};
    /// How long an entry that the leader may not know waits after its registration before it campaigns. The sum of the two above.
    Millis newcomerWait_{12000};
};

/// The part of one entry in the succession, as a candidate and as the leader. Does no I/O.
class Succession
{
public:
    explicit Succession(SuccessionSettings settings);

    /// The record of this process in the registry has this revision.
    void onRegistered(std::int64_t revision, Millis now);

    /// The record has been removed.
    void onUnregistered();

    /// Revision of the record of this process, 0 if it is not registered.
    std::int64_t registration() const;

    /// The leader of an epoch has sent a heartbeat directly, so it knows this entry.
    void onLeaderHeard(std::uint64_t epoch);

    /// The leader key in the store names an incarnation of the leader.
    void onLeaderRead(std::uint64_t epoch, const std::string &leader, std::int64_t incarnation);

    /// A process of this name is running or has registered.
    void onIncarnation(const std::string &name, std::int64_t incarnation);

    /// Whether onLeaderRead has been called for this epoch.
    bool isLeaderRead(std::uint64_t epoch) const;

    /// Whether this entry must not succeed the leader of an epoch yet: the leader may still be acting without knowing of this entry.
    /// False if a later incarnation of the leader has been seen.
    bool mustWait(std::uint64_t epoch, Millis now) const;

    /// At the leader: names of the other registered entries, and when the call that read them was sent.
    void onRegistryRead(const std::set<std::string> &others, Millis sentAt);

    /// At the leader: a heartbeat was sent to an entry.
    void onHeartbeatSent(const std::string &entry, Millis now);

    /// At the leader: the entries that could succeed it before registryValidUntil(), unless their hold-off keeps them from it.
    const std::set<std::string> &candidates() const;

    /// Until when no entry but the candidates can become the leader. 0 before the first read of the registry.
    Millis registryValidUntil() const;

private:
    SuccessionSettings settings_;
    std::int64_t registration_ = 0;
    Millis registeredAt_;
    /// Latest epoch whose leader has been heard since the registration.
    std::uint64_t heardEpoch_ = 0;
    /// Epoch and leader as read from the store; 0 if they have not been read.
    std::uint64_t readEpoch_ = 0;
    std::string leader_;
    std::int64_t leaderIncarnation_ = 0;
    /// Latest incarnation seen of each process.
    std::map<std::string, std::int64_t> incarnations_;
    /// The registered entries and those in contactedAt_.
    std::set<std::string> candidates_;
    /// 0 before the first read.
    Millis registryReadAt_;
    /// When a heartbeat was last sent to each entry. Entries that are not registered for long are left out.
    std::map<std::string, Millis> contactedAt_;
};

} // namespace ibiswall::node
