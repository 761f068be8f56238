// Messages between the loops of an entry.

#pragma once

#include <ibiswall/codec.hpp>
#include <ibiswall/platform.hpp>
#include <variant>

namespace ibiswall {

/// A caller submits a job.
struct SubmitRequest
{
    CallerRef caller_ = 0;
    Submission submission_;
    /// The body as received; only set for a job that is relayed to its owner.
    std::string body_;
};

/// A caller fetches the answer to a job or cancels the job.
struct JobRequest
{
    CallerRef caller_ = 0;
    RelayOp op_ = RelayOp::Fetch;
    JobId id_;
    std::string member_;
};

/// A caller requests new job ids.
struct IdsRequest
{
    CallerRef caller_ = 0;
    std::size_t count_ = 1;
};

/// An operator requests the plan of an intent.
struct PlanRequest
{
    CallerRef caller_ = 0;
    Intent intent_;
};

/// An operator confirms a plan.
struct ConfirmRequest
{
    CallerRef caller_ = 0;
    Confirmation confirmation_;
};

/// An operator requests the configuration in force.
struct StatusRequest
{
    CallerRef caller_ = 0;
};

/// An operator requests the changes after a version.
struct AuditRequest
{
    CallerRef caller_ = 0;
    std::uint64_t after_ = 0;
};

/// A client requests the metrics; needs no token.
struct MetricsRequest
{
    CallerRef caller_ = 0;
};

/// The entry is stopping: refuse new jobs.
struct DrainRequest
{
};

/// From the callers loop to the dispatch loop.
using DispatchMessage = std::
    variant<SubmitRequest, JobRequest, IdsRequest, PlanRequest, ConfirmRequest, StatusRequest, AuditRequest, MetricsRequest, DrainRequest>;

/// The dispatch loop answers a request.
struct CallerReply
{
    CallerRef caller_ = 0;
    /// Set for the answer to a job; reply_ is not used then.
    std::shared_ptr<const JobAnswer> answer_;
    HttpReply reply_;
};

/// The dispatch loop reports that no job is open after a DrainRequest.
struct Drained
{
};

/// The dispatch loop reports that the configuration is up to date, so that it no longer refuses all jobs.
struct CaughtUp
{
};

/// From the dispatch loop to the callers loop.
using CallersMessage = std::variant<CallerReply, Drained, CaughtUp>;

/// From the dispatch loop to the platform loop: write a confirmed change.
struct WriteRequest
{
    CallerRef caller_ = 0;
    Change change_;
};

/// The platform loop read the change log.
struct ChangeLogRead
{
    /// Start of the read; the changes are at least as recent.
    Millis startedAt_;
    /// Whether the platform responded.
    bool ok_ = false;
    /// Whether the changes include the newest one.
    bool complete_ = false;
    /// Changes after the last one read before.
    std::vector<Change> changes_;
};

/// The platform loop finished a write.
struct WriteReply
{
    CallerRef caller_ = 0;
    Change change_;
    WriteOutcome outcome_;
};

/// From the platform loop to the dispatch loop.
using PlatformMessage = std::variant<ChangeLogRead, WriteReply>;

} // namespace ibiswall
