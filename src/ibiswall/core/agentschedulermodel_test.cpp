// Compares the scheduler with a naive reference, which keeps all events and searches through them, in random scenarios.
// IBISWALL_HISTORIES sets the number of scenarios, IBISWALL_SEED the first seed.

#include "testsettings.hpp"
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

constexpr std::uint64_t defaultScenarios = 300;
constexpr int eventsPerScenario = 400;

enum class OrderState {
    Waiting,
    Running,
    Rejected,
    /// The link closed while the order was waiting.
    Dropped,
    Ended,
};

// One admitted order.
struct Record
{
    Millis at_;
    LinkRef link_ = 0;
    Order order_;
    Millis startBy_;
    OrderState orderState_ = OrderState::Waiting;
    std::uint64_t call_ = 0;
    bool expired_ = false;
};

struct ReceivedLease
{
    Millis sentAt_;
    LeaseGrant lease_;
};

struct NaiveScheduler
{
    int slots_ = 1;
    std::size_t maxWaiting_ = 0;
    std::size_t maxTasks_ = 0;
    Millis retention_;
    std::vector<Record> records_;
    std::vector<ReceivedLease> leases_;
    bool leaving_ = false;
    std::uint64_t calls_ = 0;
};

std::size_t count(const NaiveScheduler &scheduler, OrderState orderState)
{
    return static_cast<std::size_t>(std::count_if(scheduler.records_.begin(), scheduler.records_.end(),
                                                  [orderState](const Record &each) { return each.orderState_ == orderState; }));
}

Millis leaseEnd(const NaiveScheduler &scheduler)
{
    Millis end;
    for (const ReceivedLease &each : scheduler.leases_) {
        end = std::max(end, each.sentAt_ + each.lease_.duration_);
    }
    return end;
}

bool isOut(const NaiveScheduler &scheduler)
{
    std::uint64_t version = 0;
    bool out = false;
    for (const ReceivedLease &each : scheduler.leases_) {
        if (each.lease_.version_ >= version) {
            version = each.lease_.version_;
            out = each.lease_.out_;
        }
    }
    return out;
}

Code rejectionOf(const NaiveScheduler &scheduler, Millis now)
{
    if (scheduler.leaving_) {
        return Code::TargetDraining;
    }
    if (isOut(scheduler)) {
        return Code::OutOfService;
    }
    return leaseEnd(scheduler) <= now ? Code::NoLease : Code::Ok;
}

void reportOn(const Record &record, const TaskOutcome &outcome, AgentSchedulerActions &actions)
{
    actions.reports_.push_back({record.link_, {record.order_.key_, outcome, record.order_.attempt_}});
}

void reject(Record &record, Code code, AgentSchedulerActions &actions)
{
    record.orderState_ = OrderState::Rejected;
    reportOn(record, {TaskState::NotRun, code, {}}, actions);
}

void start(NaiveScheduler &scheduler, Record &record, AgentSchedulerActions &actions)
{
    record.orderState_ = OrderState::Running;
    record.call_ = ++scheduler.calls_;
    const Order &order = record.order_;
    actions.calls_.push_back({record.call_, order.key_, order.kind_, order.payload_, std::min(record.startBy_, leaseEnd(scheduler))});
}

void startWaiting(NaiveScheduler &scheduler, Millis now, AgentSchedulerActions &actions)
{
    if (rejectionOf(scheduler, now) != Code::Ok) {
        return;
    }
    for (Record &record : scheduler.records_) {
        if (record.orderState_ != OrderState::Waiting
            || count(scheduler, OrderState::Running) >= static_cast<std::size_t>(scheduler.slots_)) {
            continue;
        }
        if (record.startBy_ < now) {
            reject(record, Code::DeadlinePassed, actions);
        } else {
            start(scheduler, record, actions);
        }
    }
}

void tick(NaiveScheduler &scheduler, Millis now, AgentSchedulerActions &actions)
{
    const Code rejection = rejectionOf(scheduler, now);
    for (Record &record : scheduler.records_) {
        record.expired_ = record.expired_ || record.at_ + scheduler.retention_ < now;
        if (record.orderState_ == OrderState::Waiting && (rejection != Code::Ok || record.startBy_ < now)) {
            reject(record, rejection != Code::Ok ? rejection : Code::DeadlinePassed, actions);
        }
    }
    startWaiting(scheduler, now, actions);
}

void applyLease(NaiveScheduler &scheduler, Millis now, Millis sentAt, const LeaseGrant &lease, AgentSchedulerActions &actions)
{
    scheduler.leases_.push_back({sentAt, lease});
    tick(scheduler, now, actions);
}

