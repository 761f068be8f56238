// Maintains the set of ready agents and draws from it.

#include <ibiswall/core/agentpool.hpp>

#include <algorithm>

namespace ibiswall {

namespace {

bool mayReceive(Millis now, const Agent &agent)
{
    const int limit = std::min(agent.info_.credits_, agent.health_.concurrencyLimit_);
    return !agent.leaving_ && !agent.out_ && now < agent.lastContactAt_ + agentUnresponsiveAfter && now >= agent.health_.pausedUntil_
        && agent.placed_.size() < static_cast<std::size_t>(std::max(limit, 0));
}

void refreshOut(const Configuration &configuration, Agent &agent)
{
    const bool out = isOut(configuration, agent.info_.place_.domain_, agent.info_.place_.target_);
    if (agent.out_ && !out) {
        beginSlowStart(agent.health_);
    }
    agent.out_ = out;
}

void removeReady(AgentPool &pool, Agent &agent)
{
    if (agent.readyIndex_ == AgentPool::notReady) {
        return;
    }
    const AgentRef last = pool.ready_.back();
    pool.ready_[agent.readyIndex_] = last;
    pool.agents_.at(last).readyIndex_ = agent.readyIndex_;
    pool.ready_.pop_back();
    agent.readyIndex_ = AgentPool::notReady;
}

double load(const Agent &agent)
{
    return static_cast<double>(agent.placed_.size()) / agent.info_.slots_;
}

} // namespace

void addAgent(AgentPool &pool, const Configuration &configuration, Millis now, AgentRef ref, const AgentInfo &info)
{
    Agent agent;
    agent.ref_ = ref;
    agent.info_ = info;
    agent.readyIndex_ = AgentPool::notReady;
    agent.lastContactAt_ = now;
    Agent &stored = pool.agents_.emplace(ref, std::move(agent)).first->second;
    refreshReady(pool, configuration, now, stored);
}

void removeAgent(AgentPool &pool, AgentRef ref)
{
    const auto found = pool.agents_.find(ref);
    if (found == pool.agents_.end()) {
        return;
    }
    removeReady(pool, found->second);
    pool.agents_.erase(found);
}

Agent *findAgent(AgentPool &pool, AgentRef ref)
{
    const auto found = pool.agents_.find(ref);
    return found == pool.agents_.end() ? nullptr : &found->second;
}

void refreshReady(AgentPool &pool, const Configuration &configuration, Millis now, Agent &agent)
{
    refreshOut(configuration, agent);
    if (!mayReceive(now, agent)) {
        removeReady(pool, agent);
        return;
    }
    if (agent.readyIndex_ == AgentPool::notReady) {
        agent.readyIndex_ = pool.ready_.size();
        pool.ready_.push_back(agent.ref_);
    }
}

void refreshAll(AgentPool &pool, const Configuration &configuration, Millis now)
{
    for (auto &[ref, agent] : pool.agents_) {
        refreshReady(pool, configuration, now, agent);
    }
}

std::optional<AgentRef> chooseAgent(AgentPool &pool, Random &random)
{
    if (pool.ready_.empty()) {
        return std::nullopt;
    }
    AgentRef chosen = pool.ready_[drawIndex(random, pool.ready_.size())];
    for (int i = 1; i < placementDraws; ++i) {
        const AgentRef other = pool.ready_[drawIndex(random, pool.ready_.size())];
        chosen = load(pool.agents_.at(other)) < load(pool.agents_.at(chosen)) ? other : chosen;
    }
    return chosen;
}

} // namespace ibiswall
