// Two-step configuration changes: a plan shows the effect of an intent on a given version, and a confirmation applies it.

#pragma once

#include <ibiswall/core/configuration.hpp>
#include <vector>

namespace ibiswall {

/// The location of an announced target.
struct TargetPlace
{
    std::string target_;
    std::string worker_;
    std::string domain_;
};

/// The effect that an intent would have.
struct Plan
{
    /// Configuration version that the plan is based on.
    std::uint64_t baseVersion_ = 0;
    Intent intent_;
    std::string before_;
    std::string after_;
    /// Announced targets that the intent takes in or out of service.
    std::vector<TargetPlace> targets_;
    /// Hash of the plan; the confirmation must repeat it.
    std::string digest_;
};

/// Makes the plan of an intent.
/// @param announced all targets known to the planning entry
/// @return BadIntent if the intent is invalid, NoEffect if it would change nothing
Result<Plan> makePlan(const Configuration &configuration, const Intent &intent, Span<const TargetPlace> announced);

/// Turns a confirmed plan into the next change.
/// @return StalePlan if the configuration has changed since the plan was made, or if the digest belongs to another plan
Result<Change> confirmPlan(const Configuration &configuration, const Intent &intent, std::uint64_t baseVersion, std::string_view digest);

} // namespace ibiswall
