// Compares the gate with a naive version that keeps every event and searches all of them, over seeded histories.
// IBISWALL_HISTORIES sets their number and IBISWALL_SEED the first seed.

#include "testsettings.hpp"
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

constexpr std::uint64_t defaultHistories = 300;
constexpr int eventsPerHistory = 400;

enum class Fate {
    Waiting,
    Running,
    Refused,
    /// Its link closed while it waited.
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
    Fate fate_ = Fate::Waiting;
    std::uint64_t call_ = 0;
    bool forgotten_ = false;
};

struct GivenGrant
{
    Millis sentAt_;
    Grant grant_;
};

struct NaiveGate
{
    int slots_ = 1;
    std::size_t maxWaiting_ = 0;
    std::size_t maxTasks_ = 0;
    Millis life_;
    std::vector<Record> records_;
    std::vector<GivenGrant> grants_;
    bool leaving_ = false;
    std::uint64_t calls_ = 0;
};

std::size_t count(const NaiveGate &gate, Fate fate)
{
    return static_cast<std::size_t>(
        std::count_if(gate.records_.begin(), gate.records_.end(), [fate](const Record &each) { return each.fate_ == fate; }));
}

Millis grantEnd(const NaiveGate &gate)
{
    Millis end;
    for (const GivenGrant &each : gate.grants_) {
        end = std::max(end, each.sentAt_ + each.grant_.length_);
    }
    return end;
}

bool isOut(const NaiveGate &gate)
{
    std::uint64_t version = 0;
    bool out = false;
    for (const GivenGrant &each : gate.grants_) {
        if (each.grant_.version_ >= version) {
            version = each.grant_.version_;
            out = each.grant_.out_;
        }
    }
    return out;
}

Code refusalOf(const NaiveGate &gate, Millis now)
{
    if (gate.leaving_) {
        return Code::TargetDraining;
    }
    if (isOut(gate)) {
        return Code::OutOfService;
    }
    return grantEnd(gate) <= now ? Code::NoLease : Code::Ok;
}

void reportOn(const Record &record, const TaskOutcome &outcome, GateActions &actions)
{
    actions.reports_.push_back({record.link_, {record.order_.key_, outcome, record.order_.attempt_}});
}

void refuse(Record &record, Code code, GateActions &actions)
{
    record.fate_ = Fate::Refused;
    reportOn(record, {TaskState::NotRun, code, {}}, actions);
}

void start(NaiveGate &gate, Record &record, GateActions &actions)
{
    record.fate_ = Fate::Running;
    record.call_ = ++gate.calls_;
    const Order &order = record.order_;
    actions.calls_.push_back({record.call_, order.key_, order.kind_, order.payload_, std::min(record.startBy_, grantEnd(gate))});
}

void startWaiting(NaiveGate &gate, Millis now, GateActions &actions)
{
    if (refusalOf(gate, now) != Code::Ok) {
        return;
    }
    for (Record &record : gate.records_) {
        if (record.fate_ != Fate::Waiting || count(gate, Fate::Running) >= static_cast<std::size_t>(gate.slots_)) {
            continue;
        }
        if (record.startBy_ < now) {
            refuse(record, Code::DeadlinePassed, actions);
        } else {
            start(gate, record, actions);
        }
    }
}

void tick(NaiveGate &gate, Millis now, GateActions &actions)
{
    const Code refusal = refusalOf(gate, now);
    for (Record &record : gate.records_) {
        record.forgotten_ = record.forgotten_ || record.at_ + gate.life_ < now;
        if (record.fate_ == Fate::Waiting && (refusal != Code::Ok || record.startBy_ < now)) {
            refuse(record, refusal != Code::Ok ? refusal : Code::DeadlinePassed, actions);
        }
    }
    startWaiting(gate, now, actions);
}

void takeGrant(NaiveGate &gate, Millis now, Millis sentAt, const Grant &grant, GateActions &actions)
{
    gate.grants_.push_back({sentAt, grant});
    tick(gate, now, actions);
}

