// Compares what callers were told with the starts that the targets recorded.

#pragma once

#include "cluster.hpp"

#include <vector>

namespace ibiswall::system {

/// One start that a target recorded.
struct Start
{
    std::string job_;
    std::size_t task_ = 0;
    /// By the clock that counts suspension.
    Millis at_;
    /// Index of the target.
    std::size_t place_ = 0;
};

/// Every start that any target recorded.
std::vector<Start> allStarts(const Cluster &cluster);

/// Tasks that started more than once, as `job/task`.
std::vector<std::string> startedTwice(const std::vector<Start> &starts);

/// Starts on a target after a moment.
std::size_t startsAfter(const std::vector<Start> &starts, std::size_t place, Millis moment);

/// How many tasks had each outcome, and which outcomes contradict the record.
struct Verdict
{
    std::size_t done_ = 0;
    std::size_t failed_ = 0;
    std::size_t notRun_ = 0;
    std::size_t mayHaveRun_ = 0;
    std::vector<std::string> lies_;
};

/// Judges answers to jobs whose kind is not repeatable.
/// @param tasks number of tasks of each job
Verdict judge(const std::vector<Json> &answers, std::size_t tasks, const std::vector<Start> &starts);

/// Writes a verdict in one line.
std::string describe(const Verdict &verdict);

/// The body of a job of the kind `note`.
std::string jobBody(std::size_t tasks);

/// Sets the kind `note`, not repeatable, and waits until every entry knows it.
void setNoteKind(const Cluster &cluster, Millis deadline);

} // namespace ibiswall::system
