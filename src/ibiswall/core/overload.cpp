// Estimates waits with Little's law: throughput is the number of outstanding orders divided by the time that each takes.

#include <ibiswall/core/overload.hpp>

#include <algorithm>
#include <tuple>

namespace ibiswall {

namespace {

constexpr double smoothingFactor = 0.02;
constexpr double minRetryDelayMs = 100;
constexpr double maxRetryDelayMs = 30000;
constexpr double minAdmittedShare = 0.05;

Millis scaled(Millis relativeDeadline, double share)
{
    return {static_cast<std::int64_t>(static_cast<double>(relativeDeadline.count_) * share)};
}

} // namespace

bool operator<(const ShedCandidate &a, const ShedCandidate &b)
{
    return std::tie(a.value_, b.job_) < std::tie(b.value_, a.job_);
}

void recordSojourn(Overload &overload, Millis sojourn)
{
    const auto sample = static_cast<double>(sojourn.count_);
    overload.sojourn_ = overload.sojourn_ == 0 ? sample : overload.sojourn_ + smoothingFactor * (sample - overload.sojourn_);
}

void recordAdmission(Overload &overload, bool refused)
{
    overload.refusedShare_ += smoothingFactor * ((refused ? 1.0 : 0.0) - overload.refusedShare_);
}

void addCandidate(Overload &overload, const std::string &member, Millis relativeDeadline, ShedCandidate candidate)
{
    overload.candidates_[{member, relativeDeadline.count_}].insert(candidate);
}

void removeCandidate(Overload &overload, const std::string &member, Millis relativeDeadline, ShedCandidate candidate)
{
    const auto found = overload.candidates_.find({member, relativeDeadline.count_});
    if (found == overload.candidates_.end()) {
        return;
    }
    found->second.erase(candidate);
    if (found->second.empty()) {
        overload.candidates_.erase(found);
    }
}

Millis expectedWait(const Overload &overload, const TaskQueue &queue, std::string_view member, Millis relativeDeadline)
{
    if (overload.outstanding_ == 0) {
        return {0};
    }
    const double wait = countAhead(queue, member, relativeDeadline) * overload.sojourn_ / static_cast<double>(overload.outstanding_);
    return {static_cast<std::int64_t>(wait)};
}

Millis waitLimit(const TaskQueue &queue, Millis now, Millis relativeDeadline)
{
    const auto found = queue.byRelativeDeadline_.find(relativeDeadline.count_);
    const bool hasBacklog = found != queue.byRelativeDeadline_.end() && found->second.size_ > 0;
    const bool sustained = hasBacklog && now - found->second.since_ > std::max(sustainedAfter, relativeDeadline);
    return scaled(relativeDeadline, sustained ? sustainedWaitShare : waitShare);
}

std::optional<std::uint64_t> chooseShed(
    const Overload &overload, const TaskQueue &queue, Millis now, const std::string &member, Millis relativeDeadline)
{
    const auto found = overload.candidates_.find({member, relativeDeadline.count_});
    if (found == overload.candidates_.end()) {
        return std::nullopt;
    }
    if (expectedWait(overload, queue, member, relativeDeadline) <= waitLimit(queue, now, relativeDeadline)) {
        return std::nullopt;
    }
    return found->second.begin()->job_;
}

Millis retryDelay(const Overload &overload, Millis wait, Random &random)
{
    const double admitted = std::max(minAdmittedShare, 1 - overload.refusedShare_);
    const double spread = std::uniform_real_distribution<double>(1, 2)(random);
    const double after = static_cast<double>(wait.count_) * spread / admitted;
    return {static_cast<std::int64_t>(std::clamp(after, minRetryDelayMs, maxRetryDelayMs))};
}

} // namespace ibiswall
