// Simulates several entries with message delays, partitions, freezes and restarts, and checks each lease against the
// changes that had been answered as accepted.

#include "testsettings.hpp"

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>
#include <optional>

namespace ibiswall {

namespace {

constexpr Millis step{20};
constexpr Millis scenarioLength{60000};
constexpr Millis pollInterval{400};
constexpr Millis queryInterval{500};
constexpr Millis acceptanceTimeout{5000};
/// Invariant under test: a lease that lacks an accepted change expires within this time after the change was answered.
constexpr Millis leaseBound{3000};
constexpr std::uint64_t firstSeed = 20261203;

struct Message
{
    enum class Kind { PeerQuery, PeerReply, Changes, ReadStart, ReadEnd, Write, WriteEnd };
    Kind kind_ = Kind::PeerQuery;
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    /// Incarnations at sending; a message from or to another incarnation is lost with its link.
    std::uint64_t fromNumber_ = 0;
    std::uint64_t toNumber_ = 0;
    Millis at_;
    std::uint64_t version_ = 0;
    bool caughtUp_ = false;
    bool ok_ = false;
};

struct Entry
{
    ConfigQuorum quorum_;
    std::uint64_t version_ = 0;
    std::uint64_t number_ = 1;
    Millis clockOffset_;
    Millis frozenUntil_;
    Millis polledAt_;
    Millis queriedAt_;
    bool cutFromPlatform_ = false;
    bool polling_ = false;
    /// The change that has been written but not answered yet.
    std::uint64_t pending_ = 0;
    Millis pendingSince_;
    bool writing_ = false;
};

struct Faults
{
    bool random_ = true;
    Millis platformDownFrom_{scenarioLength};
};

class Simulation
{
public:
    Simulation(std::size_t entries, std::uint64_t seed, Faults faults)
        : random_(seed)
        , faults_(faults)
        , entries_(entries)
        , cut_(entries, std::vector<bool>(entries, false))
    {
        for (std::size_t i = 0; i < entries; ++i) {
            restart(i);
        }
    }

    void run()
    {
        for (; now_ < scenarioLength; now_ = now_ + step) {
            platformDown_ = faults_.random_ ? platformDown_ : now_ >= faults_.platformDownFrom_;
            deliver();
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (faults_.random_) {
                    injectFaults(i);
                }
                if (!isFrozen(i)) {
                    act(i);
                }
            }
        }
    }

    std::size_t accepted_ = 0;
    std::size_t leases_ = 0;
    /// Number of leases that violate the invariant.
    std::size_t lateLeases_ = 0;
    /// Number of steps at which an entry could issue no lease, after the first ten seconds.
    std::size_t stepsWithoutLease_ = 0;

private:
    bool chance(std::size_t oneIn)
    {
        return random_() % oneIn == 0;
    }

