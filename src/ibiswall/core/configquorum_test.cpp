// Runs several entries under made-up faults, and checks every grant against everything that was answered as accepted.

#include "testsettings.hpp"

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>
#include <optional>

namespace ibiswall {

namespace {

constexpr Millis step{20};
constexpr Millis historyLength{60000};
constexpr Millis pollInterval{400};
constexpr Millis askInterval{500};
constexpr Millis acceptTimeout{5000};
/// The promise under test: no grant behind an accepted change is valid later than this after the answer.
constexpr Millis grantBound{3000};
constexpr std::uint64_t firstSeed = 20261203;

struct Note
{
    enum class Kind { Question, Word, Changes, ReadStart, ReadEnd, Write, WriteEnd };
    Kind kind_ = Kind::Question;
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    /// Incarnations at sending; a note for or of another incarnation is lost with its link.
    std::uint64_t fromNumber_ = 0;
    std::uint64_t toNumber_ = 0;
    Millis at_;
    std::uint64_t version_ = 0;
    bool caughtUp_ = false;
    bool ok_ = false;
};

struct Entry
{
    ConfigQuorum electorate_;
    std::uint64_t version_ = 0;
    std::uint64_t number_ = 1;
    Millis clockOffset_;
    Millis frozenUntil_;
    Millis polledAt_;
    Millis askedAt_;
    bool cutFromPlatform_ = false;
    bool polling_ = false;
    /// The change written and not answered yet.
    std::uint64_t pending_ = 0;
    Millis pendingSince_;
    bool writing_ = false;
};

struct Faults
{
    bool random_ = true;
    Millis platformDownFrom_{historyLength};
};

class World
{
public:
    World(std::size_t entries, std::uint64_t seed, Faults faults)
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
        for (; now_ < historyLength; now_ = now_ + step) {
            platformDown_ = faults_.random_ ? platformDown_ : now_ >= faults_.platformDownFrom_;
            deliver();
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (faults_.random_) {
                    disturb(i);
                }
                if (!isFrozen(i)) {
                    act(i);
                }
            }
        }
    }

    std::size_t accepted_ = 0;
    std::size_t grants_ = 0;
    /// Grants that broke the promise.
    std::size_t lateGrants_ = 0;
    /// Moments at which an entry could give no grant, after the first ten seconds.
    std::size_t idle_ = 0;

private:
    bool chance(std::size_t oneIn)
    {
        return random_() % oneIn == 0;
    }

