// Counts crashes by task.

#include <ibiswall/cell/crashhistory.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Crashes after which a task is given up if it had certainly been started just before each of them.
constexpr std::ptrdiff_t maxProbableCrashes = 3;
constexpr std::ptrdiff_t maxProbableCrashesWaiting = 2;
// The same if it was started long before them, or perhaps not at all: other tasks or the targets may have been the cause.
constexpr std::ptrdiff_t maxCrashes = 4;

std::ptrdiff_t countProbable(Span<const KnownCrash> crashes)
{
    return std::count_if(crashes.begin(), crashes.end(), [](const KnownCrash &each) { return each.suspected_ && each.started_; });
}

} // namespace

bool CrashHistory::record(const TaskId &task, const KnownCrash &crash)
{
    std::vector<KnownCrash> &known = crashes_[task];
    if (std::any_of(known.begin(), known.end(), [&crash](const KnownCrash &each) { return each.run_ == crash.run_; })) {
        return false;
    }
    known.push_back(crash);
    return true;
}

bool CrashHistory::isSuspect(const TaskId &task) const
{
    const Span<const KnownCrash> crashes = crashesOf(task);
    return std::any_of(crashes.begin(), crashes.end(), [](const KnownCrash &each) { return each.suspected_; })
        || crashes.end() - crashes.begin() == maxCrashes - 1;
}

bool CrashHistory::isRepeated(const TaskId &task) const
{
    return countProbable(crashesOf(task)) > 1;
}

bool CrashHistory::isGivenUp(const TaskId &task, bool waiting) const
{
    const Span<const KnownCrash> crashes = crashesOf(task);
    return countProbable(crashes) >= (waiting ? maxProbableCrashesWaiting : maxProbableCrashes)
        || crashes.end() - crashes.begin() >= maxCrashes;
}

Span<const KnownCrash> CrashHistory::crashesOf(const TaskId &task) const
{
    const auto found = crashes_.find(task);
    return found == crashes_.end() ? Span<const KnownCrash>() : Span<const KnownCrash>(found->second);
}

void CrashHistory::expire(Millis before, const std::function<bool(const std::string &)> &keep)
{
    for (auto each = crashes_.begin(); each != crashes_.end();) {
        const bool expired = each->second.back().at_ < before && !keep(each->first.job_);
        each = expired ? crashes_.erase(each) : std::next(each);
    }
}

bool CrashHistory::isEmpty() const
{
    return crashes_.empty();
}

} // namespace ibiswall::cell
