// Keeps the set of agents that may be sent a task, and draws from it.

#include <ibiswall/core/agentpool.hpp>

#include <algorithm>

namespace ibiswall {

namespace {

bool mayReceive(Millis now, const Agent &agent)
{
    const int limit = std::min(agent.info_.credits_, agent.health_.limit_);
    return !agent.leaving_ && !agent.out_ && now < agent.heard_ + agentSilence && now >= agent.health_.pausedUntil_
        && agent.placed_.size() < static_cast<std::size_t>(std::max(limit, 0));
}

void refreshOut(const Configuration &configuration, Agent &agent)
{
    const bool out = isOut(configuration, agent.info_.place_.domain_, agent.info_.place_.target_);
    if (agent.out_ && !out) {
        startGently(agent.health_);
    }
    agent.out_ = out;
}

void dropReady(Fleet &fleet, Agent &agent)
{
    if (agent.readyIndex_ == Fleet::notReady) {
        return;
    }
    const AgentRef last = fleet.ready_.back();
    fleet.ready_[agent.readyIndex_] = last;
    fleet.agents_.at(last).readyIndex_ = agent.readyIndex_;
    fleet.ready_.pop_back();
    agent.readyIndex_ = Fleet::notReady;
}

double load(const Agent &agent)
{
    return static_cast<double>(agent.placed_.size()) / agent.info_.slots_;
}

} // namespace

void addAgent(Fleet &fleet, const Configuration &configuration, Millis now, AgentRef ref, const AgentInfo &info)
{
    Agent agent;
    agent.ref_ = ref;
    agent.info_ = info;
    agent.readyIndex_ = Fleet::notReady;
    agent.heard_ = now;
    Agent &stored = fleet.agents_.emplace(ref, std::move(agent)).first->second;
    refreshReady(fleet, configuration, now, stored);
}

void removeAgent(Fleet &fleet, AgentRef ref)
{
    const auto found = fleet.agents_.find(ref);
    if (found == fleet.agents_.end()) {
        return;
    }
    dropReady(fleet, found->second);
    fleet.agents_.erase(found);
}

Agent *findAgent(Fleet &fleet, AgentRef ref)
{
    const auto found = fleet.agents_.find(ref);
    return found == fleet.agents_.end() ? nullptr : &found->second;
}

void refreshReady(Fleet &fleet, const Configuration &configuration, Millis now, Agent &agent)
{
    refreshOut(configuration, agent);
    if (!mayReceive(now, agent)) {
        dropReady(fleet, agent);
        return;
    }
    if (agent.readyIndex_ == Fleet::notReady) {
        agent.readyIndex_ = fleet.ready_.size();
        fleet.ready_.push_back(agent.ref_);
    }
}

void refreshAll(Fleet &fleet, const Configuration &configuration, Millis now)
{
    for (auto &[ref, agent] : fleet.agents_) {
        refreshReady(fleet, configuration, now, agent);
    }
}

std::optional<AgentRef> chooseAgent(Fleet &fleet, Random &random)
{
    if (fleet.ready_.empty()) {
        return std::nullopt;
    }
    AgentRef chosen = fleet.ready_[drawIndex(random, fleet.ready_.size())];
    for (int i = 1; i < placementDraws; ++i) {
        const AgentRef other = fleet.ready_[drawIndex(random, fleet.ready_.size())];
        chosen = load(fleet.agents_.at(other)) < load(fleet.agents_.at(chosen)) ? other : chosen;
    }
    return chosen;
}

} // namespace ibiswall
