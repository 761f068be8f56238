// The keys under which the product keeps its own data in the store.

#pragma once

#include <string>

namespace ibiswall::node::keys {

/// A record for each job, by the caller's id.
constexpr const char *jobs = "ibiswall/jobs/";
/// Where each entry accepts links, as CBOR of [address, incarnation].
constexpr const char *entries = "ibiswall/entries/";
/// Agents that may hold runs, without a value.
constexpr const char *agents = "ibiswall/agents/";
/// Name of the leading entry; the revision of its latest change is the epoch.
constexpr const char *leader = "ibiswall/leader";

inline std::string job(const std::string &id)
{
    return jobs + id;
}

/// The part of a key behind its prefix.
inline std::string nameOf(const std::string &key, const char *prefix)
{
    return key.substr(std::string(prefix).size());
}

} // namespace ibiswall::node::keys
