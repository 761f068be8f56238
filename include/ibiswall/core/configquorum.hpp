// Who must know a change before it counts as accepted, and on whose word an entry may go on without the platform.

#pragma once

#include <ibiswall/core/jobid.hpp>
#include <ibiswall/core/platformreadtime.hpp>
#include <map>

namespace ibiswall {

/// What another entry said when it was last asked.
struct PeerStatus
{
    /// When this entry sent the question, by its own clock.
    Millis askedAt_;
    /// Configuration version that the other entry had applied.
    std::uint64_t version_ = 0;
    /// Whether the other entry was settled.
    bool caughtUp_ = false;
};

/// What one entry knows about the others.
///
/// An entry relies on `relyQuorum` settled entries, itself included, when it goes on without the platform. A change is
/// accepted once `acceptQuorum` entries have applied it. Any two such sets share an entry.
struct ConfigQuorum
{
    /// Configured entries, this one included.
    std::size_t entries_ = 1;
    /// When this process started.
    Millis startedAt_;
    /// Whether this process knows every change that an earlier process of its name may have helped to accept.
    /// Once set it stays set.
    bool caughtUp_ = false;
    /// The latest read of the platform.
    PlatformReadTime lastRead_;
    /// Start of the latest finished attempt to read the platform, failed or not. Never falls.
    Millis attemptedAt_;
    /// The latest word of each other entry.
    std::map<std::string, PeerStatus, std::less<>> peerStatuses_;
    /// Highest incarnation number heard under each name. Never falls.
    std::map<std::string, std::uint64_t, std::less<>> incarnations_;
};

/// Entries that must vouch for the newest version when the platform cannot be read: more than half.
std::size_t readQuorum(const ConfigQuorum &quorum);

/// Entries that must have applied a change before it is answered as accepted: the fewest that meet every rely quorum.
std::size_t writeQuorum(const ConfigQuorum &quorum);

/// Records a successful read of the platform, after its changes were applied.
void recordPlatformRead(ConfigQuorum &quorum, Millis began);

/// Records a read of the platform that failed.
void recordPlatformFailure(ConfigQuorum &quorum, Millis began);

/// Records the answer of another entry.
/// @param version configuration version applied here
void recordPeerStatus(ConfigQuorum &quorum, std::string_view peer, const PeerStatus &word, std::uint64_t version);

/// Settles this process if the words heard so far allow it.
void updateCaughtUp(ConfigQuorum &quorum, std::uint64_t version);

/// Tells whether a question may be answered; false for a process that has been replaced under its name.
bool checkRequester(ConfigQuorum &quorum, const Incarnation &asker);

/// The moment up to which this entry surely knew every accepted change; zero when unknown.
Millis knownAsOf(const ConfigQuorum &quorum, std::uint64_t version, Millis now);

/// How long an agent may start tasks, counted from the moment it asked; zero when no grant can be given.
Millis leaseDuration(const ConfigQuorum &quorum, std::uint64_t version, Millis now);

/// Tells whether enough entries can be heard to accept a change.
bool canAccept(const ConfigQuorum &quorum, Millis now);

/// Tells whether enough entries have applied a version for its change to count as accepted.
bool isAccepted(const ConfigQuorum &quorum, std::uint64_t ownVersion, std::uint64_t version, Millis now);

} // namespace ibiswall
