// Decides which queues are contained: their jobs crash targets so often that they may use only a part of them.

#pragma once

#include <deque>
#include <ibiswall/cell/model.hpp>
#include <set>

namespace ibiswall::cell {

/// Targets of a service that contained queues use.
struct ContainedPool
{
    /// Number of them that reply.
    std::size_t up_ = 0;
    /// Whether less than half of the capacity of the service is in use.
    bool underused_ = false;
};

/// How many targets of a service contained queues may use: a quarter of those that take starts, half of them while the service is
/// underused, and in between as many as before. 0 for services that are too small to be divided.
/// @param targets number of targets that take starts
/// @param chosen how many of them contained queues use now
/// @param utilization share of the capacity that is in use
std::size_t containedTargets(std::size_t targets, std::size_t chosen, double utilization);

/// Utilization below which a service is underused.
constexpr double underusedBelow = 0.5;

/// Tracks crashes of targets by the queues of the jobs that may have caused them.
class CrashContainment
{
public:
    /// Stands for the queue of a job that is not known.
    static constexpr const char *unknownQueue = "";

    /// A target crashed.
    /// @param queues queues of the runs that may have been the cause
    void recordCrash(const std::set<std::string> &queues, Millis at);

    /// Contains a queue: a task of it has probably crashed two targets, or an earlier dispatcher contained it.
    void contain(const std::string &queue, Millis at);

    /// A job of the queue has completed.
    void recordCompletion(const std::string &queue);

    /// Ends the containment of queues without recent crashes.
    void update(Millis now);

    bool isContained(const std::string &queue) const;

    /// How many jobs of a contained queue a target may run at a time: one after a crash, more with each series of completed jobs.
    std::size_t jobsAtOnce(const std::string &queue) const;

    const std::set<std::string> &contained() const;

private:
    /// Targets that crashed at about the same time.
    struct CrashEvent
    {
        Millis at_;
        /// Queues that may have been the cause.
        std::set<std::string> queues_;
    };

    struct QueueHistory
    {
        Millis latestCrash_;
        /// Jobs completed since the latest crash while contained.
        int completed_ = 0;
    };

    std::set<std::string> commonCauses() const;

    /// Recent crashes, in order of time.
    std::deque<CrashEvent> events_;
    std::map<std::string, QueueHistory> histories_;
    std::set<std::string> contained_;
};

} // namespace ibiswall::cell