    Millis upTo(std::int64_t most)
    {
        return {static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most + 1))};
    }

    // Short for most messages, very long for a few.
    Millis delay()
    {
        return faults_.random_ && chance(20) ? upTo(7000) : upTo(60);
    }

    bool isFrozen(std::size_t i) const
    {
        return entries_[i].frozenUntil_ > now_;
    }

    Millis clockOf(std::size_t i) const
    {
        return now_ + entries_[i].clockOffset_;
    }

    static std::string nameOf(std::size_t i)
    {
        return "entry-" + std::to_string(i);
    }

    void restart(std::size_t i)
    {
        Entry fresh;
        fresh.number_ = entries_[i].number_ + 1;
        fresh.cutFromPlatform_ = entries_[i].cutFromPlatform_;
        fresh.clockOffset_ = Millis{1000000} + upTo(1000000);
        fresh.quorum_.entries_ = entries_.size();
        fresh.quorum_.startedAt_ = now_ + fresh.clockOffset_;
        entries_[i] = fresh;
    }

    void injectFaults(std::size_t i)
    {
        if (chance(1500)) {
            restart(i);
        }
        if (chance(800)) {
            entries_[i].frozenUntil_ = now_ + upTo(6000);
        }
        if (chance(250)) {
            entries_[i].cutFromPlatform_ = !entries_[i].cutFromPlatform_;
        }
        if (chance(600)) {
            platformDown_ = !platformDown_;
        }
        const std::size_t other = random_() % entries_.size();
        if (chance(100)) {
            cut_[i][other] = !cut_[i][other];
        }
    }

    void post(Message message, Millis when)
    {
        messages_.emplace(when.count_, message);
    }

    void send(Message message)
    {
        message.fromNumber_ = entries_[message.from_].number_;
        message.toNumber_ = entries_[message.to_].number_;
        if (!cut_[message.from_][message.to_]) {
            post(message, now_ + delay());
        }
    }

    void postToSelf(std::size_t i, Message::Kind kind, Millis at, std::uint64_t version, bool ok)
    {
        Message message;
        message.kind_ = kind;
        message.from_ = message.to_ = i;
        message.fromNumber_ = message.toNumber_ = entries_[i].number_;
        message.at_ = at;
        message.version_ = version;
        message.ok_ = ok;
        post(message, now_ + delay());
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_.count_) {
            const Message message = messages_.begin()->second;
            messages_.erase(messages_.begin());
            const bool atPlatform = message.kind_ == Message::Kind::ReadStart || message.kind_ == Message::Kind::Write;
            if (!atPlatform && isFrozen(message.to_)) {
                post(message, entries_[message.to_].frozenUntil_);
            } else if (atPlatform) {
                servePlatform(message);
            } else if (entries_[message.to_].number_ == message.toNumber_ && entries_[message.from_].number_ == message.fromNumber_) {
                handle(message);
            }
        }
    }

    // A write in flight takes effect even if its sender has stopped since.
    void servePlatform(const Message &message)
    {
        const bool write = message.kind_ == Message::Kind::Write;
        const bool reachable = !platformDown_ && !entries_[message.to_].cutFromPlatform_;
        const bool written = write && reachable && platformVersion_ + 1 == message.version_;
        platformVersion_ += written ? 1 : 0;
        const bool answered = reachable && !(faults_.random_ && chance(20));
        Message answer = message;
        answer.kind_ = write ? Message::Kind::WriteEnd : Message::Kind::ReadEnd;
        answer.ok_ = write ? answered && written : answered;
        answer.version_ = write ? message.version_ : platformVersion_;
        post(answer, now_ + delay());
    }

    void applyVersion(std::size_t i, std::uint64_t version)
    {
        Entry &entry = entries_[i];
        entry.version_ = std::max(entry.version_, version);
        updateCaughtUp(entry.quorum_, entry.version_);
    }

    void handle(const Message &message)
    {
        Entry &entry = entries_[message.to_];
        switch (message.kind_) {
        case Message::Kind::PeerQuery:
            answer(message);
            return;
        case Message::Kind::PeerReply:
            recordPeerStatus(entry.quorum_, nameOf(message.from_), {message.at_, message.version_, message.caughtUp_}, entry.version_);
            forwardChanges(message.to_, message.from_, message.version_);
            answerPendingChange(message.to_);
            return;
        case Message::Kind::Changes:
            applyVersion(message.to_, message.version_);
            return;
        case Message::Kind::ReadEnd:
            entry.polling_ = false;
            if (message.ok_) {
                applyVersion(message.to_, message.version_);
                recordPlatformRead(entry.quorum_, message.at_);
            } else {
                recordPlatformFailure(entry.quorum_, message.at_);
            }
            return;
        case Message::Kind::WriteEnd:
            endWrite(message);
            return;
        case Message::Kind::ReadStart:
        case Message::Kind::Write:
            return;
        }
    }

    void answer(const Message &query)
    {
        Entry &entry = entries_[query.to_];
        if (!checkRequester(entry.quorum_, {nameOf(query.from_), query.fromNumber_})) {
            return;
        }
        forwardChanges(query.to_, query.from_, query.version_);
        Message reply = query;
        std::swap(reply.from_, reply.to_);
        reply.kind_ = Message::Kind::PeerReply;
        reply.version_ = entry.version_;
        reply.caughtUp_ = entry.quorum_.caughtUp_;
        send(reply);
    }

    void forwardChanges(std::size_t i, std::size_t other, std::uint64_t known)
    {
        if (known < entries_[i].version_) {
            Message changes;
            changes.kind_ = Message::Kind::Changes;
            changes.from_ = i;
            changes.to_ = other;
            changes.version_ = entries_[i].version_;
            send(changes);
        }
    }

    void queryPeers(std::size_t i)
    {
        entries_[i].queriedAt_ = now_;
        for (std::size_t other = 0; other < entries_.size(); ++other) {
            if (other != i) {
                Message query;
                query.from_ = i;
                query.to_ = other;
                query.at_ = clockOf(i);
                query.version_ = entries_[i].version_;
                send(query);
            }
        }
    }

    void endWrite(const Message &message)
    {
        Entry &entry = entries_[message.to_];
        entry.writing_ = false;
        if (!message.ok_) {
            return;
        }
        applyVersion(message.to_, message.version_);
        entry.pending_ = message.version_;
        entry.pendingSince_ = now_;
        for (std::size_t other = 0; other < entries_.size(); ++other) {
            forwardChanges(message.to_, other, other == message.to_ ? message.version_ : 0);
        }
        queryPeers(message.to_);
        answerPendingChange(message.to_);
    }

    void answerPendingChange(std::size_t i)
    {
        Entry &entry = entries_[i];
        if (entry.pending_ == 0 || !isAccepted(entry.quorum_, entry.version_, entry.pending_, clockOf(i))) {
            return;
        }
        acceptedAt_.emplace(entry.pending_, now_);
        ++accepted_;
        entry.pending_ = 0;
    }

    void act(std::size_t i)
    {
        Entry &entry = entries_[i];
        if (!entry.polling_ && now_ >= entry.polledAt_ + pollInterval) {
            entry.polling_ = true;
            entry.polledAt_ = now_;
            postToSelf(i, Message::Kind::ReadStart, clockOf(i), 0, true);
        }
        if (now_ >= entry.queriedAt_ + queryInterval) {
            queryPeers(i);
        }
        if (entry.pending_ != 0 && now_ >= entry.pendingSince_ + acceptanceTimeout) {
            entry.pending_ = 0;
        }
        const bool busy = entry.writing_ || entry.pending_ != 0;
        if (!busy && chance(100) && canAccept(entry.quorum_, clockOf(i))) {
            entry.writing_ = true;
            postToSelf(i, Message::Kind::Write, clockOf(i), entry.version_ + 1, true);
        }
        checkLease(i);
    }

    void checkLease(std::size_t i)
    {
        const Entry &entry = entries_[i];
        const Millis duration = leaseDuration(entry.quorum_, entry.version_, clockOf(i));
        if (duration == Millis{0}) {
            stepsWithoutLease_ += now_ > Millis{10000} ? 1 : 0;
            return;
        }
        ++leases_;
        const auto unknown = acceptedAt_.upper_bound(entry.version_);
        for (auto it = unknown; it != acceptedAt_.end(); ++it) {
            lateLeases_ += now_ + duration > it->second + leaseBound ? 1 : 0;
        }
    }

    Random random_;
    Faults faults_;
    std::vector<Entry> entries_;
    std::vector<std::vector<bool>> cut_;
    std::multimap<std::int64_t, Message> messages_;
    Millis now_;
    bool platformDown_ = false;
    /// Number of the latest change in the platform's store.
    std::uint64_t platformVersion_ = 0;
    /// Time at which each change was first answered as accepted.
    std::map<std::uint64_t, Millis> acceptedAt_;
};

