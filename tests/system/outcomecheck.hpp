// Compares the answers that callers received with the task starts that the targets recorded.

#pragma once

#include "cluster.hpp"

#include <vector>

namespace ibiswall::system {

/// A task start recorded by a target.
struct Start
{
    std::string job_;
    std::size_t task_ = 0;
    /// Boot clock, which includes time in which the machine was suspended.
    Millis at_;
    /// Index in Cluster::targetNodes_.
    std::size_t target_ = 0;
};

/// Returns the recorded starts of all targets.
std::vector<Start> allStarts(const Cluster &cluster);

/// Returns the tasks with more than one start, as `job/task`.
std::vector<std::string> tasksStartedTwice(const std::vector<Start> &starts);

/// Number of starts on a target after a time of the boot clock.
std::size_t countStartsAfter(const std::vector<Start> &starts, std::size_t target, Millis time);

/// Number of tasks by outcome, and a description of each answer that contradicts the recorded starts.
struct OutcomeSummary
{
    std::size_t done_ = 0;
    std::size_t failed_ = 0;
    std::size_t notRun_ = 0;
    std::size_t mayHaveRun_ = 0;
    std::vector<std::string> contradictions_;
};

/// Compares answers to jobs of a kind that is not repeatable with the recorded starts.
/// @param tasks number of tasks of each job
OutcomeSummary compareWithRecords(const std::vector<Json> &answers, std::size_t tasks, const std::vector<Start> &starts);

/// Formats a summary in one line.
std::string describe(const OutcomeSummary &summary);

/// Returns the request body of a job of the kind `note`.
std::string jobBody(std::size_t tasks);

/// Defines the kind `note` as not repeatable and waits until every entry accepts jobs of it.
void setNoteKind(const Cluster &cluster, Millis deadline);

} // namespace ibiswall::system