    Millis upTo(std::int64_t most)
    {
        return {static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most + 1))};
    }

    // Mostly quick, sometimes very late.
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
        fresh.electorate_.entries_ = entries_.size();
        fresh.electorate_.startedAt_ = now_ + fresh.clockOffset_;
        entries_[i] = fresh;
    }

    void disturb(std::size_t i)
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

    void post(Note note, Millis when)
    {
        notes_.emplace(when.count_, note);
    }

    void send(Note note)
    {
        note.fromNumber_ = entries_[note.from_].number_;
        note.toNumber_ = entries_[note.to_].number_;
        if (!cut_[note.from_][note.to_]) {
            post(note, now_ + delay());
        }
    }

    void own(std::size_t i, Note::Kind kind, Millis at, std::uint64_t version, bool ok)
    {
        Note note;
        note.kind_ = kind;
        note.from_ = note.to_ = i;
        note.fromNumber_ = note.toNumber_ = entries_[i].number_;
        note.at_ = at;
        note.version_ = version;
        note.ok_ = ok;
        post(note, now_ + delay());
    }

    void deliver()
    {
        while (!notes_.empty() && notes_.begin()->first <= now_.count_) {
            const Note note = notes_.begin()->second;
            notes_.erase(notes_.begin());
            const bool atPlatform = note.kind_ == Note::Kind::ReadStart || note.kind_ == Note::Kind::Write;
            if (!atPlatform && isFrozen(note.to_)) {
                post(note, entries_[note.to_].frozenUntil_);
            } else if (atPlatform) {
                servePlatform(note);
            } else if (entries_[note.to_].number_ == note.toNumber_ && entries_[note.from_].number_ == note.fromNumber_) {
                take(note);
            }
        }
    }

    // A write that is under way takes effect even if its sender is gone or was cut off since.
    void servePlatform(const Note &note)
    {
        const bool write = note.kind_ == Note::Kind::Write;
        const bool reached = !platformDown_ && !entries_[note.to_].cutFromPlatform_;
        const bool won = write && reached && log_ + 1 == note.version_;
        log_ += won ? 1 : 0;
        const bool answered = reached && !(faults_.random_ && chance(20));
        Note answer = note;
        answer.kind_ = write ? Note::Kind::WriteEnd : Note::Kind::ReadEnd;
        answer.ok_ = write ? answered && won : answered;
        answer.version_ = write ? note.version_ : log_;
        post(answer, now_ + delay());
    }

    void learn(std::size_t i, std::uint64_t version)
    {
        Entry &entry = entries_[i];
        entry.version_ = std::max(entry.version_, version);
        updateCaughtUp(entry.electorate_, entry.version_);
    }

    void take(const Note &note)
    {
        Entry &entry = entries_[note.to_];
        switch (note.kind_) {
        case Note::Kind::Question:
            answer(note);
            return;
        case Note::Kind::Word:
            recordPeerStatus(entry.electorate_, nameOf(note.from_), {note.at_, note.version_, note.caughtUp_}, entry.version_);
            passOn(note.to_, note.from_, note.version_);
            answerConfirm(note.to_);
            return;
        case Note::Kind::Changes:
            learn(note.to_, note.version_);
            return;
        case Note::Kind::ReadEnd:
            entry.polling_ = false;
            if (note.ok_) {
                learn(note.to_, note.version_);
                recordPlatformRead(entry.electorate_, note.at_);
            } else {
                recordPlatformFailure(entry.electorate_, note.at_);
            }
            return;
        case Note::Kind::WriteEnd:
            endWrite(note);
            return;
        case Note::Kind::ReadStart:
        case Note::Kind::Write:
            return;
        }
    }

    void answer(const Note &question)
    {
        Entry &entry = entries_[question.to_];
        if (!checkRequester(entry.electorate_, {nameOf(question.from_), question.fromNumber_})) {
            return;
        }
        passOn(question.to_, question.from_, question.version_);
        Note word = question;
        std::swap(word.from_, word.to_);
        word.kind_ = Note::Kind::Word;
        word.version_ = entry.version_;
        word.caughtUp_ = entry.electorate_.caughtUp_;
        send(word);
    }

    void passOn(std::size_t i, std::size_t other, std::uint64_t known)
    {
        if (known < entries_[i].version_) {
            Note changes;
            changes.kind_ = Note::Kind::Changes;
            changes.from_ = i;
            changes.to_ = other;
            changes.version_ = entries_[i].version_;
            send(changes);
        }
    }

    void ask(std::size_t i)
    {
        entries_[i].askedAt_ = now_;
        for (std::size_t other = 0; other < entries_.size(); ++other) {
            if (other != i) {
                Note question;
                question.from_ = i;
                question.to_ = other;
                question.at_ = clockOf(i);
                question.version_ = entries_[i].version_;
                send(question);
            }
        }
    }

    void endWrite(const Note &note)
    {
        Entry &entry = entries_[note.to_];
        entry.writing_ = false;
        if (!note.ok_) {
            return;
        }
        learn(note.to_, note.version_);
        entry.pending_ = note.version_;
        entry.pendingSince_ = now_;
        for (std::size_t other = 0; other < entries_.size(); ++other) {
            passOn(note.to_, other, other == note.to_ ? note.version_ : 0);
        }
        ask(note.to_);
        answerConfirm(note.to_);
    }

    void answerConfirm(std::size_t i)
    {
        Entry &entry = entries_[i];
        if (entry.pending_ == 0 || !isAccepted(entry.electorate_, entry.version_, entry.pending_, clockOf(i))) {
            return;
        }
        answered_.emplace(entry.pending_, now_);
        ++accepted_;
        entry.pending_ = 0;
    }

    void act(std::size_t i)
    {
        Entry &entry = entries_[i];
        if (!entry.polling_ && now_ >= entry.polledAt_ + pollInterval) {
            entry.polling_ = true;
            entry.polledAt_ = now_;
            own(i, Note::Kind::ReadStart, clockOf(i), 0, true);
        }
        if (now_ >= entry.askedAt_ + askInterval) {
            ask(i);
        }
        if (entry.pending_ != 0 && now_ >= entry.pendingSince_ + acceptTimeout) {
            entry.pending_ = 0;
        }
        const bool busy = entry.writing_ || entry.pending_ != 0;
        if (!busy && chance(100) && canAccept(entry.electorate_, clockOf(i))) {
            entry.writing_ = true;
            own(i, Note::Kind::Write, clockOf(i), entry.version_ + 1, true);
        }
        grant(i);
    }

    void grant(std::size_t i)
    {
        const Entry &entry = entries_[i];
        const Millis length = leaseDuration(entry.electorate_, entry.version_, clockOf(i));
        if (length == Millis{0}) {
            idle_ += now_ > Millis{10000} ? 1 : 0;
            return;
        }
        ++grants_;
        const auto unknown = answered_.upper_bound(entry.version_);
        for (auto it = unknown; it != answered_.end(); ++it) {
            lateGrants_ += now_ + length > it->second + grantBound ? 1 : 0;
        }
    }

    Random random_;
    Faults faults_;
    std::vector<Entry> entries_;
    std::vector<std::vector<bool>> cut_;
    std::multimap<std::int64_t, Note> notes_;
    Millis now_;
    bool platformDown_ = false;
    /// Highest change in the platform's store.
    std::uint64_t log_ = 0;
    /// When each change was first answered as accepted.
    std::map<std::uint64_t, Millis> answered_;
};

