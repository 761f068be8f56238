// Validates intents, and makes and confirms plans.

#include <ibiswall/core/plan.hpp>

#include <ibiswall/core/jobid.hpp>
#include <xxhash.h>

namespace ibiswall {

namespace {

constexpr Millis maxKindDeadline{3600000};
constexpr int maxWeight = 1000;

Result<void> checkIntent(const Intent &intent)
{
    if (!isName(intent.name_)) {
        return Error{Code::BadIntent, "\"" + intent.name_ + "\" is not a name: use 1 to 64 of a-z, 0-9 and '-'"};
    }
    if (intent.op_ == IntentOp::SetKind && (intent.kind_.deadline_ <= Millis{0} || intent.kind_.deadline_ > maxKindDeadline)) {
        return Error{Code::BadIntent, "kind \"" + intent.name_ + "\": deadline_ms must lie between 1 and 3600000"};
    }
    if (intent.op_ == IntentOp::SetMember
        && (intent.member_.weight_ < 1 || intent.member_.weight_ > maxWeight || intent.member_.quota_ < 0)) {
        return Error{Code::BadIntent, "member \"" + intent.name_ + "\": weight must lie between 1 and 1000, quota must not be negative"};
    }
    return boost::outcome_v2::success();
}

std::string digestOf(const Plan &plan)
{
    const std::string text = std::to_string(plan.baseVersion_) + '\n' + describe(plan.intent_) + '\n' + plan.before_ + '\n' + plan.after_;
    return std::to_string(XXH3_64bits(text.data(), text.size()));
}

bool affects(const Intent &intent, const TargetPlace &place)
{
    switch (intent.op_) {
    case IntentOp::DomainOut:
    case IntentOp::DomainIn:
        return place.domain_ == intent.name_;
    case IntentOp::TargetOut:
    case IntentOp::TargetIn:
        return place.target_ == intent.name_;
    case IntentOp::SetKind:
    case IntentOp::SetMember:
        return false;
    }
    return false;
}

} // namespace

Result<Plan> makePlan(const Configuration &configuration, const Intent &intent, Span<const TargetPlace> announced)
{
    const auto checked = checkIntent(intent);
    if (checked.has_error()) {
        return checked.error();
    }
    Plan plan;
    plan.baseVersion_ = configuration.version_;
    plan.intent_ = intent;
    plan.before_ = describeSubject(configuration, intent);
    plan.after_ = describeAfter(configuration, intent);
    if (plan.before_ == plan.after_) {
        return Error{Code::NoEffect, describe(intent) + ": already " + plan.before_};
    }
    for (const TargetPlace &place : announced) {
        if (affects(intent, place)) {
            plan.targets_.push_back(place);
        }
    }
    plan.digest_ = digestOf(plan);
    return plan;
}

Result<Change> confirmPlan(const Configuration &configuration, const Intent &intent, std::uint64_t baseVersion, std::string_view digest)
{
    if (baseVersion != configuration.version_) {
        return Error{Code::StalePlan,
                     "plan stands on version " + std::to_string(baseVersion) + ", version " + std::to_string(configuration.version_)
                         + " is in force"};
    }
    const auto plan = makePlan(configuration, intent, {});
    if (plan.has_error()) {
        return plan.error();
    }
    if (plan.value().digest_ != digest) {
        return Error{Code::StalePlan, "the confirmed plan is not the plan of this intent"};
    }
    Change change;
    change.version_ = baseVersion + 1;
    change.intent_ = intent;
    change.before_ = plan.value().before_;
    change.after_ = plan.value().after_;
    return change;
}

} // namespace ibiswall
