// Quorum rules among entries: when a configuration change counts as accepted, and which confirmations allow an entry to
// issue leases while the platform is unavailable.

#pragma once

#include <ibiswall/core/jobid.hpp>
#include <ibiswall/core/platformreadtime.hpp>
#include <map>

namespace ibiswall {

/// The latest status reply of another entry.
struct PeerStatus
{
    /// When this entry sent the query, by its own clock.
    Millis queriedAt_;
    /// Configuration version that the peer had applied.
    std::uint64_t version_ = 0;
    /// Whether the peer was caught up.
    bool caughtUp_ = false;
};

/// The view that one entry has of its peers.
///
/// Without the platform, an entry relies on confirmations of `readQuorum` caught-up entries, itself included. A change is
/// accepted once `writeQuorum` entries have applied it. Any read quorum intersects any write quorum.
struct ConfigQuorum
{
    /// Number of configured entries, including this one.
    std::size_t entries_ = 1;
    /// Start time of this process.
    Millis startedAt_;
    /// Whether this process knows every change that an earlier process of its name may have helped to accept.
    /// Never reset.
    bool caughtUp_ = false;
    /// The latest successful read of the platform.
    PlatformReadTime lastRead_;
    /// Start of the latest completed attempt to read the platform, successful or not. Never decreases.
    Millis attemptedAt_;
    /// The latest status of each peer, by name.
    std::map<std::string, PeerStatus, std::less<>> peerStatuses_;
    /// Highest incarnation number seen for each name. Never decreases.
    std::map<std::string, std::uint64_t, std::less<>> incarnations_;
};

/// Number of entries that must confirm the latest version while the platform cannot be read: a majority.
std::size_t readQuorum(const ConfigQuorum &quorum);

/// Number of entries that must have applied a change before it is answered as accepted: the smallest number that
/// intersects every read quorum.
std::size_t writeQuorum(const ConfigQuorum &quorum);

/// Records a successful read of the platform. Call after applying the changes that were read.
void recordPlatformRead(ConfigQuorum &quorum, Millis startedAt);

/// Records a failed read of the platform.
void recordPlatformFailure(ConfigQuorum &quorum, Millis startedAt);

/// Records the status reply of a peer.
/// @param version configuration version that this entry has applied
void recordPeerStatus(ConfigQuorum &quorum, std::string_view peer, const PeerStatus &status, std::uint64_t version);

/// Sets caughtUp_ if the recorded peer statuses allow it.
void updateCaughtUp(ConfigQuorum &quorum, std::uint64_t version);

/// Records the incarnation of a requester.
/// @return false if a later incarnation of the same name is known; the request must not be answered then
bool checkRequester(ConfigQuorum &quorum, const Incarnation &requester);

/// The time up to which this entry is certain to know every accepted change; zero if unknown.
Millis knownAsOf(const ConfigQuorum &quorum, std::uint64_t version, Millis now);

/// Duration of an agent lease, counted from the moment the agent requested it; zero if none can be issued.
Millis leaseDuration(const ConfigQuorum &quorum, std::uint64_t version, Millis now);

/// Returns whether enough entries are reachable to accept a change.
bool canAccept(const ConfigQuorum &quorum, Millis now);

/// Returns whether enough entries have applied a version for its change to count as accepted.
bool isAccepted(const ConfigQuorum &quorum, std::uint64_t ownVersion, std::uint64_t version, Millis now);

} // namespace ibiswall