void takeOrder(NaiveGate &gate, Millis now, LinkRef link, const Order &order, GateActions &actions)
{
    const Record *latest = nullptr;
    std::size_t remembered = 0;
    for (const Record &record : gate.records_) {
        remembered += record.forgotten_ ? 0 : 1;
        if (!record.forgotten_ && record.order_.key_ == order.key_) {
            latest = &record;
        }
    }
    if (latest != nullptr && order.attempt_ <= latest->order_.attempt_) {
        return;
    }
    Record record{now, link, order, now + order.startWithin_};
    if (latest != nullptr && latest->fate_ != Fate::Refused) {
        reportOn(record, {TaskState::MayHaveRun, Code::DuplicateStart, {}}, actions);
        return;
    }
    if (remembered >= gate.maxTasks_) {
        reportOn(record, {TaskState::NotRun, Code::Overloaded, {}}, actions);
        return;
    }
    const Code refusal = refusalOf(gate, now);
    const std::size_t waiting = count(gate, Fate::Waiting);
    if (refusal != Code::Ok) {
        refuse(record, refusal, actions);
    } else if (count(gate, Fate::Running) < static_cast<std::size_t>(gate.slots_) && waiting == 0) {
        start(gate, record, actions);
    } else if (waiting >= gate.maxWaiting_) {
        refuse(record, Code::Overloaded, actions);
    }
    gate.records_.push_back(std::move(record));
}

void finishCall(NaiveGate &gate, Millis now, std::uint64_t call, const TaskOutcome &outcome, GateActions &actions)
{
    for (Record &record : gate.records_) {
        if (record.fate_ == Fate::Running && record.call_ == call) {
            record.fate_ = outcome.state_ == TaskState::NotRun ? Fate::Refused : Fate::Ended;
            reportOn(record, outcome, actions);
            startWaiting(gate, now, actions);
            return;
        }
    }
}

void closeLink(NaiveGate &gate, LinkRef link)
{
    for (Record &record : gate.records_) {
        record.fate_ = record.link_ == link && record.fate_ == Fate::Waiting ? Fate::Dropped : record.fate_;
    }
}

std::string text(const GateActions &actions)
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

// The two gates and the history that both are given.
struct Comparison
{
    Gate gate_;
    NaiveGate naive_;
    Random random_;
    Millis now_{1000};
    LinkRef links_ = 2;
    std::uint64_t version_ = 0;
};

Comparison makeComparison(std::uint64_t seed)
{
    constexpr std::size_t mostSlots = 4;
    constexpr std::size_t mostWaiting = 6;
    constexpr std::size_t fewTasks = 30;
    Comparison both;
    both.random_.seed(seed);
    both.gate_.slots_ = static_cast<int>(1 + drawIndex(both.random_, mostSlots));
    both.gate_.maxWaiting_ = drawIndex(both.random_, mostWaiting);
    both.gate_.seen_.maxTasks_ = fewTasks + drawIndex(both.random_, eventsPerHistory);
    both.gate_.seen_.life_ = {static_cast<std::int64_t>(1000 + drawIndex(both.random_, 20000))};
    both.naive_.slots_ = both.gate_.slots_;
    both.naive_.maxWaiting_ = both.gate_.maxWaiting_;
    both.naive_.maxTasks_ = both.gate_.seen_.maxTasks_;
    both.naive_.life_ = both.gate_.seen_.life_;
    return both;
}

Millis drawMillis(Random &random, std::size_t below)
{
    return {static_cast<std::int64_t>(drawIndex(random, below))};
}

// Orders of few tasks, so that repeated, late and crossed ones are common.
std::vector<Order> drawOrders(Comparison &both)
{
    constexpr std::size_t tasks = 40;
    constexpr std::size_t attempts = 4;
    std::vector<Order> orders;
    for (std::size_t left = drawIndex(both.random_, 4); left > 0; --left) {
        const auto task = static_cast<std::uint32_t>(drawIndex(both.random_, tasks));
        const auto attempt = static_cast<std::uint32_t>(1 + drawIndex(both.random_, attempts));
        orders.push_back({{"job", task}, "note", "payload", drawMillis(both.random_, 500), attempt});
    }
    return orders;
}

