// Messages on the links between entries and agents and among entries, and their encoding as CBOR frames.

#pragma once

#include <ibiswall/core.hpp>
#include <variant>

namespace ibiswall {

/// Version of the protocol on all links.
constexpr std::uint64_t protocolVersion = 2;

/// Agent to entry, first frame of a link: describes the agent and its target.
struct AgentHello
{
    std::uint64_t protocol_ = protocolVersion;
    AgentInfo info_;
};

/// Agent to entry: requests renewal of the agent's lease.
struct LeaseRenewal
{
    /// Sequence number of the agent's renewals.
    std::uint64_t number_ = 0;
    /// Configuration version that the agent has applied.
    std::uint64_t version_ = 0;
};

/// Agent to entry: final outcomes of tasks.
struct TaskReports
{
    std::vector<TaskReport> reports_;
};

/// Agent to entry: the target is stopping, so the entry must send no more tasks.
struct AgentDraining
{
};

/// Entry to agent: tasks to run.
struct Orders
{
    std::vector<Order> orders_;
};

/// Entry to entry, first frame of a link.
struct PeerHello
{
    std::uint64_t protocol_ = protocolVersion;
    Incarnation entry_;
};

/// The operation that a relayed request asks of a job's owner.
enum class RelayOp : std::uint8_t {
    Submit,
    Fetch,
    Cancel,
};

/// Entry to entry: forwards a caller's request to the job's owner.
struct RelayRequest
{
    /// Matches the reply to the request.
    std::uint64_t relayId_ = 0;
    RelayOp op_ = RelayOp::Submit;
    std::string id_;
    std::string member_;
    std::string body_;
};

/// Entry to entry: the owner's reply to a relayed request.
struct RelayReply
{
    /// Repeats the id of the request.
    std::uint64_t relayId_ = 0;
    /// HTTP status for the caller.
    int status_ = 0;
    std::string body_;
};

/// Entry to entry: asks which configuration version the peer has applied.
struct PeerStatusRequest
{
    /// Sequence number of the sender's status requests, counted over all its links.
    std::uint64_t number_ = 0;
    /// Version that the sender has applied.
    std::uint64_t version_ = 0;
};

/// Entry to entry: replies to a status request.
struct PeerStatusReply
{
    /// Repeats the number of the request.
    std::uint64_t number_ = 0;
    /// Version that the sender has applied.
    std::uint64_t version_ = 0;
    /// Whether the sender knows every change that an earlier process of its name may have helped to accept.
    bool caughtUp_ = false;
};

/// Entry to entry: accepted changes that the peer has not applied, in version order.
struct PeerChanges
{
    std::vector<Change> changes_;
};

/// Any message. The index of an alternative is its tag in the frame, so the order is part of the protocol.
using Message = std::variant<AgentHello,
                             LeaseRenewal,
                             TaskReports,
                             AgentDraining,
                             Orders,
                             LeaseGrant,
                             PeerHello,
                             RelayRequest,
                             RelayReply,
                             PeerStatusRequest,
                             PeerStatusReply,
                             PeerChanges>;

/// Encodes a message as one frame.
std::string encode(const Message &message);

/// Decodes one frame.
/// @return BadFrame with the size of the frame and the fault
Result<Message> decode(std::string_view frame);

} // namespace ibiswall
