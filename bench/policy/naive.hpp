// Naive dispatch policies, used as baselines for the dispatcher.

#pragma once

#include <deque>
#include <ibiswall/core.hpp>
#include <map>
#include <vector>

namespace ibiswall::bench {

/// How a naive entry chooses an agent for a task.
enum class NaivePolicy {
    /// A random agent, without regard to its load; a rejected task is retried a limited number of times.
    Random,
    /// Each agent in turn, without regard to its load; a rejected task is retried a limited number of times.
    RoundRobin,
    /// One queue in order of arrival; the first agent with a free credit.
    FirstInFirstOut,
    /// A random agent, without regard to its load; a rejected task is retried until its deadline.
    UnlimitedRetry,
};

/// One job of a naive entry.
struct NaiveJob
{
    Submission submission_;
    Millis startBy_;
    std::vector<Task> tasks_;
    /// Tasks without an outcome.
    std::size_t openTasks_ = 0;
    CallerRef caller_ = 0;
};

/// One connected agent of a naive entry.
struct NaiveAgent
{
    AgentInfo info_;
    /// Orders sent that the agent has not reported on.
    int outstanding_ = 0;
};

/// State of a naive entry. Its functions have the signatures of those of Dispatcher, so that a simulation runs either.
struct NaiveEntry
{
    NaivePolicy policy_ = NaivePolicy::Random;
    Incarnation self_;
    Configuration configuration_;
    Random random_;
    std::map<AgentRef, NaiveAgent> agents_;
    /// Last agent chosen by NaivePolicy::RoundRobin.
    AgentRef lastChosen_ = 0;
    /// Unanswered jobs by formatted id.
    std::map<std::string, NaiveJob> jobs_;
    std::deque<TaskKey> queue_;
    std::uint64_t nextSerial_ = 1;
    DispatchCounts counts_;
};

JobId issueId(NaiveEntry &entry, Now now);
void submit(NaiveEntry &entry, Now now, Submission submission, CallerRef caller, DispatchActions &actions);
bool cancel(NaiveEntry &entry, std::string_view id, std::string_view member, DispatchActions &actions);
void joinAgent(NaiveEntry &entry, Now now, AgentRef ref, const AgentInfo &info, DispatchActions &actions);
void recordAgentContact(NaiveEntry &entry, Now now, AgentRef ref, std::uint64_t version, DispatchActions &actions);
void applyReports(NaiveEntry &entry, Now now, AgentRef ref, Span<const TaskReport> reports, DispatchActions &actions);
bool applyConfigurationChange(NaiveEntry &entry, Now now, const Change &change, DispatchActions &actions);
void tick(NaiveEntry &entry, Now now, DispatchActions &actions);

} // namespace ibiswall::bench