Grant drawGrant(Comparison &both)
{
    both.version_ += drawIndex(both.random_, 8) == 0 ? 1 : 0;
    const std::uint64_t late = std::min<std::uint64_t>(drawIndex(both.random_, 3), both.version_);
    return {0, both.version_ - late, drawIndex(both.random_, 4) == 0, drawMillis(both.random_, 800)};
}

void giveOrders(Comparison &both, GateActions &actions, GateActions &expected)
{
    const LinkRef link = both.links_ - drawIndex(both.random_, 2);
    const std::vector<Order> orders = drawOrders(both);
    takeOrders(both.gate_, both.now_, link, orders, actions);
    for (const Order &order : orders) {
        takeOrder(both.naive_, both.now_, link, order, expected);
    }
}

// Tells whether a task was seen so long ago that it may be forgotten; no call of a real agent lasts that long.
bool isOld(const Comparison &both, std::uint64_t call)
{
    return std::any_of(both.naive_.records_.begin(), both.naive_.records_.end(),
                       [&](const Record &each) { return each.call_ == call && each.at_ + both.naive_.life_ < both.now_; });
}

void endCall(Comparison &both, GateActions &actions, GateActions &expected)
{
    const std::uint64_t call = 1 + drawIndex(both.random_, both.gate_.nextCall_);
    const TaskOutcome outcome = drawIndex(both.random_, 4) == 0 && !isOld(both, call)
        ? TaskOutcome{TaskState::NotRun, Code::ConnectRefused, {}}
        : TaskOutcome{TaskState::Done, Code::Ok, {}};
    finishCall(both.gate_, both.now_, call, outcome, actions);
    finishCall(both.naive_, both.now_, call, outcome, expected);
}

void step(Comparison &both, GateActions &actions, GateActions &expected)
{
    const bool frozen = drawIndex(both.random_, 40) == 0;
    both.now_ = both.now_ + drawMillis(both.random_, frozen ? 5000 : 60);
    switch (drawIndex(both.random_, 12)) {
    case 0:
        closeLink(both.gate_, both.links_ - 1);
        closeLink(both.naive_, both.links_ - 1);
        ++both.links_;
        break;
    case 1:
    case 2: {
        const Grant grant = drawGrant(both);
        const Millis sentAt = both.now_ - drawMillis(both.random_, 900);
        takeGrant(both.gate_, both.now_, sentAt, grant, actions);
        takeGrant(both.naive_, both.now_, sentAt, grant, expected);
        break;
    }
    case 3:
        tick(both.gate_, both.now_, actions);
        tick(both.naive_, both.now_, expected);
        break;
    case 4:
    case 5:
    case 6:
    case 7:
        endCall(both, actions, expected);
        break;
    default:
        giveOrders(both, actions, expected);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(gate_history)

BOOST_AUTO_TEST_CASE(gate_decides_as_the_naive_version_does)
{
    const std::uint64_t first = fromEnvironment("IBISWALL_SEED", 1);
    const std::uint64_t histories = fromEnvironment("IBISWALL_HISTORIES", defaultHistories);
    std::size_t started = 0;
    for (std::uint64_t seed = first; seed < first + histories; ++seed) {
        Comparison both = makeComparison(seed);
        for (int event = 0; event < eventsPerHistory; ++event) {
            GateActions actions;
            GateActions expected;
            step(both, actions, expected);
            started += actions.calls_.size();
            BOOST_REQUIRE_MESSAGE(text(actions) == text(expected),
                                  "seed " << seed << " event " << event << "\ngate:\n"
                                          << text(actions) << "naive:\n"
                                          << text(expected));
        }
    }
    BOOST_TEST_MESSAGE(histories << " histories from seed " << first << ", " << started << " starts");
    BOOST_TEST(started > histories);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
