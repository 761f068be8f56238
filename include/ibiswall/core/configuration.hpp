// The configuration in force, built from numbered changes.

#pragma once

#include <ibiswall/core/intent.hpp>
#include <map>
#include <set>

namespace ibiswall {

/// The configuration at one version.
struct Configuration
{
    /// Never falls.
    std::uint64_t version_ = 0;
    std::set<std::string, std::less<>> domainsOut_;
    std::set<std::string, std::less<>> targetsOut_;
    std::map<std::string, Kind, std::less<>> kinds_;
    std::map<std::string, Member, std::less<>> members_;
};

/// Applies the change that follows the current version.
/// @return false, with nothing changed, when the change has any other number
bool apply(Configuration &configuration, const Change &change);

/// Tells whether operators have taken a failure domain or a target out.
bool isOut(const Configuration &configuration, std::string_view domain, std::string_view target);

/// Describes what the configuration says now about the subject of an intent.
std::string describeSubject(const Configuration &configuration, const Intent &intent);

/// Describes what the configuration would say about the subject after the intent.
std::string describeAfter(const Configuration &configuration, const Intent &intent);

/// The entitlement of a member; the default one where operators set none.
Member memberOf(const Configuration &configuration, std::string_view name);

} // namespace ibiswall
