// The naive policies that the dispatcher is compared with.

#pragma once

#include <deque>
#include <ibiswall/core.hpp>
#include <map>
#include <vector>

namespace ibiswall::bench {

/// How a naive entry chooses.
enum class NaivePolicy {
    /// A random agent, at once; a refused task is tried a few times.
    Random,
    /// The agents in turn, at once; a refused task is tried a few times.
    RoundRobin,
    /// One queue in order of arrival; the first agent with room.
    FirstInFirstOut,
    /// A random agent, at once; a refused task is tried without end.
    UnlimitedRetry,
};

/// One job of a naive entry.
struct NaiveJob
{
    Submission submission_;
    Millis startBy_;
    std::vector<Task> tasks_;
    std::size_t open_ = 0;
    CallerRef caller_ = 0;
};

/// One linked agent of a naive entry.
struct NaiveAgent
{
    AgentInfo info_;
    int placed_ = 0;
};

/// A naive entry. Its functions mirror those of the dispatcher.
struct NaiveEntry
{
    NaivePolicy policy_ = NaivePolicy::Random;
    Incarnation self_;
    Configuration configuration_;
    Random random_;
    std::map<AgentRef, NaiveAgent> agents_;
    AgentRef last_ = 0;
    /// Jobs without an answer, by the text of their id.
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