void admitOrder(NaiveScheduler &scheduler, Millis now, LinkRef link, const Order &order, AgentSchedulerActions &actions)
{
    const Record *latest = nullptr;
    std::size_t unexpired = 0;
    for (const Record &record : scheduler.records_) {
        unexpired += record.expired_ ? 0 : 1;
        if (!record.expired_ && record.order_.key_ == order.key_) {
            latest = &record;
        }
    }
    if (latest != nullptr && order.attempt_ <= latest->order_.attempt_) {
        return;
    }
    Record record{now, link, order, now + order.startWithin_};
    if (latest != nullptr && latest->orderState_ != OrderState::Rejected) {
        reportOn(record, {TaskState::MayHaveRun, Code::DuplicateStart, {}}, actions);
        return;
    }
    if (unexpired >= scheduler.maxTasks_) {
        reportOn(record, {TaskState::NotRun, Code::Overloaded, {}}, actions);
        return;
    }
    const Code rejection = rejectionOf(scheduler, now);
    const std::size_t waiting = count(scheduler, OrderState::Waiting);
    if (rejection != Code::Ok) {
        reject(record, rejection, actions);
    } else if (count(scheduler, OrderState::Running) < static_cast<std::size_t>(scheduler.slots_) && waiting == 0) {
        start(scheduler, record, actions);
    } else if (waiting >= scheduler.maxWaiting_) {
        reject(record, Code::Overloaded, actions);
    }
    scheduler.records_.push_back(std::move(record));
}

void finishCall(NaiveScheduler &scheduler, Millis now, std::uint64_t call, const TaskOutcome &outcome, AgentSchedulerActions &actions)
{
    for (Record &record : scheduler.records_) {
        if (record.orderState_ == OrderState::Running && record.call_ == call) {
            record.orderState_ = outcome.state_ == TaskState::NotRun ? OrderState::Rejected : OrderState::Ended;
            reportOn(record, outcome, actions);
            startWaiting(scheduler, now, actions);
            return;
        }
    }
}

void closeLink(NaiveScheduler &scheduler, LinkRef link)
{
    for (Record &record : scheduler.records_) {
        record.orderState_ = record.link_ == link && record.orderState_ == OrderState::Waiting ? OrderState::Dropped : record.orderState_;
    }
}

std::string toText(const AgentSchedulerActions &actions)
{
    std::string out;
    for (const StartCall &call : actions.calls_) {
        out += "call " + std::to_string(call.call_) + ' ' + call.key_.job_ + '/' + std::to_string(call.key_.task_) + " by "
            + std::to_string(call.startBy_.count_) + '\n';
    }
    for (const SendReport &send : actions.reports_) {
        const TaskReport &report = send.report_;
        out += "report to " + std::to_string(send.link_) + ' ' + report.key_.job_ + '/' + std::to_string(report.key_.task_) + " attempt "
            + std::to_string(report.attempt_) + ' ' + std::string(stateName(report.outcome_.state_)) + ' '
            + std::to_string(static_cast<int>(report.outcome_.code_)) + '\n';
    }
    return out;
}

// Both schedulers, and the state of the scenario that both process.
struct Comparison
{
    AgentScheduler scheduler_;
    NaiveScheduler naive_;
    Random random_;
    Millis now_{1000};
    LinkRef links_ = 2;
    std::uint64_t version_ = 0;
};

Comparison makeComparison(std::uint64_t seed)
{
    constexpr std::size_t maxSlots = 4;
    constexpr std::size_t maxWaiting = 6;
    constexpr std::size_t minTasks = 30;
    Comparison comparison;
    comparison.random_.seed(seed);
    comparison.scheduler_.slots_ = static_cast<int>(1 + drawIndex(comparison.random_, maxSlots));
    comparison.scheduler_.maxWaiting_ = drawIndex(comparison.random_, maxWaiting);
    comparison.scheduler_.dedup_.maxTasks_ = minTasks + drawIndex(comparison.random_, eventsPerScenario);
    comparison.scheduler_.dedup_.retention_ = {static_cast<std::int64_t>(1000 + drawIndex(comparison.random_, 20000))};
    comparison.naive_.slots_ = comparison.scheduler_.slots_;
    comparison.naive_.maxWaiting_ = comparison.scheduler_.maxWaiting_;
    comparison.naive_.maxTasks_ = comparison.scheduler_.dedup_.maxTasks_;
    comparison.naive_.retention_ = comparison.scheduler_.dedup_.retention_;
    return comparison;
}

Millis drawMillis(Random &random, std::size_t below)
{
    return {static_cast<std::int64_t>(drawIndex(random, below))};
}

