// Tests what is believed of interference between kinds, and how it affects the choice of a target.

#include "testparts.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace ibiswall::cell {

namespace {

// Runs of kind "a" on one target: every other one beside "b".
struct Runs
{
    void record(int count, double factorBeside)
    {
        for (int i = 0; i < count; ++i) {
            now_ = now_ + Millis{10};
            const std::vector<KindId> beside(i % 2 == 0 ? 1 : 0, b_);
            const double work = 100 * std::exp(0.57 * std::normal_distribution<double>()(random_)) * (random_() % 33 == 0 ? 7 : 1);
            const Millis time{static_cast<std::int64_t>(work * (beside.empty() ? 1 : factorBeside))};
            recordResidual(model_, pace_, {a_, beside, time, {100}, 1}, now_);
        }
    }

    std::mt19937 random_{1};
    Interference model_;
    Pace pace_;
    Millis now_;
    KindId a_ = findKind(model_, "a", {});
    KindId b_ = findKind(model_, "b", {});
};

Targets twoTargets()
{
    Targets targets;
    for (const std::string agent : {"noisy", "quiet"}) {
        targets[agent].agent_ = agent;
        targets[agent].info_ = testTarget("t-" + agent);
        targets[agent].present_ = true;
    }
    return targets;
}

} // namespace

BOOST_AUTO_TEST_SUITE(interference)

BOOST_AUTO_TEST_CASE(no_pair_is_believed_on_few_samples)
{
    Runs runs;
    runs.record(48, 1);
    // Two of them, and up to one less than needed on each side.
    runs.record(2, 20);
    BOOST_TEST(runs.model_.believed_.empty());
    runs.record(8, 20);
    BOOST_TEST(runs.model_.believed_.empty());
}

BOOST_AUTO_TEST_CASE(pair_is_believed_in_its_direction_and_forgotten_when_the_evidence_turns)
{
    Runs runs;
    runs.record(1500, 2);
    const auto pairs = strongestPairs(runs.model_, 9);
    BOOST_REQUIRE(pairs.size() == 1U);
    BOOST_TEST(pairs[0].victim_ == "a");
    BOOST_TEST(pairs[0].neighbour_ == "b");
    BOOST_TEST(pairs[0].factor_ > 1.4);
    BOOST_TEST(pairs[0].factor_ < 2.6);
    runs.record(8000, 1);
    BOOST_TEST(runs.model_.believed_.empty());
    BOOST_REQUIRE(runs.model_.changes_.size() == 2U);
    BOOST_TEST(!runs.model_.changes_[1].believed_);
    BOOST_TEST(interferenceCost(runs.model_, runs.a_, std::vector<KindCount>{{runs.b_, 1}}) == 0);
}

BOOST_AUTO_TEST_CASE(pair_without_support_is_forgotten_with_age)
{
    Interference model;
    adoptPair(model, {"a", "b", 2}, {0});
    expireInterference(model, evidenceRetention);
    BOOST_TEST(model.believed_.size() == 1U);
    expireInterference(model, evidenceRetention + Millis{10001});
    BOOST_TEST(model.believed_.empty());
    expireInterference(model, evidenceRetention + Millis{20002});
    BOOST_TEST(model.pairs_.empty());
    BOOST_TEST(model.ids_.empty());
}

BOOST_AUTO_TEST_CASE(any_number_of_images_takes_bounded_memory)
{
    Interference model;
    Pace pace;
    std::vector<KindId> beside;
    for (int i = 0; i < 5000; ++i) {
        const KindId kind = findKind(model, "image" + std::to_string(i), {i});
        recordResidual(model, pace, {kind, beside, {100}, {100}, 1}, {i});
        beside.assign(1, kind);
    }
    BOOST_TEST(model.ids_.size() == maxKinds);
    BOOST_TEST(model.kinds_.size() == maxKinds + 1);
    BOOST_TEST(findKind(model, "another", {5000}) == untrackedKind);
    expireInterference(model, {500000});
    BOOST_TEST(findKind(model, "another", {500000}) != untrackedKind);
}

BOOST_AUTO_TEST_CASE(interference_decides_between_equal_targets_only)
{
    Interference model;
    adoptPair(model, {"a", "b", 3}, {0});
    Targets targets = twoTargets();
    PlacedRun beside{{1000, 64, 0}, findKind(model, "b", {0}), {}, true};
    addRun(targets["noisy"], model, {"j", 0, 0}, beside);
    // Without interference the target with more free capacity is chosen.
    addRun(targets["quiet"], model, {"k", 0, 0}, {{3000, 64, 0}, untrackedKind, {}, true});
    Step step = testStep(1);
    const std::set<std::string> domainsOut;
    Placement placement{step, "desk", domainsOut, nullptr, nullptr, "m"};
    BOOST_TEST(chooseTarget(targets, placement, {})->agent_ == "noisy");
    placement.interference_ = &model;
    placement.kind_ = findKind(model, "a", {0});
    placement.separation_ = separationWeight(0.5);
    BOOST_TEST(chooseTarget(targets, placement, {})->agent_ == "quiet");
    placement.separation_ = separationWeight(0.95);
    BOOST_TEST(chooseTarget(targets, placement, {})->agent_ == "noisy");
    placement.separation_ = 1;
    // The slowing kind is kept away from the other as well.
    placement.kind_ = findKind(model, "b", {0});
    removeRun(targets["noisy"], model, {"j", 0, 0});
    beside.kind_ = findKind(model, "a", {0});
    addRun(targets["noisy"], model, {"j", 0, 0}, beside);
    BOOST_TEST(chooseTarget(targets, placement, {})->agent_ == "quiet");
    // Failing targets, the rack with the data, and lack of another target take precedence.
    targets["quiet"].failureRate_ = 0.12;
    BOOST_TEST(chooseTarget(targets, placement, {})->agent_ == "noisy");
    targets["quiet"].failureRate_ = 0;
    step.dataRack_ = "r2";
    targets["noisy"].info_.labels_ = {"r2"};
    BOOST_TEST(chooseTarget(targets, placement, {})->agent_ == "noisy");
    step.dataRack_.clear();
    targets["quiet"].present_ = false;
    BOOST_TEST(chooseTarget(targets, placement, {})->agent_ == "noisy");
}

BOOST_AUTO_TEST_CASE(counts_of_running_kinds_follow_the_runs)
{
    Interference model;
    Target target;
    const KindId kind = findKind(model, "a", {0});
    addRun(target, model, {"j", 0, 0}, {{1000, 64, 0}, kind, {}, true});
    addRun(target, model, {"j", 0, 0}, {{1000, 64, 0}, kind, {}, true});
    addRun(target, model, {"j", 0, 1}, {{1000, 64, 0}, kind, {}, true});
    BOOST_TEST(target.allocated_.cpu_ == 2000);
    BOOST_TEST(target.kinds_.at(0).count_ == 2U);
    BOOST_TEST(target.runs_.at({"j", 0, 1}).beside_.size() == 1U);
    BOOST_TEST(removeRun(target, model, {"j", 0, 0}).has_value());
    BOOST_TEST(!removeRun(target, model, {"j", 0, 0}).has_value());
    BOOST_TEST(model.kinds_[kind].running_ == 1U);
    clearRuns(target, model);
    BOOST_TEST(model.kinds_[kind].running_ == 0U);
    BOOST_TEST(target.allocated_.cpu_ == 0);
    BOOST_TEST(target.kinds_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
