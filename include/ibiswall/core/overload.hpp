// Overload control: estimates queueing delay and selects jobs to refuse when it exceeds its limit.

#pragma once

#include <ibiswall/core/queue.hpp>
#include <ibiswall/core/random.hpp>

namespace ibiswall {

/// Limit of the expected wait of a task, as a share of its relative deadline.
constexpr double waitShare = 0.7;

/// The same limit while an overload is sustained.
constexpr double sustainedWaitShare = 0.1;

/// An overload is sustained once the backlog has been non-empty for this long, or for the relative deadline if longer.
constexpr Millis sustainedAfter{5000};

/// A job that can still be refused because none of its tasks has been sent.
struct ShedCandidate
{
    int value_ = 0;
    std::uint64_t job_ = 0;
};

/// Orders by value, lowest first, then by age, newest first.
bool operator<(const ShedCandidate &a, const ShedCandidate &b);

/// Load estimates of an entry.
struct Overload
{
    /// Smoothed time from sending an order to its report, in milliseconds; 0 before the first report.
    double sojourn_ = 0;
    /// Smoothed share of submitted jobs that are refused.
    double refusedShare_ = 0;
    /// Number of orders sent and not yet reported.
    std::size_t outstanding_ = 0;
    /// Jobs that can be refused, by member and relative deadline in milliseconds; no set is empty.
    std::map<std::pair<std::string, std::int64_t>, std::set<ShedCandidate>> candidates_;
};

/// Records the time from sending an order to its report.
void recordSojourn(Overload &overload, Millis sojourn);

/// Records whether a job was refused.
void recordAdmission(Overload &overload, bool refused);

/// Adds a job that can be refused.
void addCandidate(Overload &overload, const std::string &member, Millis relativeDeadline, ShedCandidate candidate);

/// Removes a job that can no longer be refused; does nothing if it is absent.
void removeCandidate(Overload &overload, const std::string &member, Millis relativeDeadline, ShedCandidate candidate);

/// Expected wait of the member's last queued task with at most this relative deadline; zero while no order is outstanding.
Millis expectedWait(const Overload &overload, const TaskQueue &queue, std::string_view member, Millis relativeDeadline);

/// Limit of the expected wait for tasks with this relative deadline.
Millis waitLimit(const TaskQueue &queue, Millis now, Millis relativeDeadline);

/// Selects the job of a member to refuse now, if the member's tasks would wait too long.
std::optional<std::uint64_t> chooseShed(
    const Overload &overload, const TaskQueue &queue, Millis now, const std::string &member, Millis relativeDeadline);

/// Delay before a refused caller retries, with random jitter so that callers do not retry simultaneously.
Millis retryDelay(const Overload &overload, Millis wait, Random &random);

} // namespace ibiswall
