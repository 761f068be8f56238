// Predicts when the tasks of a job can start, from the work queued ahead of it, the capacity of the targets and what runs on them.

#pragma once

#include <ibiswall/cell/targets.hpp>

namespace ibiswall::cell {

/// Work of tasks: cores in thousandths, work in thousandths of a core times milliseconds.
struct Work
{
    std::int64_t cores_ = 0;
    std::int64_t work_ = 0;
};

Work operator+(const Work &a, const Work &b);

/// Work of waiting tasks in placement order. The first element names the pool of targets or the queue, then priority, late or not, and
/// due time rounded down to backlogBucket.
using BacklogKey = std::tuple<std::string, std::uint32_t, bool, std::int64_t>;
using Backlog = std::map<BacklogKey, Work>;

/// Resolution of the due times in a backlog. Less than the objective of the shortest jobs, which is above 100 ms.
constexpr Millis backlogBucket{50};

BacklogKey backlogKey(const std::string &name, std::uint32_t priority, bool late, Millis due);

/// Adds work, or removes it if it is negative.
void addWork(Backlog &backlog, const BacklogKey &key, const Work &work);

/// Work that is placed before a job with the given key or together with it.
Work workThrough(const Backlog &backlog, const BacklogKey &key);

/// Work of arriving jobs per time, as an exponential average.
struct ArrivalRate
{
    /// Thousandths of a core times milliseconds, decayed to updatedAt_.
    double work_ = 0;
    /// The same, each job multiplied by its objective in milliseconds.
    double byObjective_ = 0;
    Millis updatedAt_;
};

/// Time that the average covers: the objectives of the longest ordinary jobs are about as long, and bursts last several times that.
constexpr Millis arrivalWindow{1000};

/// @param objective time from its submission until the job is due
void recordArrival(ArrivalRate &rate, const Work &work, Millis objective, Millis now);

/// Thousandths of a core that the arriving work keeps busy.
double coresOf(const ArrivalRate &rate, Millis now);

/// Work that arrives later and is due before the given time.
Work overtaking(const ArrivalRate &rate, const Work &task, Millis due, Millis now);

/// Expected ends of running tasks: thousandths of a core that become free, by time rounded up to backlogBucket.
using ExpectedEnds = std::map<std::int64_t, std::int64_t>;

/// Adds a running task, or removes it if cores is negative.
void addEnd(ExpectedEnds &ends, Millis end, std::int64_t cores);

/// What the targets of a service and label can do. Two pools with different labels may contain the same targets.
struct Supply
{
    /// Thousandths of a core of the usable targets, at normal speed.
    double capacity_ = 0;
    /// The part of it that runs nothing.
    double free_ = 0;
    /// Ends of what runs in all of the service. Targets with other labels become free too, so the wait of a pool may be underestimated.
    const ExpectedEnds *ends_ = nullptr;
};

/// Adds up the targets on which tasks can be placed: present, responsive, not draining, domain in service, not paused by unlisted
/// results, not used by contained queues.
/// @param label label that the tasks require; empty for none
Supply supplyOf(const Targets &targets, std::string_view service, std::string_view label, const std::set<std::string> &domainsOut);

/// Whether a target could take the task now, if no other task were to be placed before.
bool isRoomFor(const Targets &targets, const Placement &placement, Millis now);

/// Wait that stands for "never, as far as can be foreseen".
constexpr Millis unboundedWait{60000};

/// Predicts when the last task of some work can start: the work has been started once the targets have been free for as long as it takes,
/// less the part of it that still runs then.
/// @param work work that is placed before, and that of the job
/// @param share share of the capacity that is not taken by jobs that arrive later and are placed before, from 0 to 1
/// @param factor expected run time of the work divided by its estimate
/// @return time from now, at most unboundedWait
Millis predictWait(const Supply &supply, const Work &work, const Work &task, double share, double factor, Millis now);

/// A job and the predictions for it.
struct AdmissionQuery
{
    /// A job with no task started by then will probably end after its objective.
    Millis latestStart_;
    /// A job whose last task starts later will probably end too late to be useful, or after its caller has left.
    Millis lastUsefulStart_;
    /// Wait for the last task if the job can start in time.
    Millis wait_;
    /// Wait for the last task if the job becomes late, and is placed after those that arrive later and are not.
    Millis waitIfLate_;
    bool late_ = false;
};

/// Estimates of single tasks are wrong by a factor with a spread of 0.4, so the sum over the four tasks of an ordinary long job by 0.2.
constexpr double predictionMargin = 0.2;

/// Whether a job can still be served: it can certainly start in time, or probably end before it is useless.
bool isServable(const AdmissionQuery &query, Millis now);

/// Time after which a refused caller should return: between the time at which room is expected and twice that, spread by the id of the
/// job so that callers do not return together.
Millis retryAfter(Millis wait, std::string_view job);

} // namespace ibiswall::cell
