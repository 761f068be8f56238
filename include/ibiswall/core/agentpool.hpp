// The agents linked to an entry, and the selection of an agent for a task.

#pragma once

#include <ibiswall/core/configuration.hpp>
#include <ibiswall/core/health.hpp>
#include <ibiswall/core/plan.hpp>
#include <ibiswall/core/random.hpp>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibiswall {

/// Time since the last message after which an agent receives no more tasks.
constexpr Millis agentUnresponsiveAfter{2000};

/// Time since the last message after which an agent is considered lost and its link is closed.
constexpr Millis agentLostAfter{10000};

/// Number of random draws per placement; the least loaded agent drawn receives the task.
constexpr int placementDraws = 8;

/// Identifies an agent by its link. Never reused after the link closes.
using AgentRef = std::uint64_t;

/// The announcement of an agent about itself and its target.
struct AgentInfo
{
    Incarnation agent_;
    TargetPlace place_;
    /// Number of tasks that the target can run concurrently.
    int slots_ = 0;
    /// Maximum number of unreported tasks that this entry may have at the agent.
    int credits_ = 0;
};

/// One linked agent.
struct Agent
{
    AgentRef ref_ = 0;
    AgentInfo info_;
    /// Tasks sent and not yet reported; never more than credits_ of info_.
    std::vector<TaskRef> placed_;
    /// Set once the agent has announced its shutdown.
    bool leaving_ = false;
    /// Time of the last message from the agent.
    Millis lastContactAt_;
    /// Configuration version last confirmed by the agent.
    std::uint64_t version_ = 0;
    Health health_;
    /// Whether the failure domain or target was out of service at the last refresh.
    bool out_ = false;
    /// Index in AgentPool::ready_, or AgentPool::notReady.
    std::size_t readyIndex_ = 0;
};

/// All linked agents.
struct AgentPool
{
    static constexpr std::size_t notReady = ~std::size_t{0};

    std::unordered_map<AgentRef, Agent> agents_;
    /// Exactly the agents that can receive a task as of the last refresh.
    std::vector<AgentRef> ready_;
    KindFailures kindFailures_;
};

/// Adds an agent.
void addAgent(AgentPool &pool, const Configuration &configuration, Millis now, AgentRef ref, const AgentInfo &info);

/// Removes an agent; does nothing if there is none.
void removeAgent(AgentPool &pool, AgentRef ref);

/// Returns the agent, or nullptr.
Agent *findAgent(AgentPool &pool, AgentRef ref);

/// Updates ready_ for one agent.
void refreshReady(AgentPool &pool, const Configuration &configuration, Millis now, Agent &agent);

/// Updates ready_ for all agents after a change of the configuration or the time.
void refreshAll(AgentPool &pool, const Configuration &configuration, Millis now);

/// Selects the least loaded of `placementDraws` ready agents drawn at random; empty if none is ready.
std::optional<AgentRef> chooseAgent(AgentPool &pool, Random &random);

} // namespace ibiswall
