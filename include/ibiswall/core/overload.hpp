// Overload: how long new work would wait, how long it may, and which job is refused instead.

#pragma once

#include <ibiswall/core/queue.hpp>
#include <ibiswall/core/random.hpp>

namespace ibiswall {

/// Share of its deadline that a task may be expected to wait.
constexpr double feasibleShare = 0.7;

/// Share of its deadline that a task may be expected to wait once the overload lasts.
constexpr double lastingShare = 0.1;

/// An overload lasts when the backlog has not been empty for this long, or for the deadline if that is longer.
constexpr Millis lastingAfter{5000};

/// A job that may be refused because none of its tasks has been sent.
struct ShedCandidate
{
    int value_ = 0;
    std::uint64_t job_ = 0;
};

/// Least valuable first, then newest.
bool operator<(const ShedCandidate &a, const ShedCandidate &b);

/// What an entry knows of its load.
struct Overload
{
    /// Smoothed time from sending an order to its report, in milliseconds; 0 before the first.
    double sojourn_ = 0;
    /// Smoothed share of jobs refused.
    double refusedShare_ = 0;
    /// Orders sent and not reported.
    std::size_t outstanding_ = 0;
    /// Jobs that may be refused, by member and length of deadline; no set is empty.
    std::map<std::pair<std::string, std::int64_t>, std::set<ShedCandidate>> candidates_;
};

/// Records the time from an order to its report.
void recordSojourn(Overload &overload, Millis sojourn);

/// Records whether a job was refused.
void recordAdmission(Overload &overload, bool refused);

/// Adds a job that may be refused.
void addCandidate(Overload &overload, const std::string &member, Millis span, ShedCandidate candidate);

/// Removes a job that may no longer be refused; does nothing when it is not there.
void removeCandidate(Overload &overload, const std::string &member, Millis span, ShedCandidate candidate);

/// Expected wait of the last task of a member; zero while nothing is known.
Millis expectedWait(const Overload &overload, const TaskQueue &queue, std::string_view member, Millis span);

/// How long tasks with this length of deadline may be expected to wait.
Millis waitLimit(const TaskQueue &queue, Millis now, Millis span);

/// The job of a member to refuse now, if its tasks would wait too long.
std::optional<std::uint64_t> chooseShed(
    const Overload &overload, const TaskQueue &queue, Millis now, const std::string &member, Millis span);

/// Time after which a refused caller may find room, spread at random so that callers do not return together.
Millis retryDelay(const Overload &overload, Millis wait, Random &random);

} // namespace ibiswall
