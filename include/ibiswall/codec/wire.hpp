// The typed messages between the system's own processes, and their CBOR frames.

#pragma once

#include <ibiswall/core.hpp>
#include <variant>

namespace ibiswall {

/// Version of the protocol between the system's own processes.
constexpr std::uint64_t protocolVersion = 2;

/// Agent to entry, first frame: announces the agent and its target.
struct AgentHello
{
    std::uint64_t protocol_ = protocolVersion;
    AgentInfo info_;
};

/// Agent to entry: asks for a grant.
struct Renewal
{
    /// Counts the agent's renewals.
    std::uint64_t number_ = 0;
    /// Configuration version that the agent has applied.
    std::uint64_t version_ = 0;
};

/// Agent to entry: final words on tasks.
struct Reports
{
    std::vector<TaskReport> reports_;
};

/// Agent to entry: the target stops; send nothing more.
struct Leaving
{
};

/// Entry to agent: tasks to run.
struct Orders
{
    std::vector<Order> orders_;
};

/// Entry to entry, first frame.
struct PeerHello
{
    std::uint64_t protocol_ = protocolVersion;
    Incarnation entry_;
};

/// What a relayed request asks of a job's home.
enum class RelayOp : std::uint8_t {
    Submit,
    Fetch,
    Cancel,
};

/// Entry to entry: passes a caller's request on to the job's home.
struct RelayRequest
{
    std::uint64_t relay_ = 0;
    RelayOp op_ = RelayOp::Submit;
    std::string id_;
    std::string member_;
    std::string body_;
};

/// Entry to entry: the home's reply to a relayed request.
struct RelayReply
{
    std::uint64_t relay_ = 0;
    /// HTTP status for the caller.
    int status_ = 0;
    std::string body_;
};

/// Entry to entry: asks which configuration version the other has applied.
struct PeerQuestion
{
    /// Counts the asker's questions on all its links.
    std::uint64_t number_ = 0;
    /// Version that the asker has applied.
    std::uint64_t version_ = 0;
};

/// Entry to entry: answers a question.
struct PeerAnswer
{
    /// Repeats the number of the question.
    std::uint64_t number_ = 0;
    /// Version that the answerer has applied.
    std::uint64_t version_ = 0;
    /// Whether the answerer is settled.
    bool settled_ = false;
};

/// Entry to entry: accepted changes that the other has not applied, in order.
struct PeerChanges
{
    std::vector<Change> changes_;
};

/// Any message.
using Message = std::variant<AgentHello,
                             Renewal,
                             Reports,
                             Leaving,
                             Orders,
                             LeaseGrant,
                             PeerHello,
                             RelayRequest,
                             RelayReply,
                             PeerQuestion,
                             PeerAnswer,
                             PeerChanges>;

/// Writes a message as one frame.
std::string encode(const Message &message);

/// Reads one frame.
Result<Message> decode(std::string_view frame);

} // namespace ibiswall
