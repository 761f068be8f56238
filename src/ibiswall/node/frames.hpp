// Frames between entries and agents, and between entries, as CBOR.

#pragma once

#include <ibiswall/cell/dispatcher.hpp>
#include <ibiswall/cell/targetsupervisor.hpp>
#include <variant>

namespace ibiswall::node {

/// A dispatcher makes itself known to an agent.
struct LeadFrame
{
    std::uint64_t epoch_ = 0;
    /// Number of the latest report of the agent that the sender has taken in; 0 for none.
    std::int64_t lastReport_ = 0;
};

/// An agent asks for the right to go on.
struct PingFrame
{
    std::uint64_t epoch_ = 0;
    /// The agent's clock, returned with the answer.
    Millis sentAt_;
};

/// The right runs from the moment at which the agent had sent its ping.
struct PongFrame
{
    std::uint64_t epoch_ = 0;
    Millis sentAt_;
    Millis right_;
};

struct ReportFrame
{
    std::uint64_t epoch_ = 0;
    cell::AgentReport report_;
};

/// Orders of a dispatcher to one agent.
struct OrdersFrame
{
    std::uint64_t epoch_ = 0;
    /// Number of the latest whole report of the agent that the leader has taken in.
    std::int64_t report_ = 0;
    std::vector<cell::StartOrder> starts_;
    std::vector<cell::StopOrder> stops_;
    /// Ends up to this number need not be listed again; 0 for no news.
    std::uint64_t acknowledged_ = 0;
    /// Life of the target that numbered them.
    std::int64_t acknowledgedBorn_ = 0;
};

/// An entry's word to another about the dispatcher and the store.
struct BeatFrame
{
    std::uint64_t epoch_ = 0;
    std::string leader_;
    /// Time since the leader was last heard, at this entry or further on.
    Millis leaderAge_;
    /// Age of the latest answer of the store.
    Millis storeAge_;
    /// The sender is about to end.
    bool leaving_ = false;
    /// The sender leads, and has stopped to place tasks so that another entry can take over.
    bool yielded_ = false;
    /// Processor that the sender may use, in thousandths of a core.
    std::int64_t power_ = 0;
    /// The sender's clock.
    Millis sentAt_;
    /// The leader's clock in the latest beat of this epoch that the sender has received from it: the sender has not
    /// tried for the lead since, and will not for LeadershipSettings::promise_ from then.
    Millis promisedFrom_;
    /// From the leader: jobs of each queue with no task started.
    std::map<std::string, std::size_t> waiting_;
};

/// Jobs that an entry has accepted and stored.
struct OffersFrame
{
    std::vector<cell::JobOffer> offers_;
};

/// States that have changed, from the leader to all entries.
struct NoticesFrame
{
    std::uint64_t epoch_ = 0;
    /// The jobs are ephemeral: only entries whose callers still wait want to know.
    bool ephemeral_ = false;
    std::vector<cell::Notice> notices_;
};

struct CancelFrame
{
    std::string job_;
    /// The caller has only stopped to wait; another one may still.
    bool abandoned_ = false;
};

/// The leader knows of no such job, nor does the store. Any other answer to a cancel is a notice.
struct UnknownJobFrame
{
    std::string job_;
};

using Frame = std::
    variant<LeadFrame, PingFrame, PongFrame, ReportFrame, OrdersFrame, BeatFrame, OffersFrame, NoticesFrame, CancelFrame, UnknownJobFrame>;

std::string formatFrame(const Frame &frame);

/// @return BadFrame when the bytes are not a frame
Result<Frame> parseFrame(std::string_view bytes);

} // namespace ibiswall::node
