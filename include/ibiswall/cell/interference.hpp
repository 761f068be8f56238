// Which kinds of tasks slow which others down on one target, learned from run times.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace ibiswall::cell {

/// Number of a tracked kind of work.
using KindId = std::uint16_t;

/// Kind of runs about which nothing is learned, since too many kinds are tracked.
constexpr KindId untrackedKind = 0;

/// Most kinds that are tracked; a deployment has hundreds. Callers can name any number of images.
constexpr std::size_t maxKinds = 512;

/// Most pairs with evidence. At about 100 bytes each they take 6.5 MB of the smallest entry's 120 MB.
constexpr std::size_t maxPairs = 65536;

/// Believed pairs and evidence without support are forgotten after this.
constexpr Millis evidenceRetention{120000};

/// Runs of a kind on a target.
struct KindCount
{
    KindId kind_ = untrackedKind;
    std::uint32_t count_ = 0;
};

/// How long runs on a target take, as the mean of the logarithm of run time over what their kinds take elsewhere.
struct Pace
{
    double mean_ = 0;
    std::uint32_t runs_ = 0;
};

/// Weighted sums of residuals.
struct Evidence
{
    double weight_ = 0;
    double sum_ = 0;
    double squares_ = 0;
    /// KindStatistics::clock_ up to which older residuals have been discounted.
    double clock_ = 0;
};

/// How a kind slows another down, and is slowed by it, on one target.
struct Partner
{
    KindId kind_ = untrackedKind;
    /// Additional run time beside the partner, as a share; 0 if unaffected.
    double ownExtra_ = 0;
    /// The same of the partner beside this kind.
    double partnerExtra_ = 0;
};

/// What is known of one kind.
struct KindStatistics
{
    std::string name_;
    /// Runs in progress; the kind is tracked while there are any.
    std::uint32_t running_ = 0;
    Millis lastSeen_;
    /// Moving mean of the logarithm of run time over estimate, and of the run time in milliseconds.
    double mean_ = 0;
    double runTime_ = 0;
    std::uint32_t runs_ = 0;
    /// Advances with time and with each run; evidence is discounted by it.
    double clock_ = 0;
    /// Residuals of all runs, less the effects of believed neighbours.
    Evidence total_;
    /// Kinds in a believed pair with this one, in either direction.
    std::vector<Partner> partners_;
};

/// Evidence on the runs of one kind (the victim) that started beside a run of another (the neighbour).
struct PairStatistics
{
    Evidence with_;
    bool believed_ = false;
    /// Believed logarithm of the run time beside the neighbour over that without it; subtracted from the residuals.
    double effect_ = 0;
    /// When evidence was last added, and when it last supported the belief.
    Millis updatedAt_;
    Millis supportedAt_;
};

/// A pair that is believed, as leaders hand it over.
struct InterferingPair
{
    std::string victim_;
    std::string neighbour_;
    /// Run time of the victim beside the neighbour over that without it.
    double factor_ = 1;
};

/// A pair that has been believed or forgotten, with the evidence.
struct InterferenceChange
{
    InterferingPair pair_;
    bool believed_ = false;
    /// Independent runs that the evidence is worth.
    double samplesWith_ = 0;
    double samplesWithout_ = 0;
};

/// What a leader has learned of interference. Bounded by maxKinds and maxPairs.
struct Interference
{
    /// By KindId; the first one is untrackedKind. Unused ones have no name.
    std::vector<KindStatistics> kinds_{1};
    std::unordered_map<std::string, KindId> ids_;
    /// By victim and neighbour, see pairKey.
    std::unordered_map<std::uint32_t, PairStatistics> pairs_;
    /// Keys of the believed pairs.
    std::vector<std::uint32_t> believed_;
    /// Not yet taken by the owner.
    std::vector<InterferenceChange> changes_;
    Millis sweptAt_;
};

/// Finds or adds a kind.
/// @return untrackedKind if too many are tracked
KindId findKind(Interference &model, const std::string &name, Millis now);

/// A run that has ended as done.
struct EndedRun
{
    KindId kind_ = untrackedKind;
    /// Distinct kinds of the other runs on the target when it started.
    Span<const KindId> beside_;
    Millis runTime_;
    /// Estimate of its caller; 0 counts as 1 ms.
    Millis estimate_;
    /// Tasks of its step, which have one estimate and are wrong by the same factor.
    std::uint32_t tasksOfStep_ = 1;
};

/// Logarithm of run time over what is expected of the kind on the target, bounded, and less the effects of believed neighbours.
/// Updates the means of the kind and the target. To be replaced by the expected ratio of part D when that is present.
double takeResidual(Interference &model, Pace &pace, const EndedRun &run);

/// Records a run that has ended, then believes or forgets pairs with its kind as the victim. Cost in proportion to the kinds beside it.
void recordResidual(Interference &model, Pace &pace, const EndedRun &run, Millis now);

/// Forgets what is too old. Cheap if called often.
void expireInterference(Interference &model, Millis now);

/// Adds a believed pair of the previous leader. It is forgotten like one that was learned here.
void adoptPair(Interference &model, const InterferingPair &pair, Millis now);

/// The believed pairs with the largest factors.
std::vector<InterferingPair> strongestPairs(const Interference &model, std::size_t most);

/// Additional run time, of a run of the kind and of those beside it together, in run times of the kind; 0 if none is expected.
double interferenceCost(const Interference &model, KindId kind, Span<const KindCount> running);

/// Weight of interference in the choice of a target, from 1 while there is capacity down to 0 when it gets short.
/// @param used share of the CPU of the usable targets that is in use
double separationWeight(double used);

} // namespace ibiswall::cell