// Draws orders from a small set of tasks, so that duplicates and reordered attempts are frequent.
std::vector<Order> drawOrders(Comparison &comparison)
{
    constexpr std::size_t tasks = 40;
    constexpr std::size_t attempts = 4;
    std::vector<Order> orders;
    for (std::size_t left = drawIndex(comparison.random_, 4); left > 0; --left) {
        const auto task = static_cast<std::uint32_t>(drawIndex(comparison.random_, tasks));
        const auto attempt = static_cast<std::uint32_t>(1 + drawIndex(comparison.random_, attempts));
        orders.push_back({{"job", task}, "note", "payload", drawMillis(comparison.random_, 500), attempt});
    }
    return orders;
}

LeaseGrant drawLease(Comparison &comparison)
{
    comparison.version_ += drawIndex(comparison.random_, 8) == 0 ? 1 : 0;
    const std::uint64_t lag = std::min<std::uint64_t>(drawIndex(comparison.random_, 3), comparison.version_);
    return {0, comparison.version_ - lag, drawIndex(comparison.random_, 4) == 0, drawMillis(comparison.random_, 800)};
}

void sendOrders(Comparison &comparison, AgentSchedulerActions &actions, AgentSchedulerActions &expected)
{
    const LinkRef link = comparison.links_ - drawIndex(comparison.random_, 2);
    const std::vector<Order> orders = drawOrders(comparison);
    admitOrders(comparison.scheduler_, comparison.now_, link, orders, actions);
    for (const Order &order : orders) {
        admitOrder(comparison.naive_, comparison.now_, link, order, expected);
    }
}

// Returns whether a task's deduplication record may have expired. Calls of real agents never run that long.
bool mayHaveExpired(const Comparison &comparison, std::uint64_t call)
{
    return std::any_of(comparison.naive_.records_.begin(), comparison.naive_.records_.end(),
                       [&](const Record &each) { return each.call_ == call && each.at_ + comparison.naive_.retention_ < comparison.now_; });
}

void endCall(Comparison &comparison, AgentSchedulerActions &actions, AgentSchedulerActions &expected)
{
    const std::uint64_t call = 1 + drawIndex(comparison.random_, comparison.scheduler_.nextCall_);
    const TaskOutcome outcome = drawIndex(comparison.random_, 4) == 0 && !mayHaveExpired(comparison, call)
        ? TaskOutcome{TaskState::NotRun, Code::ConnectRefused, {}}
        : TaskOutcome{TaskState::Done, Code::Ok, {}};
    finishCall(comparison.scheduler_, comparison.now_, call, outcome, actions);
    finishCall(comparison.naive_, comparison.now_, call, outcome, expected);
}

void step(Comparison &comparison, AgentSchedulerActions &actions, AgentSchedulerActions &expected)
{
    const bool frozen = drawIndex(comparison.random_, 40) == 0;
    comparison.now_ = comparison.now_ + drawMillis(comparison.random_, frozen ? 5000 : 60);
    switch (drawIndex(comparison.random_, 12)) {
    case 0:
        closeLink(comparison.scheduler_, comparison.links_ - 1);
        closeLink(comparison.naive_, comparison.links_ - 1);
        ++comparison.links_;
        break;
    case 1:
    case 2: {
        const LeaseGrant lease = drawLease(comparison);
        const Millis sentAt = comparison.now_ - drawMillis(comparison.random_, 900);
        applyLease(comparison.scheduler_, comparison.now_, sentAt, lease, actions);
        applyLease(comparison.naive_, comparison.now_, sentAt, lease, expected);
        break;
    }
    case 3:
        tick(comparison.scheduler_, comparison.now_, actions);
        tick(comparison.naive_, comparison.now_, expected);
        break;
    case 4:
    case 5:
    case 6:
    case 7:
        endCall(comparison, actions, expected);
        break;
    default:
        sendOrders(comparison, actions, expected);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_scheduler_model)

BOOST_AUTO_TEST_CASE(matches_naive_reference)
{
    const std::uint64_t first = fromEnvironment("IBISWALL_SEED", 1);
    const std::uint64_t scenarios = fromEnvironment("IBISWALL_HISTORIES", defaultScenarios);
    std::size_t started = 0;
    for (std::uint64_t seed = first; seed < first + scenarios; ++seed) {
        Comparison comparison = makeComparison(seed);
        for (int event = 0; event < eventsPerScenario; ++event) {
            AgentSchedulerActions actions;
            AgentSchedulerActions expected;
            step(comparison, actions, expected);
            started += actions.calls_.size();
            BOOST_REQUIRE_MESSAGE(toText(actions) == toText(expected),
                                  "seed " << seed << " event " << event << "\nscheduler:\n"
                                          << toText(actions) << "naive:\n"
                                          << toText(expected));
        }
    }
    BOOST_TEST_MESSAGE(scenarios << " scenarios from seed " << first << ", " << started << " starts");
    BOOST_TEST(started > scenarios);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
