// The agents that an entry is linked to, and the choice of one for a task.

#pragma once

#include <ibiswall/core/configuration.hpp>
#include <ibiswall/core/health.hpp>
#include <ibiswall/core/plan.hpp>
#include <ibiswall/core/random.hpp>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibiswall {

/// An agent that has been silent for this long is sent nothing more.
constexpr Millis agentUnresponsiveAfter{2000};

/// An agent that has been silent for this long is given up, and its link closed.
constexpr Millis agentLostAfter{10000};

/// Agents drawn for each task.
constexpr int placementDraws = 8;

/// Names an agent to the core: the link it came by. Never used again after the link closes.
using AgentRef = std::uint64_t;

/// What an agent announces about itself and its target.
struct AgentInfo
{
    Incarnation agent_;
    TargetPlace place_;
    /// Tasks that the target runs at a time.
    int slots_ = 0;
    /// Tasks that this entry may have sent without a report.
    int credits_ = 0;
};

/// One linked agent.
struct Agent
{
    AgentRef ref_ = 0;
    AgentInfo info_;
    /// Tasks sent and not yet reported; never more than the agent's credits.
    std::vector<TaskRef> placed_;
    /// Set once the agent has announced that it stops.
    bool leaving_ = false;
    /// When the agent was last heard.
    Millis lastContactAt_;
    /// Configuration version that the agent last confirmed.
    std::uint64_t version_ = 0;
    Health health_;
    /// Whether operators had taken its failure domain or target out when last looked at.
    bool out_ = false;
    /// Position in Fleet::ready_, or notReady.
    std::size_t readyIndex_ = 0;
};

/// All linked agents.
struct AgentPool
{
    static constexpr std::size_t notReady = ~std::size_t{0};

    std::unordered_map<AgentRef, Agent> agents_;
    /// Exactly the agents that may be sent a task now.
    std::vector<AgentRef> ready_;
    KindFailures kindFailures_;
};

/// Adds an agent.
void addAgent(AgentPool &pool, const Configuration &configuration, Millis now, AgentRef ref, const AgentInfo &info);

/// Forgets an agent.
void removeAgent(AgentPool &pool, AgentRef ref);

/// Finds an agent, or null.
Agent *findAgent(AgentPool &pool, AgentRef ref);

/// Brings ready_ up to date with one agent's state.
void refreshReady(AgentPool &pool, const Configuration &configuration, Millis now, Agent &agent);

/// Brings ready_ up to date with the configuration and the time.
void refreshAll(AgentPool &pool, const Configuration &configuration, Millis now);

/// Chooses the least loaded of a few agents drawn at random from those that may be sent a task.
std::optional<AgentRef> chooseAgent(AgentPool &pool, Random &random);

} // namespace ibiswall
