// Starts and ends the containment of queues.

#include <ibiswall/cell/containment.hpp>

#include <algorithm>
#include <iterator>

namespace ibiswall::cell {

namespace {

// Contained queues may use one target in so many.
constexpr std::size_t targetsPerContained = 4;
constexpr std::size_t targetsPerContainedIfUnderused = 2;
// Utilization of a service above which contained queues get their smallest share.
constexpr double busyAbove = 0.65;
// Crashes within crashWindow after which a queue is contained if it is the only one that may have caused all of them.
constexpr std::size_t crashesToContain = 3;
constexpr Millis crashWindow{3000};
// Crashes closer together than this may have a common cause outside of the cell and count once.
constexpr Millis sameCause{100};
// Completed jobs after which a queue without a crash is no longer contained.
constexpr int completionsToRelease = 32;
// The same for queues with few jobs; longer than a target needs to start again.
constexpr Millis quietPeriod{10000};
// Completed jobs without a crash after which each target may run one more job at a time.
constexpr int completionsPerJob = 8;

} // namespace

std::size_t containedTargets(std::size_t targets, std::size_t chosen, double utilization)
{
    if (targets < targetsPerContained) {
        return 0;
    }
    const auto share = [targets](std::size_t divisor) {
        return (targets + divisor - 1) / divisor;
    };
    const std::size_t least = share(targetsPerContained);
    const std::size_t most = share(targetsPerContainedIfUnderused);
    if (utilization < underusedBelow) {
        return most;
    }
    return utilization > busyAbove ? least : std::clamp(chosen, least, most);
}

void CrashContainment::recordCrash(const std::set<std::string> &queues, Millis at)
{
    if (queues.empty()) {
        return;
    }
    for (const std::string &queue : queues) {
        QueueHistory &history = histories_[queue];
        history.latestCrash_ = {std::max(history.latestCrash_.count_, at.count_)};
        history.completed_ = 0;
    }
    if (!events_.empty() && at < events_.back().at_ + sameCause) {
        events_.back().queues_.insert(queues.begin(), queues.end());
    } else {
        events_.push_back({at, queues});
    }
    while (events_.front().at_ + crashWindow < at) {
        events_.pop_front();
    }
    const std::set<std::string> causes = commonCauses();
    if (events_.size() >= crashesToContain && causes.size() == 1 && causes.count(unknownQueue) == 0) {
        contain(*causes.begin(), at);
    }
}

// Queues that may have caused every recent crash.
std::set<std::string> CrashContainment::commonCauses() const
{
    std::set<std::string> common = events_.front().queues_;
    for (const CrashEvent &event : events_) {
        std::set<std::string> both;
        std::set_intersection(common.begin(), common.end(), event.queues_.begin(), event.queues_.end(), std::inserter(both, both.end()));
        common = std::move(both);
    }
    return common;
}

void CrashContainment::contain(const std::string &queue, Millis at)
{
    QueueHistory &history = histories_[queue];
    history.latestCrash_ = {std::max(history.latestCrash_.count_, at.count_)};
    history.completed_ = 0;
    contained_.insert(queue);
}

void CrashContainment::recordCompletion(const std::string &queue)
{
    if (isContained(queue)) {
        ++histories_[queue].completed_;
    }
}

void CrashContainment::update(Millis now)
{
    for (auto each = histories_.begin(); each != histories_.end();) {
        const QueueHistory &history = each->second;
        const bool quiet = now > history.latestCrash_ + quietPeriod;
        if (quiet || history.completed_ >= completionsToRelease) {
            contained_.erase(each->first);
        }
        each = quiet ? histories_.erase(each) : std::next(each);
    }
}

bool CrashContainment::isContained(const std::string &queue) const
{
    return contained_.count(queue) != 0;
}

std::size_t CrashContainment::jobsAtOnce(const std::string &queue) const
{
    const auto found = histories_.find(queue);
    return 1 + (found == histories_.end() ? 0 : static_cast<std::size_t>(found->second.completed_ / completionsPerJob));
}

const std::set<std::string> &CrashContainment::contained() const
{
    return contained_;
}

} // namespace ibiswall::cell
