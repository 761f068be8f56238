// Estimates waits by Little's law: starts a second are the orders outstanding over the time that each takes.

#include <ibiswall/core/overload.hpp>

#include <algorithm>
#include <tuple>

namespace ibiswall {

namespace {

constexpr double smoothing = 0.02;
constexpr double shortestComeBack = 100; // milliseconds
constexpr double longestComeBack = 30000; // milliseconds
constexpr double leastAdmittedShare = 0.05;

Millis scaled(Millis span, double share)
{
    return {static_cast<std::int64_t>(static_cast<double>(span.count_) * share)};
}

} // namespace

bool operator<(const ShedCandidate &a, const ShedCandidate &b)
{
    return std::tie(a.value_, b.job_) < std::tie(b.value_, a.job_);
}

void recordSojourn(Overload &overload, Millis sojourn)
{
    const auto sample = static_cast<double>(sojourn.count_);
    overload.sojourn_ = overload.sojourn_ == 0 ? sample : overload.sojourn_ + smoothing * (sample - overload.sojourn_);
}

void recordAdmission(Overload &overload, bool refused)
{
    overload.refusedShare_ += smoothing * ((refused ? 1.0 : 0.0) - overload.refusedShare_);
}

void addCandidate(Overload &overload, const std::string &member, Millis span, ShedCandidate candidate)
{
    overload.candidates_[{member, span.count_}].insert(candidate);
}

void removeCandidate(Overload &overload, const std::string &member, Millis span, ShedCandidate candidate)
{
    const auto found = overload.candidates_.find({member, span.count_});
    if (found == overload.candidates_.end()) {
        return;
    }
    found->second.erase(candidate);
    if (found->second.empty()) {
        overload.candidates_.erase(found);
    }
}

Millis expectedWait(const Overload &overload, const TaskQueue &queue, std::string_view member, Millis span)
{
    if (overload.outstanding_ == 0) {
        return {0};
    }
    const double wait = countAhead(queue, member, span) * overload.sojourn_ / static_cast<double>(overload.outstanding_);
    return {static_cast<std::int64_t>(wait)};
}

Millis waitLimit(const TaskQueue &queue, Millis now, Millis span)
{
    const auto found = queue.spans_.find(span.count_);
    const bool waits = found != queue.spans_.end() && found->second.size_ > 0;
    const bool lasting = waits && now - found->second.since_ > std::max(lastingAfter, span);
    return scaled(span, lasting ? lastingShare : feasibleShare);
}

std::optional<std::uint64_t> chooseShed(
    const Overload &overload, const TaskQueue &queue, Millis now, const std::string &member, Millis span)
{
    const auto found = overload.candidates_.find({member, span.count_});
    if (found == overload.candidates_.end()) {
        return std::nullopt;
    }
    if (expectedWait(overload, queue, member, span) <= waitLimit(queue, now, span)) {
        return std::nullopt;
    }
    return found->second.begin()->job_;
}

Millis retryDelay(const Overload &overload, Millis wait, Random &random)
{
    const double admitted = std::max(leastAdmittedShare, 1 - overload.refusedShare_);
    const double spread = std::uniform_real_distribution<double>(1, 2)(random);
    const double after = static_cast<double>(wait.count_) * spread / admitted;
    return {static_cast<std::int64_t>(std::clamp(after, shortestComeBack, longestComeBack))};
}

} // namespace ibiswall
