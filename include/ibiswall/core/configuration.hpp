// The current configuration, the result of applying numbered changes in order.

#pragma once

#include <ibiswall/core/intent.hpp>
#include <map>
#include <set>

namespace ibiswall {

/// The configuration at one version.
struct Configuration
{
    /// Number of the last applied change; never decreases.
    std::uint64_t version_ = 0;
    std::set<std::string, std::less<>> domainsOut_;
    std::set<std::string, std::less<>> targetsOut_;
    std::map<std::string, Kind, std::less<>> kinds_;
    std::map<std::string, Member, std::less<>> members_;
};

/// Applies a change if its number is the current version plus one.
/// @return false, leaving the configuration unchanged, for any other number
bool apply(Configuration &configuration, const Change &change);

/// Returns whether operators have taken the failure domain or the target out of service.
bool isOut(const Configuration &configuration, std::string_view domain, std::string_view target);

/// Describes the current state of the subject of an intent.
std::string describeSubject(const Configuration &configuration, const Intent &intent);

/// Describes the state that the subject would have after the intent.
std::string describeAfter(const Configuration &configuration, const Intent &intent);

/// Returns the settings of a member, or the defaults if operators have set none.
Member memberOf(const Configuration &configuration, std::string_view name);

} // namespace ibiswall
