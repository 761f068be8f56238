// What a dispatcher takes in and what it gives out: offered jobs, orders to agents, notices to entries, and records to store.

#pragma once

#include <ibiswall/cell/record.hpp>
#include <set>

namespace ibiswall::cell {

/// Orders an agent to start a run on its target.
struct StartOrder
{
    std::string agent_;
    Run run_;
    std::string payload_;
    std::string checkpoint_;
    bool ephemeral_ = false;
};

/// Orders an agent to stop a run, or to prevent its start if the start order has not arrived yet.
struct StopOrder
{
    std::string agent_;
    Run run_;
};

/// A run that the full report of its agent lacks, so that its task is placed again.
struct MissingRun
{
    std::string agent_;
    Run run_;
};

/// Notifies an agent that results up to a number are no longer needed.
struct AckOrder
{
    std::string agent_;
    /// Incarnation of the target that numbered the results.
    std::int64_t targetIncarnation_ = 0;
    std::uint64_t through_ = 0;
    /// Whether the agent waits for it to exit.
    bool awaited_ = false;
};

/// Notifies the entries of a change of a job's state. Final states are sent only after they are stored.
struct Notice
{
    std::string job_;
    JobState state_ = JobState::Pending;
    /// Entries whose callers wait for an ephemeral job; empty for every entry.
    std::set<std::string> origins_;
    /// Of a refusal: when the caller should return; 0 if not known.
    Millis retryAfter_{0};
};

/// A job that was refused since it cannot be served in time.
struct Refusal
{
    std::string job_;
    std::string queue_;
    /// "arrival", "growth" of the wait since then, or "expired": it could end in time no longer.
    const char *reason_ = "";
    /// How long the leader has held it.
    Millis held_;
    /// Predicted time until its last task could have started; 0 if not predicted.
    Millis wait_;
};

/// A change of whether a target is considered stalled.
struct StallChange
{
    enum class Kind : std::uint8_t { Stalled, Probed, Recovered };

    std::string agent_;
    Kind kind_ = Kind::Stalled;
    /// Overdue runs on the target.
    std::size_t overdue_ = 0;
};

/// What the owner of the dispatcher has to do: messages to send, and jobs to look up.
struct DispatcherActions
{
    /// Jobs to read from the store: a target reports runs or results of them, and no entry has offered them.
    std::vector<std::string> lookups_;
    std::vector<StartOrder> starts_;
    std::vector<StopOrder> stops_;
    std::vector<AckOrder> acks_;
    std::vector<Notice> notices_;
    /// To be logged.
    std::vector<StallChange> stalls_;
    /// For logs and metrics only; the callers get notices.
    std::vector<Refusal> refusals_;
    /// For logs and metrics only.
    std::vector<MissingRun> missingRuns_;
};

/// A record to store if the stored one has the expected revision.
struct JobWrite
{
    std::string job_;
    std::int64_t expectedRevision_ = 0;
    JobRecord record_;
};

/// A record that is no longer needed, to remove if the stored one still has the revision.
struct JobRemoval
{
    std::string job_;
    std::int64_t revision_ = 0;
};

/// A job that an entry offers or that was read from the store.
struct JobOffer
{
    std::string id_;
    JobRecord record_;
    std::int64_t revision_ = 0;
    /// True when no other dispatcher can have started any of its tasks.
    bool fresh_ = false;
    /// Entry that offers it; empty when it was read from the store.
    std::string origin_;
    /// How long its caller waits from now on; 0 when no caller waits.
    Millis callerTimeout_;
    /// How long its caller has waited already.
    Millis age_;
    /// Failure domain of the entry; empty if not known.
    std::string domain_ = {};
};

} // namespace ibiswall::cell
