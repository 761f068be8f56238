// Compares the set of agents that may be sent a task with a slow version over seeded histories.

#include "testsettings.hpp"
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

constexpr int credits = 4;

constexpr std::uint64_t fewHistories = 50;

// The agents that may be sent a task, each judged from the start.
std::set<AgentRef> findReady(const Fleet &fleet, const Configuration &configuration, Millis now)
{
    std::set<AgentRef> ready;
    for (const auto &[ref, agent] : fleet.agents_) {
        const bool silent = now - agent.heard_ >= agentSilence;
        const bool out
            = configuration.domainsOut_.count(agent.info_.place_.domain_) + configuration.targetsOut_.count(agent.info_.place_.target_) > 0;
        const bool full = static_cast<int>(agent.placed_.size()) >= std::min(credits, agent.health_.limit_);
        if (!silent && !out && !full && !agent.leaving_ && now >= agent.health_.pausedUntil_) {
            ready.insert(ref);
        }
    }
    return ready;
}

AgentInfo makeInfo(AgentRef ref)
{
    const std::string name = "target-" + std::to_string(ref);
    return AgentInfo{{name, 1}, {name, name, "domain-" + std::to_string(ref % 3)}, credits, credits};
}

void changeAgent(Fleet &fleet, Random &random, Millis now, Agent &agent)
{
    switch (drawIndex(random, 6)) {
    case 0:
        agent.leaving_ = drawIndex(random, 4) == 0;
        break;
    case 1:
        agent.heard_ = now;
        break;
    case 2:
        noteOutcome(agent.health_, fleet.kindFailures_, now, "note", {TaskState::Failed, Code::TargetFailed, {}});
        break;
    case 3:
        noteOutcome(agent.health_, fleet.kindFailures_, now, "note", {TaskState::Done, Code::Ok, {}});
        break;
    case 4:
        agent.placed_.clear();
        break;
    default:
        agent.placed_.push_back({1, 0});
    }
}

void changeService(Configuration &configuration, Random &random)
{
    const std::string domain = "domain-" + std::to_string(drawIndex(random, 3));
    if (configuration.domainsOut_.erase(domain) == 0) {
        configuration.domainsOut_.insert(domain);
    }
}

void compareOnce(std::uint64_t seed)
{
    constexpr int steps = 400;
    Random random(seed);
    Configuration configuration;
    Fleet fleet;
    Millis now;
    for (int step = 0; step < steps; ++step) {
        now = now + Millis{static_cast<std::int64_t>(drawIndex(random, 200))};
        const AgentRef ref = 1 + drawIndex(random, 12);
        Agent *agent = findAgent(fleet, ref);
        if (agent == nullptr) {
            addAgent(fleet, configuration, now, ref, makeInfo(ref));
        } else if (drawIndex(random, 20) == 0) {
            removeAgent(fleet, ref);
        } else {
            changeAgent(fleet, random, now, *agent);
        }
        if (drawIndex(random, 30) == 0) {
            changeService(configuration, random);
        }
        refreshAll(fleet, configuration, now);
        const std::set<AgentRef> ready = findReady(fleet, configuration, now);
        BOOST_REQUIRE(fleet.ready_.size() == ready.size());
        BOOST_REQUIRE(std::set<AgentRef>(fleet.ready_.begin(), fleet.ready_.end()) == ready);
        const std::optional<AgentRef> chosen = chooseAgent(fleet, random);
        BOOST_REQUIRE(chosen.has_value() == !ready.empty());
        BOOST_REQUIRE((!chosen || ready.count(*chosen) == 1));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(same_agents_as_a_slow_search)
{
    const std::uint64_t histories = fromEnvironment("IBISWALL_HISTORIES", fewHistories);
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        BOOST_TEST_INFO_SCOPE("seed " << seed);
        compareOnce(seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