std::size_t scenarioCount()
{
    constexpr std::size_t defaultScenarios = 60;
    return fromEnvironment("IBISWALL_HISTORIES", defaultScenarios);
}

std::uint64_t seedStart()
{
    return fromEnvironment("IBISWALL_SEED", firstSeed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_quorum)

BOOST_AUTO_TEST_CASE(read_and_write_quorums_intersect)
{
    for (std::size_t entries = 1; entries < 20; ++entries) {
        ConfigQuorum quorum;
        quorum.entries_ = entries;
        BOOST_TEST(readQuorum(quorum) * 2 > entries);
        BOOST_TEST(readQuorum(quorum) + writeQuorum(quorum) == entries + 1);
    }
}

BOOST_AUTO_TEST_CASE(no_lease_without_an_accepted_change_exceeds_the_bound)
{
    std::size_t accepted = 0;
    std::size_t leases = 0;
    for (std::size_t i = 0; i < scenarioCount(); ++i) {
        const std::uint64_t seed = seedStart() + i;
        Simulation simulation(1 + i % 5, seed, {});
        simulation.run();
        accepted += simulation.accepted_;
        leases += simulation.leases_;
        BOOST_TEST_INFO("seed " << seed << ", entries " << 1 + i % 5);
        BOOST_TEST(simulation.lateLeases_ == 0U);
    }
    BOOST_TEST_MESSAGE("seed " << seedStart() << ", " << scenarioCount() << " scenarios, " << accepted << " accepted changes, " << leases
                               << " leases");
    BOOST_TEST(accepted > scenarioCount());
    BOOST_TEST(leases > scenarioCount() * 100);
}

BOOST_AUTO_TEST_CASE(leases_continue_during_platform_outage)
{
    for (std::size_t entries = 1; entries <= 5; ++entries) {
        Simulation simulation(entries, firstSeed, {false, {8000}});
        simulation.run();
        BOOST_TEST_INFO("entries " << entries);
        BOOST_TEST(simulation.stepsWithoutLease_ == 0U);
    }
}

BOOST_AUTO_TEST_CASE(minority_without_platform_issues_no_leases)
{
    ConfigQuorum quorum;
    quorum.entries_ = 3;
    recordPlatformRead(quorum, {100});
    BOOST_TEST((leaseDuration(quorum, 1, {200}) > Millis{0}));
    BOOST_TEST((leaseDuration(quorum, 1, Millis{100} + readValidity) == Millis{0}));
    recordPeerStatus(quorum, "b", {{5000}, 1, true}, 1);
    BOOST_TEST((leaseDuration(quorum, 1, {5100}) > Millis{0}));
    BOOST_TEST((leaseDuration(quorum, 1, Millis{5000} + readValidity) == Millis{0}));
}

BOOST_AUTO_TEST_CASE(peer_with_higher_version_does_not_confirm_lease)
{
    ConfigQuorum quorum;
    quorum.entries_ = 3;
    recordPlatformRead(quorum, {100});
    recordPeerStatus(quorum, "b", {{5000}, 2, true}, 1);
    BOOST_TEST((leaseDuration(quorum, 1, {5100}) == Millis{0}));
    BOOST_TEST((leaseDuration(quorum, 2, {5100}) > Millis{0}));
}

BOOST_AUTO_TEST_CASE(new_process_ignores_statuses_queried_too_early)
{
    ConfigQuorum quorum;
    quorum.entries_ = 3;
    quorum.startedAt_ = {1000};
    recordPeerStatus(quorum, "b", {{1100}, 1, true}, 1);
    recordPeerStatus(quorum, "c", {{1100}, 1, true}, 1);
    BOOST_TEST(!quorum.caughtUp_);
    recordPeerStatus(quorum, "b", {{4000}, 1, true}, 1);
    recordPeerStatus(quorum, "c", {{4000}, 1, false}, 1);
    BOOST_TEST(!quorum.caughtUp_);
    recordPeerStatus(quorum, "c", {{4001}, 1, true}, 1);
    BOOST_TEST(quorum.caughtUp_);
}

BOOST_AUTO_TEST_CASE(only_recent_statuses_count_towards_acceptance)
{
    ConfigQuorum quorum;
    quorum.entries_ = 3;
    recordPeerStatus(quorum, "b", {{5000}, 1, true}, 2);
    BOOST_TEST(canAccept(quorum, {5100}));
    BOOST_TEST(!isAccepted(quorum, 2, 2, {5100}));
    recordPeerStatus(quorum, "b", {{5200}, 2, true}, 2);
    BOOST_TEST(isAccepted(quorum, 2, 2, {5300}));
    BOOST_TEST(!isAccepted(quorum, 2, 2, Millis{5200} + readValidity));
    BOOST_TEST(!canAccept(quorum, Millis{5200} + readValidity));
}

BOOST_AUTO_TEST_CASE(replaced_process_gets_no_reply)
{
    ConfigQuorum quorum;
    BOOST_TEST(checkRequester(quorum, {"b", 2}));
    BOOST_TEST(!checkRequester(quorum, {"b", 1}));
    BOOST_TEST(checkRequester(quorum, {"b", 2}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
