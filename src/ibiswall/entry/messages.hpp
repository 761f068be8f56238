// What the duties of an entry tell one another.

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
    /// The body as received, for relaying to another home.
    std::string body_;
};

/// A caller asks for the answer to a job, or gives the job up.
struct JobRequest
{
    CallerRef caller_ = 0;
    RelayOp op_ = RelayOp::Fetch;
    JobId id_;
    std::string member_;
};

/// A caller asks for fresh ids.
struct IdsRequest
{
    CallerRef caller_ = 0;
    std::size_t count_ = 1;
};

/// An operator asks for the plan of an intent.
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

/// An operator asks what is in force.
struct StatusRequest
{
    CallerRef caller_ = 0;
};

/// An operator asks for the changes after a version.
struct AuditRequest
{
    CallerRef caller_ = 0;
    std::uint64_t after_ = 0;
};

/// Somebody asks for the metrics.
struct MetricsRequest
{
    CallerRef caller_ = 0;
};

/// A stop has begun: refuse new jobs.
struct DrainRequest
{
};

/// From the callers' duty to the dispatch duty.
using DispatchMessage = std::
    variant<SubmitRequest, JobRequest, IdsRequest, PlanRequest, ConfirmRequest, StatusRequest, AuditRequest, MetricsRequest, DrainRequest>;

/// From the dispatch duty to the callers' duty.
struct CallerReply
{
    CallerRef caller_ = 0;
    /// Set for the answer to a job; reply_ is not used then.
    std::shared_ptr<const JobAnswer> answer_;
    HttpReply reply_;
};

/// The dispatch duty reports that no job is open any more after a DrainRequest.
struct Drained
{
};

/// From the dispatch duty to the callers' duty.
using CallersMessage = std::variant<CallerReply, Drained>;

/// From the dispatch duty to the platform duty: write a confirmed change.
struct WriteRequest
{
    CallerRef caller_ = 0;
    Change change_;
};

/// The platform duty read the change log.
struct LogRead
{
    /// Start of the read.
    Millis began_;
    /// Whether the platform answered.
    bool ok_ = false;
    /// Whether the changes go up to the newest.
    bool complete_ = false;
    /// Changes that followed the last ones read.
    std::vector<Change> changes_;
};

/// The platform duty ended a write.
struct WriteReply
{
    CallerRef caller_ = 0;
    Change change_;
    WriteOutcome outcome_;
};

/// From the platform duty to the dispatch duty.
using PlatformMessage = std::variant<LogRead, WriteReply>;

} // namespace ibiswall
