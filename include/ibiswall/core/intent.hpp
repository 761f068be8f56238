// What an operator may ask for, and the numbered change that an accepted intent becomes.

#pragma once

#include <ibiswall/base.hpp>
#include <string>
#include <string_view>

namespace ibiswall {

/// How the dispatcher treats one kind of request.
struct Kind
{
    /// Higher is worth more. The least valuable kind is refused first under overload.
    int value_ = 0;
    /// A repeatable request may be tried again after it may have started.
    bool repeatable_ = false;
    /// Time from submission after which a task no longer starts.
    Millis deadline_{10000};
};

/// What one member is entitled to.
struct Member
{
    /// Share of starts relative to other members under load.
    int weight_ = 1;
    /// Most tasks that the member may have open at one entry; 0 means no quota.
    int quota_ = 0;
};

/// The operation that an intent asks for.
enum class IntentOp {
    DomainOut,
    DomainIn,
    TargetOut,
    TargetIn,
    SetKind,
    SetMember,
};

/// What an operator asks for.
struct Intent
{
    IntentOp op_ = IntentOp::DomainOut;
    /// The failure domain, target, kind or member that the operation is about.
    std::string name_;
    /// Used by SetKind alone.
    Kind kind_;
    /// Used by SetMember alone.
    Member member_;
};

/// An accepted intent: change number N creates version N of the configuration.
struct Change
{
    std::uint64_t version_ = 0;
    /// Unique text by which its author recognises it after a lost answer.
    std::string changeId_;
    std::string who_;
    std::string why_;
    /// Wall-clock time of acceptance.
    Millis when_;
    Intent intent_;
    /// What the intent replaced, in words.
    std::string before_;
    /// What holds afterwards, in words.
    std::string after_;
};

/// The word for an operation, as in `domain-out`.
std::string_view opName(IntentOp op);

/// Finds the operation that a word names.
Result<IntentOp> parseOp(std::string_view word);

/// Describes an intent in one line.
std::string describe(const Intent &intent);

} // namespace ibiswall
