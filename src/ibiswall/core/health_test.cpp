// Tests how failing targets are paused and retried.

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

const TaskOutcome done{TaskState::Done, Code::Ok, {}};
const TaskOutcome failed{TaskState::Failed, Code::TargetFailed, {}};

} // namespace

BOOST_AUTO_TEST_SUITE(health)

BOOST_AUTO_TEST_CASE(pauses_failing_target_with_exponential_backoff)
{
    Health health;
    KindFailures kinds;
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(health.pausedUntil_.count_ == 0);
        recordOutcome(health, kinds, {100}, "note", failed);
    }
    BOOST_TEST(health.pausedUntil_.count_ == 600);
    BOOST_TEST(health.concurrencyLimit_ == 1);
    recordOutcome(health, kinds, {200}, "note", failed);
    BOOST_TEST(health.pausedUntil_.count_ == 600);
    recordOutcome(health, kinds, {700}, "note", failed);
    BOOST_TEST(health.pausedUntil_.count_ == 1700);
}

BOOST_AUTO_TEST_CASE(raises_concurrency_limit_with_each_success)
{
    Health health;
    KindFailures kinds;
    for (int i = 0; i < 3; ++i) {
        recordOutcome(health, kinds, {0}, "note", failed);
    }
    recordOutcome(health, kinds, {600}, "note", done);
    recordOutcome(health, kinds, {700}, "note", done);
    BOOST_TEST(health.concurrencyLimit_ == 3);
    BOOST_TEST((health.nextPause_ == firstPause));
}

BOOST_AUTO_TEST_CASE(kind_failing_on_all_targets_pauses_none)
{
    std::array<Health, 10> healths;
    KindFailures kinds;
    for (int i = 0; i < 1000; ++i) {
        recordOutcome(healths.at(static_cast<std::size_t>(i) % healths.size()), kinds, {i}, "hopeless", failed);
    }
    for (const Health &health : healths) {
        BOOST_TEST(health.pausedUntil_.count_ == 0);
    }
}

BOOST_AUTO_TEST_CASE(domain_returning_to_service_ramps_up)
{
    Configuration configuration;
    AgentPool pool;
    addAgent(pool, configuration, {0}, 1, AgentInfo{{"a", 1}, {"a", "worker-a", "east"}, 8, 8});
    Agent &agent = *findAgent(pool, 1);
    agent.health_.concurrencyLimit_ = 100;
    configuration.domainsOut_.insert("east");
    refreshAll(pool, configuration, {1});
    BOOST_TEST(pool.ready_.empty());
    configuration.domainsOut_.clear();
    refreshAll(pool, configuration, {2});
    BOOST_TEST(pool.ready_.size() == 1U);
    BOOST_TEST(agent.health_.concurrencyLimit_ == slowStartLimit);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
