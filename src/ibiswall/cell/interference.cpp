// Learns from run times which kinds of tasks slow each other down.

#include <ibiswall/cell/interference.hpp>

#include <algorithm>
#include <cmath>

namespace ibiswall::cell {

namespace {

// Bound of a residual, as a logarithm. Run times and estimates have a spread of 0.4 each, together 0.57, and 3 % of the tasks
// take 7 times as long (1.95): the bound keeps those from dominating, and a factor of 1.5 (0.41) loses little to it.
constexpr double maxResidual = 1;
// Runs that the moving mean of a kind, and of a target, covers. They cover several seconds, longer than a neighbour stays, so that
// the mean of a target does not follow its neighbours.
constexpr double runsOfKindMean = 1024;
constexpr double runsOfPace = 512;
// Runs of a kind, and on a target, before their means say anything.
constexpr std::uint32_t minRunsOfKind = 16;
constexpr std::uint32_t minRunsOfPace = 8;
// Evidence fades over so many independent runs of the victim, so that a change is seen within seconds in a busy queue.
constexpr double samplesOfEvidence = 4096;
// Independent runs with and without the neighbour that are needed to believe or forget a pair.
constexpr double minSamples = 30;
// Share of the variance that tasks of one step have in common: the error of their estimate.
constexpr double commonVariance = 0.5;
// Standard errors between the two sides for a belief. One-sided, a false positive has a probability of 1e-9 for each
// independent look. 300 x 300 pairs are looked at afresh every 4,096 runs of the victim.
constexpr double errorsToBelieve = 6;
constexpr double errorsToSupport = 3;
constexpr double errorsToForget = 2;
// Logarithms of the smallest factor that is believed (1.2), and of the one below which a pair is forgotten (1.1). A smaller effect
// is less than what separation costs in free capacity, and less than what load on a target or delayed reports may cause.
const double minEffect = std::log(1.2);
const double forgottenEffect = std::log(1.1);
// Larger factors carry no further information.
const double maxEffect = std::log(4.0);
// A sweep visits every pair, up to 65,536; it may take a few milliseconds.
constexpr Millis sweepPeriod{10000};
// Most changes that wait for the owner.
constexpr std::size_t maxChanges = 256;
// Share of the CPU in use from which separation is given up gradually, and above which there is none.
constexpr double fullWeightBelow = 0.7;
constexpr double noWeightAbove = 0.9;
// A run that is already in progress has half of its time left on average.
constexpr double remainingShare = 0.5;

std::uint32_t pairKey(KindId victim, KindId neighbour)
{
    return (static_cast<std::uint32_t>(victim) << 16U) | neighbour;
}

KindId victimOf(std::uint32_t key)
{
    return static_cast<KindId>(key >> 16U);
}

KindId neighbourOf(std::uint32_t key)
{
    return static_cast<KindId>(key & 0xffffU);
}

void fade(Evidence &evidence, double clock)
{
    const double factor = std::exp(evidence.clock_ - clock);
    evidence.weight_ *= factor;
    evidence.sum_ *= factor;
    evidence.squares_ *= factor;
    evidence.clock_ = clock;
}

void add(Evidence &evidence, double residual, double weight)
{
    evidence.weight_ += weight;
    evidence.sum_ += weight * residual;
    evidence.squares_ += weight * residual * residual;
}

// Difference between the runs with and without a neighbour.
struct Comparison
{
    bool enough_ = false;
    double effect_ = 0;
    double error_ = 0;
    double with_ = 0;
    double without_ = 0;
};

// Both sums must be faded up to the same clock.
Comparison compare(const Evidence &total, const PairStatistics &pair)
{
    const Evidence &with = pair.with_;
    Comparison out;
    out.with_ = with.weight_;
    out.without_ = std::max(0.0, total.weight_ - with.weight_);
    out.enough_ = out.with_ >= minSamples && out.without_ >= minSamples;
    if (!out.enough_) {
        return out;
    }
    const double mean = total.sum_ / total.weight_;
    const double variance = std::max(0.0, total.squares_ / total.weight_ - mean * mean);
    out.effect_ = pair.effect_ + with.sum_ / with.weight_ - (total.sum_ - with.sum_) / out.without_;
    out.error_ = std::sqrt(variance * (1 / out.with_ + 1 / out.without_));
    return out;
}

void rebuildPartners(Interference &model)
{
    for (KindStatistics &kind : model.kinds_) {
        kind.partners_.clear();
    }
    const auto partnerOf = [&model](KindId kind, KindId partner) -> Partner & {
        std::vector<Partner> &partners = model.kinds_[kind].partners_;
        const auto found = std::find_if(partners.begin(), partners.end(), [partner](const Partner &each) { return each.kind_ == partner; });
        return found != partners.end() ? *found : partners.emplace_back(Partner{partner, 0, 0});
    };
    for (const std::uint32_t key : model.believed_) {
        const double extra = std::exp(model.pairs_.at(key).effect_) - 1;
        partnerOf(victimOf(key), neighbourOf(key)).ownExtra_ = extra;
        partnerOf(neighbourOf(key), victimOf(key)).partnerExtra_ = extra;
    }
}

// Changes the effect that is subtracted from residuals. Residuals less the former effect are not comparable with later ones, so the
// evidence of the victim is collected again.
void setEffect(Interference &model, std::uint32_t key, double effect)
{
    model.pairs_.at(key).effect_ = std::clamp(effect, 0.0, maxEffect);
    model.kinds_[victimOf(key)].total_ = {};
    for (std::size_t neighbour = 1; neighbour < model.kinds_.size(); ++neighbour) {
        const auto pair = model.pairs_.find(pairKey(victimOf(key), static_cast<KindId>(neighbour)));
        if (pair != model.pairs_.end()) {
            pair->second.with_ = {};
        }
    }
    rebuildPartners(model);
}

void recordChange(Interference &model, std::uint32_t key, const Comparison &evidence)
{
    const PairStatistics &pair = model.pairs_.at(key);
    if (model.changes_.size() < maxChanges) {
        const double effect = evidence.enough_ ? evidence.effect_ : pair.effect_;
        model.changes_.push_back({{model.kinds_[victimOf(key)].name_, model.kinds_[neighbourOf(key)].name_, std::exp(effect)},
                                  pair.believed_,
                                  evidence.with_,
                                  evidence.without_});
    }
}

void believe(Interference &model, std::uint32_t key, const Comparison &evidence, Millis now)
{
    PairStatistics &pair = model.pairs_.at(key);
    pair.believed_ = true;
    pair.supportedAt_ = now;
    model.believed_.push_back(key);
    setEffect(model, key, evidence.effect_);
    recordChange(model, key, evidence);
}

void forget(Interference &model, std::uint32_t key, const Comparison &evidence)
{
    PairStatistics &pair = model.pairs_.at(key);
    pair.believed_ = false;
    model.believed_.erase(std::remove(model.believed_.begin(), model.believed_.end(), key), model.believed_.end());
    recordChange(model, key, evidence);
    setEffect(model, key, 0);
}

// Judges a believed pair by the evidence since then.
void review(Interference &model, std::uint32_t key, const Comparison &evidence, Millis now)
{
    PairStatistics &pair = model.pairs_.at(key);
    if (evidence.effect_ + errorsToForget * evidence.error_ < forgottenEffect) {
        forget(model, key, evidence);
    } else if (evidence.effect_ > errorsToSupport * evidence.error_) {
        pair.supportedAt_ = now;
        const double change = std::abs(std::clamp(evidence.effect_, 0.0, maxEffect) - pair.effect_);
        if (change > errorsToSupport * evidence.error_ && change > minEffect) {
            setEffect(model, key, evidence.effect_);
        }
    }
}

// Judges the pairs of a victim with the kinds beside it. Of several that may be believed, only the one with the clearest evidence is:
// the others may just be found on the same targets.
void judge(Interference &model, KindId victim, Span<const KindId> beside, Millis now)
{
    std::uint32_t clearest = 0;
    Comparison clearestEvidence;
    for (const KindId neighbour : beside) {
        const std::uint32_t key = pairKey(victim, neighbour);
        const auto found = model.pairs_.find(key);
        if (found == model.pairs_.end()) {
            continue;
        }
        const Comparison evidence = compare(model.kinds_[victim].total_, found->second);
        if (!evidence.enough_) {
            continue;
        }
        if (found->second.believed_) {
            review(model, key, evidence, now);
            continue;
        }
        const bool isBelievable = evidence.effect_ > minEffect && evidence.effect_ > errorsToBelieve * evidence.error_;
        if (isBelievable && evidence.effect_ * clearestEvidence.error_ >= clearestEvidence.effect_ * evidence.error_) {
            clearest = key;
            clearestEvidence = evidence;
        }
    }
    if (clearest != 0) {
        believe(model, clearest, clearestEvidence, now);
    }
}

// Removes kinds that have not been seen for long, and pairs without recent evidence.
void sweep(Interference &model, Millis now)
{
    const auto isStale = [&model, now](KindId kind) {
        const KindStatistics &known = model.kinds_[kind];
        return known.running_ == 0 && now - known.lastSeen_ > evidenceRetention;
    };
    for (auto each = model.pairs_.begin(); each != model.pairs_.end();) {
        const PairStatistics &pair = each->second;
        const bool unused
            = now - pair.updatedAt_ > evidenceRetention || isStale(victimOf(each->first)) || isStale(neighbourOf(each->first));
        each = unused && !pair.believed_ ? model.pairs_.erase(each) : std::next(each);
    }
    for (std::size_t kind = 1; kind < model.kinds_.size(); ++kind) {
        KindStatistics &known = model.kinds_[kind];
        if (!known.name_.empty() && known.partners_.empty() && isStale(static_cast<KindId>(kind))) {
            model.ids_.erase(known.name_);
            known = {};
        }
    }
}

} // namespace

KindId findKind(Interference &model, const std::string &name, Millis now)
{
    const auto found = model.ids_.find(name);
    if (found != model.ids_.end()) {
        return found->second;
    }
    if (name.empty() || model.ids_.size() >= maxKinds) {
        return untrackedKind;
    }
    auto slot = std::find_if(model.kinds_.begin() + 1, model.kinds_.end(), [](const KindStatistics &each) { return each.name_.empty(); });
    if (slot == model.kinds_.end()) {
        model.kinds_.emplace_back();
        slot = std::prev(model.kinds_.end());
    }
    slot->name_ = name;
    slot->lastSeen_ = now;
    const auto id = static_cast<KindId>(slot - model.kinds_.begin());
    model.ids_[name] = id;
    return id;
}

double takeResidual(Interference &model, Pace &pace, const EndedRun &run)
{
    KindStatistics &kind = model.kinds_[run.kind_];
    const auto time = static_cast<double>(std::max<std::int64_t>(run.runTime_.count_, 1));
    const double ratio = std::log(time / static_cast<double>(std::max<std::int64_t>(run.estimate_.count_, 1)));
    double expected = pace.mean_;
    for (const Partner &partner : kind.partners_) {
        if (partner.ownExtra_ > 0 && std::find(run.beside_.begin(), run.beside_.end(), partner.kind_) != run.beside_.end()) {
            expected += std::log1p(partner.ownExtra_);
        }
    }
    if (kind.runs_ == 0) {
        kind.mean_ = ratio - expected;
        kind.runTime_ = time;
    }
    const double residual = std::clamp(ratio - kind.mean_ - expected, -maxResidual, maxResidual);
    const double weight = 1 / std::min<double>(++kind.runs_, runsOfKindMean);
    kind.mean_ += weight * residual;
    kind.runTime_ += weight * (time - kind.runTime_);
    if (kind.runs_ >= minRunsOfKind) {
        pace.mean_ += residual / std::min<double>(++pace.runs_, runsOfPace);
    }
    return residual;
}

void recordResidual(Interference &model, Pace &pace, const EndedRun &run, Millis now)
{
    if (run.kind_ == untrackedKind) {
        return;
    }
    const bool isPaceKnown = pace.runs_ >= minRunsOfPace;
    const double residual = takeResidual(model, pace, run);
    KindStatistics &kind = model.kinds_[run.kind_];
    const double weight = 1 / (1 + (run.tasksOfStep_ - 1) * commonVariance);
    kind.clock_
        += weight / samplesOfEvidence + static_cast<double>((now - kind.lastSeen_).count_) / static_cast<double>(evidenceRetention.count_);
    kind.lastSeen_ = now;
    if (!isPaceKnown || kind.runs_ < minRunsOfKind) {
        return;
    }
    fade(kind.total_, kind.clock_);
    add(kind.total_, residual, weight);
    for (const KindId neighbour : run.beside_) {
        const std::uint32_t key = pairKey(run.kind_, neighbour);
        if (neighbour == untrackedKind || (model.pairs_.size() >= maxPairs && model.pairs_.count(key) == 0)) {
            continue;
        }
        PairStatistics &pair = model.pairs_[key];
        fade(pair.with_, kind.clock_);
        add(pair.with_, residual, weight);
        pair.updatedAt_ = now;
    }
    judge(model, run.kind_, run.beside_, now);
}

void expireInterference(Interference &model, Millis now)
{
    if (now - model.sweptAt_ < sweepPeriod) {
        return;
    }
    model.sweptAt_ = now;
    for (const std::uint32_t key : std::vector<std::uint32_t>(model.believed_)) {
        if (now - model.pairs_.at(key).supportedAt_ > evidenceRetention) {
            forget(model, key, {});
        }
    }
    sweep(model, now);
}

void adoptPair(Interference &model, const InterferingPair &pair, Millis now)
{
    const KindId victim = findKind(model, pair.victim_, now);
    const KindId neighbour = findKind(model, pair.neighbour_, now);
    const std::uint32_t key = pairKey(victim, neighbour);
    if (victim == untrackedKind || neighbour == untrackedKind || model.pairs_.size() >= maxPairs || !(pair.factor_ > 1)) {
        return;
    }
    PairStatistics &known = model.pairs_[key];
    known.updatedAt_ = now;
    if (!known.believed_) {
        Comparison evidence;
        evidence.effect_ = std::log(pair.factor_);
        believe(model, key, evidence, now);
    }
}

std::vector<InterferingPair> strongestPairs(const Interference &model, std::size_t most)
{
    std::vector<InterferingPair> pairs;
    for (const std::uint32_t key : model.believed_) {
        pairs.push_back({model.kinds_[victimOf(key)].name_, model.kinds_[neighbourOf(key)].name_, std::exp(model.pairs_.at(key).effect_)});
    }
    std::sort(pairs.begin(), pairs.end(), [](const InterferingPair &a, const InterferingPair &b) { return a.factor_ > b.factor_; });
    pairs.resize(std::min(pairs.size(), most));
    return pairs;
}

double interferenceCost(const Interference &model, KindId kind, Span<const KindCount> running)
{
    const KindStatistics &own = model.kinds_[kind];
    double cost = 0;
    for (const Partner &partner : own.partners_) {
        const auto found
            = std::find_if(running.begin(), running.end(), [&partner](const KindCount &each) { return each.kind_ == partner.kind_; });
        if (found == running.end()) {
            continue;
        }
        const double partnerTime = model.kinds_[partner.kind_].runTime_;
        // Not known yet after a handover.
        const double runTimes = own.runTime_ > 0 && partnerTime > 0 ? partnerTime / own.runTime_ : 1;
        cost += partner.ownExtra_ + found->count_ * remainingShare * partner.partnerExtra_ * runTimes;
    }
    return cost;
}

double separationWeight(double used)
{
    return std::clamp((noWeightAbove - used) / (noWeightAbove - fullWeightBelow), 0.0, 1.0);
}

} // namespace ibiswall::cell
