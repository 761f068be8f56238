// Runs and results of jobs that targets report and that no entry has offered to the dispatcher yet.

#pragma once

#include <ibiswall/cell/model.hpp>
#include <set>
#include <unordered_map>

namespace ibiswall::cell {

/// A result in the list of one incarnation of a target.
struct ResultRef
{
    std::string agent_;
    std::int64_t targetIncarnation_ = 0;
    std::uint64_t number_ = 0;
};

/// A run of a job that has not been offered.
struct OrphanRun
{
    std::string agent_;
    Run run_;
    /// When the agent was lost, 0 while it is connected.
    Millis lostAt_;
};

/// What targets report of one job that has not been offered.
struct OrphanJob
{
    std::vector<OrphanRun> running_;
    /// Results with the incarnation of the target that numbered them. Includes results without effect: they prove that the job was
    /// started.
    std::vector<std::pair<ResultRef, RunResult>> results_;
};

/// Jobs that have not been offered, by id. After a takeover there may be one for each result that no earlier dispatcher has
/// acknowledged, and each report changes many of them, so no call visits jobs that it does not concern.
class OrphanJobs
{
public:
    void addRun(const std::string &agent, const Run &run);
    void addResult(const ResultRef &ref, const RunResult &result);

    /// The run has ended.
    void removeRun(const std::string &agent, const Run &run);

    /// The agent reports anew what runs on its target.
    void removeRunsOf(const std::string &agent);

    /// The runs of the agent may go on under a later dispatcher.
    void markLost(const std::string &agent, Millis now);

    /// Removes the runs of agents that were lost before the given time.
    void removeLost(Millis before);

    bool contains(const std::string &job) const;

    /// Removes a job.
    /// @return what was reported of it; empty if nothing was
    OrphanJob take(const std::string &job);

    /// Removes the results of a job, which keeps its runs until they end.
    /// @return what was reported of it; empty if nothing was
    OrphanJob discardResults(const std::string &job);

private:
    template<typename Predicate>
    void removeRuns(const std::string &job, Predicate matches);

    /// Each has a run or a result.
    std::unordered_map<std::string, OrphanJob> jobs_;
    /// By agent: jobs of which it has reported runs; may contain jobs whose runs have been removed.
    std::map<std::string, std::set<std::string>> jobsOfAgent_;
    /// Jobs with runs of a lost agent, and when it was lost; may contain jobs whose runs have been removed or reported anew.
    std::vector<std::pair<Millis, std::string>> lost_;
};

} // namespace ibiswall::cell
