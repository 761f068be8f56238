// Starts and ends the containment of queues.

#include <ibiswall/cell/containment.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Contained queues may use one target in so many.
constexpr std::size_t targetsPerContained = 4;
constexpr std::size_t targetsPerContainedIfUnderused = 2;
// Crashes within crashWindow that only one queue may have caused, after which it is contained.
constexpr std::size_t crashesToContain = 3;
constexpr Millis crashWindow{3000};
// Crashes closer together than this may have a common cause outside of the cell and count once.
constexpr Millis sameCause{100};
// Completed jobs after which a queue without a crash is no longer contained. Of a queue of which a tenth of the jobs crash
// their targets, 3 % of such series have no crash.
constexpr int completionsToRelease = 32;
// The same for queues with few jobs; longer than a target needs to start again.
constexpr Millis quietPeriod{10000};

} // namespace

std::size_t containedTargets(std::size_t targets, bool underused)
{
    const std::size_t divisor = underused ? targetsPerContainedIfUnderused : targetsPerContained;
    return targets < targetsPerContained ? 0 : (targets + divisor - 1) / divisor;
}

void CrashContainment::recordCrash(const std::set<std::string> &queues, Millis at)
{
    for (const std::string &queue : queues) {
        if (queue == unknownQueue) {
            continue;
        }
        QueueHistory &history = histories_[queue];
        history.latestCrash_ = {std::max(history.latestCrash_.count_, at.count_)};
        history.completed_ = 0;
        const bool counts = queues.size() == 1 && (history.crashes_.empty() || at >= history.crashes_.back() + sameCause);
        if (counts) {
            history.crashes_.push_back(at);
        }
        while (!history.crashes_.empty() && history.crashes_.front() + crashWindow < at) {
            history.crashes_.pop_front();
        }
        if (history.crashes_.size() >= crashesToContain) {
            contain(queue, at);
        }
    }
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

const std::set<std::string> &CrashContainment::contained() const
{
    return contained_;
}

} // namespace ibiswall::cell
