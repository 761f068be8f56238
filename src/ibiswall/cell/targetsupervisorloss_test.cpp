// An attendant whose target leaves calls unanswered.

#include "targetsupervisorfixture.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace ibiswall::cell {

namespace {

// A target that loses one answer in twenty, as seen on the bench for tens of seconds on end. A run of 50 ms is ordered every
// 20 ms.
class LossyTarget
{
public:
    // Plays until the ends of so many runs were told.
    // @return how long each end took to be told, in milliseconds, shortest first
    std::vector<std::int64_t> play(std::size_t runs)
    {
        const std::size_t most = runs * 2;
        while (delays_.size() < runs && ordered_ < most) {
            bench_.pass(1);
            order();
            endRuns();
            bench_.attendant_.tick(bench_.now_);
            takeCalls();
            answerStarts();
            answerHolds();
            takeReport();
        }
        std::sort(delays_.begin(), delays_.end());
        return delays_;
    }

private:
    static constexpr std::int64_t runTime = 50;
    static constexpr std::int64_t startEvery = 20;
    static constexpr unsigned lostOneIn = 20;

    // A hold, or a start whose answer is lost.
    struct Open
    {
        TargetCall call_;
        bool lost_ = false;
    };

    bool isLost()
    {
        return noise_() % lostOneIn == 0;
    }

    void order()
    {
        if (bench_.now_.count_ % startEvery == 0) {
            ++ordered_;
            bench_.start("j" + std::to_string(ordered_), ordered_);
        }
    }

    void endRuns()
    {
        while (!running_.empty() && bench_.now_ >= running_.front().second) {
            const Run run = running_.front().first;
            running_.erase(running_.begin());
            ends_.push_back({ends_.size() + 1, run, EndKind::Done, {}});
            endedAt_[run.number_] = bench_.now_;
        }
    }

    void takeCalls()
    {
        for (const TargetCall &call : bench_.attendant_.takeCalls()) {
            const bool lost = isLost();
            if (call.kind_ == TargetCall::Kind::Hold) {
                holds_.push_back({call, lost});
            } else if (lost) {
                starts_.push_back({call, lost});
            } else {
                running_.emplace_back(call.run_, bench_.now_ + Millis{runTime});
                bench_.attendant_.started(call, CallOutcome::Ok, bench_.now_);
            }
        }
    }

    void answerStarts()
    {
        for (const Open &start : std::exchange(starts_, {})) {
            if (bench_.now_ < start.call_.sentAt_ + unansweredOrder) {
                starts_.push_back(start);
            } else {
                bench_.attendant_.started(start.call_, CallOutcome::Unknown, bench_.now_);
            }
        }
    }

    void answerHolds()
    {
        for (const Open &hold : std::exchange(holds_, {})) {
            const Millis over = hold.call_.sentAt_ + hold.call_.wait_;
            const bool news = ends_.size() > hold.call_.acknowledged_;
            if (hold.lost_ && bench_.now_ >= over + unansweredOrder) {
                bench_.attendant_.held(hold.call_, {}, bench_.now_);
            } else if (!hold.lost_ && (news || bench_.now_ >= over)) {
                answerHold(hold.call_);
            } else {
                holds_.push_back(hold);
            }
        }
    }

    void answerHold(const TargetCall &call)
    {
        HoldAnswer answer{CallOutcome::Ok, bench_.now_.count_, 1, {}, {}};
        for (const auto &[run, endsAt] : running_) {
            answer.running_.push_back(run);
        }
        const auto forgotten = static_cast<std::ptrdiff_t>(std::min<std::size_t>(call.acknowledged_, ends_.size()));
        answer.ends_.assign(ends_.begin() + forgotten, ends_.end());
        bench_.attendant_.held(call, answer, bench_.now_);
    }

    void takeReport()
    {
        for (const End &end : bench_.attendant_.takeReport().ends_) {
            BOOST_REQUIRE((end.kind_ == EndKind::Done));
            delays_.push_back((bench_.now_ - endedAt_.at(end.run_.number_)).count_);
        }
    }

    TargetSupervisorFixture bench_;
    std::mt19937 noise_{7};
    std::uint64_t ordered_ = 0;
    /// Runs with the moment at which they end, soonest first.
    std::vector<std::pair<Run, Millis>> running_;
    /// Numbered from 1 without gaps.
    std::vector<End> ends_;
    std::map<std::uint64_t, Millis> endedAt_;
    std::vector<Open> holds_;
    std::vector<Open> starts_;
    std::vector<std::int64_t> delays_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(attendant_losses)

BOOST_AUTO_TEST_CASE(ends_are_told_soon_while_single_answers_are_lost)
{
    constexpr std::size_t runs = 400;
    const std::vector<std::int64_t> delays = LossyTarget().play(runs);
    BOOST_REQUIRE(delays.size() >= runs);
    // The objective of the shortest jobs leaves some 90 ms beside their work.
    BOOST_TEST(delays[delays.size() * 9 / 10] <= 15);
    BOOST_TEST(delays[delays.size() * 99 / 100] <= 90);
}

BOOST_AUTO_TEST_CASE(an_older_list_of_runs_that_arrives_late_stops_nothing)
{
    TargetSupervisorFixture bench;
    bench.start("j1", 1);
    bench.attendant_.started(bench.calls(TargetCall::Kind::Start).at(0), CallOutcome::Ok, bench.now_);
    bench.pass(10);
    bench.attendant_.tick(bench.now_);
    auto lost = bench.calls(TargetCall::Kind::Hold);
    BOOST_REQUIRE(lost.size() == 1U);
    bench.attendant_.held(lost[0], {}, bench.now_);
    bench.pass(50);
    bench.attendant_.tick(bench.now_);
    const auto holds = bench.calls(TargetCall::Kind::Hold);
    BOOST_REQUIRE(holds.size() == 2U);
    const std::vector<End> ends{{1, {{"j1", 0, 0}, 1}, EndKind::Done, {}}};
    bench.attendant_.held(holds[1], {CallOutcome::Ok, bench.now_.count_, 1, {}, ends}, bench.now_);
    bench.attendant_.held(holds[0], {CallOutcome::Ok, bench.now_.count_, 1, {{{"j1", 0, 0}, 1}}, {}}, bench.now_);
    BOOST_TEST(bench.calls(TargetCall::Kind::Stop).empty());
    BOOST_TEST(bench.attendant_.runs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
