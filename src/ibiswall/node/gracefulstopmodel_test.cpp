// Seeded scenarios of entries that are stopped in series behind a load balancer, with restarts, late heartbeats, suspended
// processes and an unreachable store.

#include "gracefulstop.hpp"
#include "leadership.hpp"

#include "../core/testsettings.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace ibiswall::node {

namespace {

// Times and durations in milliseconds.
constexpr std::int64_t step = 10;
constexpr std::int64_t scenarioLength = 40000;
constexpr std::int64_t heartbeatPeriod = 100;
constexpr std::int64_t checkPeriod = 1000;
constexpr std::int64_t restartDelay = 550;
constexpr std::int64_t configurationDelay = 50;
// Number of failed health checks after which the load balancer sends no new connections.
constexpr int maxFailedChecks = 2;

struct Entry
{
    std::string name_;
    std::int64_t millicores_ = 0;
    std::unique_ptr<Leadership> leadership_;
    GracefulStop stop_{{}};
    bool up_ = false;
    bool configured_ = false;
    std::int64_t startsAt_ = 0;
    std::int64_t configurableAt_ = 0;
    std::int64_t suspendedUntil_ = 0;
    /// Length of the work that is in progress when the entry closes.
    std::int64_t remainingWork_ = 0;
    std::int64_t closedAt_ = 0;
    std::int64_t lastAcceptingAt_ = -scenarioLength;
    /// Offset of its health checks and heartbeats.
    std::int64_t phase_ = 0;
    int failedChecks_ = 0;

    bool accepts() const
    {
        return up_ && configured_ && !stop_.isClosing();
    }

    bool inRotation() const
    {
        return failedChecks_ < maxFailedChecks;
    }
};

// How an entry decides whether its health check succeeds.
using Readiness = std::function<bool(const Entry &, Millis)>;

bool decidesForItself(const Entry &entry, Millis /*now*/)
{
    return entry.stop_.isReady(entry.configured_);
}

bool reliesOnOthers(const Entry &entry, Millis now)
{
    return entry.configured_ && !entry.stop_.isClosing() && (!entry.stop_.hasBegun() || !entry.leadership_->hasSuccessor(now));
}

struct ScenarioSettings
{
    Readiness readiness_ = decidesForItself;
    /// Heartbeats tell whether the sender accepts jobs; otherwise they claim it unless it is leaving.
    bool honestHeartbeats_ = true;
};

// Number of violations of each promise.
struct Violations
{
    /// A stopping entry passed a health check.
    int readyWhileStopping_ = 0;
    /// A stopping entry was still in rotation after as many health checks as the load balancer needs.
    int inRotation_ = 0;
    /// An entry was still running after its grace period.
    int overdue_ = 0;
    /// An entry refused jobs before it had to, although no other one had accepted any since the last heartbeats.
    int closedWithoutSuccessor_ = 0;
};

class StopScenario
{
public:
    StopScenario(std::uint32_t seed, ScenarioSettings settings)
        : random_(seed)
        , settings_(std::move(settings))
    {
        const int count = 1 + below(9);
        for (int i = 0; i < count; ++i) {
            auto entry = std::make_unique<Entry>();
            entry->name_ = "e" + std::to_string(i);
            entry->millicores_ = below(2) == 0 ? 120 : 500;
            entry->phase_ = step * below(checkPeriod / step);
            entries_.push_back(std::move(entry));
        }
        storeDownFrom_ = below(scenarioLength);
        storeDownUntil_ = storeDownFrom_ + below(12000);
        planSignals();
    }

    Violations run()
    {
        for (now_ = 0; now_ < scenarioLength; now_ += step) {
            for (auto &entry : entries_) {
                advance(*entry);
            }
            deliverHeartbeats();
            for (auto &entry : entries_) {
                checkHealth(*entry);
            }
        }
        return violations_;
    }

private:
    struct Delivery
    {
        std::int64_t at_ = 0;
        std::size_t to_ = 0;
        std::string from_;
        HeartbeatFrame heartbeat_;
    };

    int below(std::int64_t limit)
    {
        return static_cast<int>(std::uniform_int_distribution<std::int64_t>(0, limit - 1)(random_));
    }

    // Several series of stop signals to some or all of the entries, with short and long gaps.
    void planSignals()
    {
        std::int64_t at = 2000;
        while (at < scenarioLength - 8000) {
            const std::int64_t gap = step * below(200);
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (below(4) != 0) {
                    signals_.emplace_back(at, i);
                    at += gap;
                }
            }
            if (below(3) == 0) {
                suspensions_.emplace_back(at - below(2000), static_cast<std::size_t>(below(static_cast<std::int64_t>(entries_.size()))));
            }
            at += below(12000);
        }
    }

    void advance(Entry &entry)
    {
        if (!entry.up_ && now_ >= entry.startsAt_) {
            entry.up_ = true;
            entry.configured_ = false;
            entry.configurableAt_ = now_ + configurationDelay;
            entry.leadership_ = std::make_unique<Leadership>(entry.name_, entry.millicores_, LeadershipSettings{});
            entry.stop_ = GracefulStop({});
        }
        const std::size_t index = indexOf(entry);
        for (const auto &[at, target] : suspensions_) {
            if (at / step == now_ / step && target == index) {
                entry.suspendedUntil_ = now_ + below(3000);
            }
        }
        for (const auto &[at, target] : signals_) {
            if (at == now_ && target == index && entry.up_) {
                entry.stop_.begin({now_});
                entry.remainingWork_ = below(1500);
            }
        }
        if (!entry.up_ || now_ < entry.suspendedUntil_) {
            return;
        }
        const bool storeDown = now_ >= storeDownFrom_ && now_ < storeDownUntil_;
        entry.configured_ = entry.configured_ || (now_ >= entry.configurableAt_ && !storeDown);
        if (entry.accepts()) {
            entry.lastAcceptingAt_ = now_;
        }
        if (entry.stop_.hasBegun()) {
            continueStop(entry);
        }
        if (entry.up_ && (now_ + entry.phase_) % heartbeatPeriod == 0) {
            sendHeartbeat(entry);
        }
    }

