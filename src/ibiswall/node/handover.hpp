// Planned handover of the leadership: the leader goes on placing until the successor that it has designated leads.
//
// The successor starts with the leader's list of registered agents and need not read it from the store first. An agent that is missing
// in the list is found by a later read, but an agent that the list names although it is no longer registered might get a lease that the
// next leader would not wait for. So the leader removes no registration for longer than the list may be used.

#pragma once

#include "frames.hpp"
#include <optional>
#include <string>

namespace ibiswall::node {

struct HandoverSettings
{
    /// How long the leader goes on placing for a successor that does not take over. Longer than one call to the store, which takes up
    /// to 1,000 ms.
    Millis limit_{1200};
    /// For how long a successor uses the list, from its request.
    Millis listValidity_{3000};
    /// For how long the leader removes no registration after it has sent the list. Longer than listValidity_, for clocks that differ.
    Millis removalPause_{5000};
    /// A request without an answer is sent again after this time. Longer than a round trip between failure domains.
    Millis requestInterval_{200};
};

/// The leader's part in a handover during one epoch. Does no I/O.
class HandoverOffer
{
public:
    explicit HandoverOffer(HandoverSettings settings);

    /// Designates a successor, or another one in the same handover.
    void designate(const std::string &successor, Millis now);

    /// The leader has stepped down instead.
    void end();

    /// Name of the designated successor; empty if there is no handover.
    const std::string &successor() const;

    bool isActive() const;

    /// Whether the successor should have taken over by now.
    bool isOverdue(Millis now) const;

    /// The list of registered agents has been sent.
    void onListSent(Millis now);

    /// Whether registrations of agents may be removed.
    bool mayRemoveAgents(Millis now) const;

private:
    HandoverSettings settings_;
    std::string successor_;
    /// Meaningful while successor_ is not empty.
    Millis begunAt_;
    /// 0 before the first list.
    Millis listSentAt_;
};

/// The part of an entry that the leader may designate. Does no I/O.
class PlannedTakeover
{
public:
    explicit PlannedTakeover(HandoverSettings settings);

    /// A heartbeat has come from the leader of an epoch.
    /// @param sentAt the leader's clock, since heartbeats may overtake one another on different paths
    void onLeaderHeartbeat(std::uint64_t epoch, bool designated, Millis sentAt);

    /// The request to send now, if any.
    std::optional<HandoverRequestFrame> takeRequest(Millis now);

    /// @return whether this answers the latest request, so that the leadership may be acquired now
    bool onList(const HandoverFrame &frame, Millis now);

    /// Whether the leader of this epoch awaits a takeover by this entry.
    bool isPrepared(std::uint64_t epoch, Millis now) const;

    /// The registered agents when this entry has succeeded the leader of an epoch; empty if they have to be read from the store.
    std::optional<RegisteredAgents> agentsAfter(std::uint64_t epoch, Millis now) const;

private:
    HandoverSettings settings_;
    /// Epoch and leader's clock of the latest heartbeat.
    std::uint64_t epoch_ = 0;
    Millis heardAt_;
    bool designated_ = false;
    /// When the open request was sent; 0 for none.
    Millis requestedAt_;
    /// Set only while listValidUntil_ has not passed and the leader has not called off the handover.
    std::optional<RegisteredAgents> agents_;
    Millis listValidUntil_;
};

} // namespace ibiswall::node
