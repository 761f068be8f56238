// Messages between entries and agents, and between entries, encoded as CBOR.

#pragma once

#include <ibiswall/cell/dispatcher.hpp>
#include <ibiswall/cell/targetsupervisor.hpp>
#include <variant>

namespace ibiswall::node {

/// Announces a leader to an agent and asks for a report.
struct LeadFrame
{
    std::uint64_t epoch_ = 0;
    /// Number of the agent's latest report that the sender has applied; 0 for none.
    std::int64_t lastReport_ = 0;
    /// Number of this announcement among those of the epoch to the agent; see cell::Lead.
    std::uint64_t term_ = 0;
};

/// Request of an agent to renew its lease.
struct PingFrame
{
    std::uint64_t epoch_ = 0;
    /// The agent's clock, echoed in the answer.
    Millis sentAt_;
};

/// Grants a lease that starts at the time of the ping. A lease of 0 only confirms that the agent's full report has been
/// applied.
struct PongFrame
{
    std::uint64_t epoch_ = 0;
    Millis sentAt_;
    Millis lease_;
};

struct ReportFrame
{
    std::uint64_t epoch_ = 0;
    cell::AgentReport report_;
};

/// Orders of the leader to one agent.
struct OrdersFrame
{
    std::uint64_t epoch_ = 0;
    /// Number of the agent's latest full report that the leader has applied.
    std::int64_t report_ = 0;
    std::vector<cell::StartOrder> starts_;
    std::vector<cell::StopOrder> stops_;
    /// Results up to this number need not be reported again; 0 if nothing is acknowledged.
    std::uint64_t acknowledged_ = 0;
    /// Incarnation of the target that numbered them.
    std::int64_t acknowledgedIncarnation_ = 0;
};

/// Most interfering pairs in a heartbeat: at most 4.2 KB with the longest names, every 100 ms and to each entry.
constexpr std::size_t maxHandedOverPairs = 16;

/// State of an entry, of the leader and of the store as the entry sees them.
struct HeartbeatFrame
{
    std::uint64_t epoch_ = 0;
    std::string leader_;
    /// Time since the last contact with the leader, direct or through another entry.
    Millis leaderAge_;
    /// Age of the latest answer of the store to the sender.
    Millis storeAge_;
    /// The sender is shutting down.
    bool leaving_ = false;
    /// The sender accepts new jobs: it has a configuration, and if it is shutting down, it has not begun to refuse jobs.
    bool accepting_ = false;
    /// The sender is the leader, and has stopped placing tasks so that another entry can take over.
    bool steppedDown_ = false;
    /// CPU share of the sender, in thousandths of a core.
    std::int64_t millicores_ = 0;
    /// The sender's clock.
    Millis sentAt_;
    /// When the sender will send its next heartbeat to the receiver, from sentAt_.
    Millis nextIn_{100};
    /// The leader's clock in the latest heartbeat of this epoch that the sender has received from it; 0 for none. The sender
    /// has not campaigned since, and will not for LeadershipSettings::holdOff_ from then.
    Millis holdOffFrom_;
    /// From the leader: number of jobs in each queue with no started task.
    std::map<std::string, std::size_t> waiting_;
    /// From the leader: contained queues, which a successor has to contain from its start.
    std::set<std::string> contained_;
    /// From the leader: the entry that it hands the leadership over to; empty if there is none. It goes on placing tasks meanwhile,
    /// but relies on no hold-off.
    std::string successor_;
    /// From the leader: the pairs of kinds that interfere most, which a successor believes from its start. At most maxHandedOverPairs.
    std::vector<cell::InterferingPair> interfering_;
    /// From the leader with admission control: predicted time until a job that arrives now has started, by queue.
    std::map<std::string, Millis> waits_;
};

/// Revision in the store of the registration of each agent, by name.
using RegisteredAgents = std::map<std::string, std::int64_t>;

/// Request of the designated successor for what it needs to take over.
struct HandoverRequestFrame
{
    std::uint64_t epoch_ = 0;
    /// The successor's clock, echoed in the answer.
    Millis requestedAt_;
};

struct HandoverFrame
{
    std::uint64_t epoch_ = 0;
    Millis requestedAt_;
    /// All agents that may hold a lease of this or an earlier leader.
    RegisteredAgents agents_;
};

/// Jobs that an entry registers with the leader.
struct OffersFrame
{
    std::vector<cell::JobOffer> offers_;
};

/// Job states that have changed, from the leader to entries.
struct NoticesFrame
{
    std::uint64_t epoch_ = 0;
    /// The jobs are ephemeral: the notices concern only entries whose callers are still waiting.
    bool ephemeral_ = false;
    std::vector<cell::Notice> notices_;
};

struct CancelFrame
{
    std::string job_;
    /// The caller has only stopped waiting; others may still wait.
    bool abandoned_ = false;
};

/// Neither the leader nor the store has the job, and no submission that is on its way can be accepted any more.
struct UnknownJobFrame
{
    std::string job_;
};

/// Neither the leader nor the store has the job, but more of such jobs have been cancelled than the leader withdraws at a time. Every
/// other answer to a cancel is a notice.
struct CancelRefusedFrame
{
    std::string job_;
};

using Frame = std::variant<LeadFrame,
                           PingFrame,
                           PongFrame,
                           ReportFrame,
                           OrdersFrame,
                           HeartbeatFrame,
                           OffersFrame,
                           NoticesFrame,
                           CancelFrame,
                           UnknownJobFrame,
                           HandoverRequestFrame,
                           HandoverFrame,
                           CancelRefusedFrame>;

std::string formatFrame(const Frame &frame);

/// @return BadFrame if the bytes are not a valid frame
Result<Frame> parseFrame(std::string_view bytes);

} // namespace ibiswall::node