std::size_t histories()
{
    constexpr std::size_t few = 60;
    return fromEnvironment("IBISWALL_HISTORIES", few);
}

std::uint64_t seedStart()
{
    return fromEnvironment("IBISWALL_SEED", firstSeed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(quorum)

BOOST_AUTO_TEST_CASE(quorums_always_meet)
{
    for (std::size_t entries = 1; entries < 20; ++entries) {
        ConfigQuorum quorum;
        quorum.entries_ = entries;
        BOOST_TEST(readQuorum(quorum) * 2 > entries);
        BOOST_TEST(readQuorum(quorum) + writeQuorum(quorum) == entries + 1);
    }
}

BOOST_AUTO_TEST_CASE(no_grant_outlives_an_accepted_change)
{
    std::size_t accepted = 0;
    std::size_t grants = 0;
    for (std::size_t i = 0; i < histories(); ++i) {
        const std::uint64_t seed = seedStart() + i;
        World world(1 + i % 5, seed, {});
        world.run();
        accepted += world.accepted_;
        grants += world.grants_;
        BOOST_TEST_INFO("seed " << seed << ", entries " << 1 + i % 5);
        BOOST_TEST(world.lateGrants_ == 0U);
    }
    BOOST_TEST_MESSAGE("seed " << seedStart() << ", " << histories() << " histories, " << accepted << " accepted changes, " << grants
                               << " grants");
    BOOST_TEST(accepted > histories());
    BOOST_TEST(grants > histories() * 100);
}

BOOST_AUTO_TEST_CASE(grants_go_on_through_an_outage_of_any_length)
{
    for (std::size_t entries = 1; entries <= 5; ++entries) {
        World world(entries, firstSeed, {false, {8000}});
        world.run();
        BOOST_TEST_INFO("entries " << entries);
        BOOST_TEST(world.idle_ == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_minority_without_the_platform_stops)
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

BOOST_AUTO_TEST_CASE(a_word_of_a_higher_version_gives_no_right)
{
    ConfigQuorum quorum;
    quorum.entries_ = 3;
    recordPlatformRead(quorum, {100});
    recordPeerStatus(quorum, "b", {{5000}, 2, true}, 1);
    BOOST_TEST((leaseDuration(quorum, 1, {5100}) == Millis{0}));
    BOOST_TEST((leaseDuration(quorum, 2, {5100}) > Millis{0}));
}

BOOST_AUTO_TEST_CASE(a_fresh_process_counts_only_words_asked_late_enough)
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

BOOST_AUTO_TEST_CASE(a_change_is_accepted_by_recent_words_only)
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

BOOST_AUTO_TEST_CASE(a_replaced_process_gets_no_answer)
{
    ConfigQuorum quorum;
    BOOST_TEST(checkRequester(quorum, {"b", 2}));
    BOOST_TEST(!checkRequester(quorum, {"b", 1}));
    BOOST_TEST(checkRequester(quorum, {"b", 2}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