    void continueStop(Entry &entry)
    {
        const GracefulStopSettings settings;
        const std::int64_t elapsed = entry.stop_.elapsed({now_})->count_;
        if (entry.stop_.closeIfDue(entry.leadership_->hasSuccessor({now_}), {now_})) {
            entry.closedAt_ = now_;
            const bool early = elapsed + settings.drainReserve_.count_ <= settings.gracePeriod_.count_;
            violations_.closedWithoutSuccessor_ += early && !hadSuccessor(entry) ? 1 : 0;
        }
        const bool idle = entry.stop_.isClosing() && now_ >= entry.closedAt_ + entry.remainingWork_;
        if (entry.stop_.mayExit(idle, {now_})) {
            entry.up_ = false;
            entry.startsAt_ = now_ + restartDelay;
        } else if (elapsed > settings.gracePeriod_.count_ && entry.suspendedUntil_ < now_ - elapsed) {
            ++violations_.overdue_;
        }
    }

    // Whether another entry has accepted jobs so recently that its heartbeats may still say so.
    bool hadSuccessor(const Entry &entry) const
    {
        const std::int64_t since = now_ - LeadershipSettings{}.peerTimeout_.count_ - heartbeatPeriod;
        return std::any_of(entries_.begin(), entries_.end(),
                           [&](const auto &each) { return each.get() != &entry && each->lastAcceptingAt_ >= since; });
    }

    void sendHeartbeat(const Entry &entry)
    {
        HeartbeatFrame heartbeat;
        heartbeat.leaving_ = entry.stop_.hasBegun();
        heartbeat.accepting_ = settings_.honestHeartbeats_ ? entry.accepts() : !heartbeat.leaving_;
        heartbeat.millicores_ = entry.millicores_;
        for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (entries_[to].get() != &entry && below(50) != 0) {
                deliveries_.push_back({now_ + step * below(10), to, entry.name_, heartbeat});
            }
        }
    }

    void deliverHeartbeats()
    {
        std::vector<Delivery> pending;
        for (Delivery &each : deliveries_) {
            Entry &to = *entries_[each.to_];
            if (now_ < each.at_ || (to.up_ && now_ < to.suspendedUntil_)) {
                pending.push_back(std::move(each));
            } else if (to.up_) {
                to.leadership_->onHeartbeat(each.from_, each.heartbeat_, {now_});
            }
        }
        deliveries_ = std::move(pending);
    }

    void checkHealth(Entry &entry)
    {
        if ((now_ + entry.phase_) % checkPeriod != 0) {
            return;
        }
        const bool stopping = entry.up_ && entry.stop_.hasBegun();
        const bool passed = entry.up_ && now_ >= entry.suspendedUntil_ && settings_.readiness_(entry, {now_});
        entry.failedChecks_ = passed ? 0 : entry.failedChecks_ + 1;
        violations_.readyWhileStopping_ += stopping && passed ? 1 : 0;
        const bool overdue = stopping && entry.stop_.elapsed({now_})->count_ > maxFailedChecks * checkPeriod;
        violations_.inRotation_ += overdue && entry.inRotation() ? 1 : 0;
    }

    std::size_t indexOf(const Entry &entry) const
    {
        const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const auto &each) { return each.get() == &entry; });
        return static_cast<std::size_t>(found - entries_.begin());
    }

    std::mt19937 random_;
    ScenarioSettings settings_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<std::pair<std::int64_t, std::size_t>> signals_;
    std::vector<std::pair<std::int64_t, std::size_t>> suspensions_;
    std::vector<Delivery> deliveries_;
    std::int64_t storeDownFrom_ = 0;
    std::int64_t storeDownUntil_ = 0;
    std::int64_t now_ = 0;
    Violations violations_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(graceful_stop_model)

BOOST_AUTO_TEST_CASE(no_stopping_entry_returns_to_rotation_or_closes_without_a_successor)
{
    const std::uint64_t first = fromEnvironment("IBISWALL_SEED", 1);
    const std::uint64_t count = fromEnvironment("IBISWALL_HISTORIES", 300);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const Violations violations = StopScenario(static_cast<std::uint32_t>(seed), {}).run();
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(violations.readyWhileStopping_ == 0);
            BOOST_TEST(violations.inRotation_ == 0);
            BOOST_TEST(violations.overdue_ == 0);
            BOOST_TEST(violations.closedWithoutSuccessor_ == 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(detects_readiness_that_depends_on_other_entries)
{
    Violations sum;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const Violations violations = StopScenario(seed, {reliesOnOthers}).run();
        sum.readyWhileStopping_ += violations.readyWhileStopping_;
        sum.inRotation_ += violations.inRotation_;
    }
    BOOST_TEST(sum.readyWhileStopping_ > 0);
    BOOST_TEST(sum.inRotation_ > 0);
}

BOOST_AUTO_TEST_CASE(detects_reliance_on_entries_that_do_not_accept_jobs)
{
    int closedWithoutSuccessor = 0;
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        closedWithoutSuccessor += StopScenario(seed, {decidesForItself, false}).run().closedWithoutSuccessor_;
    }
    BOOST_TEST(closedWithoutSuccessor > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
