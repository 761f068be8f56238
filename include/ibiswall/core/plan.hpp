// Intent, plan, confirm: a plan names what an intent would change and the version it stands on.

#pragma once

#include <ibiswall/core/configuration.hpp>
#include <vector>

namespace ibiswall {

/// One announced target, as far as a plan needs it.
struct TargetPlace
{
    std::string target_;
    std::string worker_;
    std::string domain_;
};

/// What an intent would change.
struct Plan
{
    /// The configuration version that the plan stands on.
    std::uint64_t baseVersion_ = 0;
    Intent intent_;
    std::string before_;
    std::string after_;
    /// Announced targets whose service changes.
    std::vector<TargetPlace> targets_;
    /// Tells this plan from any other; a confirmation repeats it.
    std::string digest_;
};

/// Plans an intent.
/// @param announced every target known to the planning entry
Result<Plan> makePlan(const Configuration &configuration, const Intent &intent, Span<const TargetPlace> announced);

/// Turns a confirmed plan into the change that follows the current version.
/// @return StalePlan when the configuration has moved on since the plan was made
Result<Change> confirmPlan(const Configuration &configuration, const Intent &intent, std::uint64_t baseVersion, std::string_view digest);

} // namespace ibiswall
