// Compares the set of ready agents with a full search in random scenarios.

#include "testsettings.hpp"
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

constexpr int credits = 4;

constexpr std::uint64_t defaultScenarios = 50;

// Finds the ready agents by checking each one against all conditions.
std::set<AgentRef> findReady(const AgentPool &pool, const Configuration &configuration, Millis now)
{
    std::set<AgentRef> ready;
    for (const auto &[ref, agent] : pool.agents_) {
        const bool unresponsive = now - agent.lastContactAt_ >= agentUnresponsiveAfter;
        const bool out
            = configuration.domainsOut_.count(agent.info_.place_.domain_) + configuration.targetsOut_.count(agent.info_.place_.target_) > 0;
        const bool full = static_cast<int>(agent.placed_.size()) >= std::min(credits, agent.health_.concurrencyLimit_);
        if (!unresponsive && !out && !full && !agent.leaving_ && now >= agent.health_.pausedUntil_) {
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

void changeAgent(AgentPool &pool, Random &random, Millis now, Agent &agent)
{
    switch (drawIndex(random, 6)) {
    case 0:
        agent.leaving_ = drawIndex(random, 4) == 0;
        break;
    case 1:
        agent.lastContactAt_ = now;
        break;
    case 2:
        recordOutcome(agent.health_, pool.kindFailures_, now, "note", {TaskState::Failed, Code::TargetFailed, {}});
        break;
    case 3:
        recordOutcome(agent.health_, pool.kindFailures_, now, "note", {TaskState::Done, Code::Ok, {}});
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
    AgentPool pool;
    Millis now;
    for (int step = 0; step < steps; ++step) {
        now = now + Millis{static_cast<std::int64_t>(drawIndex(random, 200))};
        const AgentRef ref = 1 + drawIndex(random, 12);
        Agent *agent = findAgent(pool, ref);
        if (agent == nullptr) {
            addAgent(pool, configuration, now, ref, makeInfo(ref));
        } else if (drawIndex(random, 20) == 0) {
            removeAgent(pool, ref);
        } else {
            changeAgent(pool, random, now, *agent);
        }
        if (drawIndex(random, 30) == 0) {
            changeService(configuration, random);
        }
        refreshAll(pool, configuration, now);
        const std::set<AgentRef> ready = findReady(pool, configuration, now);
        BOOST_REQUIRE(pool.ready_.size() == ready.size());
        BOOST_REQUIRE(std::set<AgentRef>(pool.ready_.begin(), pool.ready_.end()) == ready);
        const std::optional<AgentRef> chosen = chooseAgent(pool, random);
        BOOST_REQUIRE(chosen.has_value() == !ready.empty());
        BOOST_REQUIRE((!chosen || ready.count(*chosen) == 1));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_pool)

BOOST_AUTO_TEST_CASE(ready_agents_match_a_full_search)
{
    const std::uint64_t scenarios = fromEnvironment("IBISWALL_HISTORIES", defaultScenarios);
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        BOOST_TEST_INFO_SCOPE("seed " << seed);
        compareOnce(seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
