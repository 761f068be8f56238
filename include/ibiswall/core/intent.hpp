// Operator intents, and the numbered configuration changes that accepted intents become.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <string_view>

namespace ibiswall {

/// Scheduling parameters of one kind of request.
struct Kind
{
    /// Under overload, jobs of the lowest value are refused first.
    int value_ = 0;
    /// Whether a task may be retried after an attempt that may have run.
    bool repeatable_ = false;
    /// Time after submission within which a task must start.
    Millis deadline_{10000};
};

/// Scheduling share and quota of one member.
struct Member
{
    /// Share of task starts relative to other members under load.
    int weight_ = 1;
    /// Maximum number of open tasks of the member at one entry; 0 for no quota.
    int quota_ = 0;
};

/// The operation of an intent.
enum class IntentOp {
    DomainOut,
    DomainIn,
    TargetOut,
    TargetIn,
    SetKind,
    SetMember,
};

/// A request of an operator to change the configuration.
struct Intent
{
    IntentOp op_ = IntentOp::DomainOut;
    /// The failure domain, target, kind or member that the operation applies to.
    std::string name_;
    /// Only used by SetKind.
    Kind kind_;
    /// Only used by SetMember.
    Member member_;
};

/// An accepted intent: change number N creates version N of the configuration.
struct Change
{
    std::uint64_t version_ = 0;
    /// Unique id that lets the author find the change if the reply to the write was lost.
    std::string changeId_;
    std::string who_;
    std::string why_;
    /// Wall-clock time of acceptance.
    Millis when_;
    Intent intent_;
    /// Description of the subject before the change.
    std::string before_;
    /// Description of the subject after the change.
    std::string after_;
};

/// The name of an operation, such as `domain-out`.
std::string_view opName(IntentOp op);

/// Parses the name of an operation.
Result<IntentOp> parseOp(std::string_view text);

/// Describes an intent in one line.
std::string describe(const Intent &intent);

} // namespace ibiswall
