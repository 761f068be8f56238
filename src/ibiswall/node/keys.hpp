// Keys of the cell's own data in the store.

#pragma once

#include <string>

namespace ibiswall::node::keys {

/// One record for each job, by the job id that the caller chose.
constexpr const char *jobs = "ibiswall/jobs/";
/// Link address of each entry, as CBOR of [address, incarnation, failure domain, memory].
constexpr const char *entries = "ibiswall/entries/";
/// Agents that may have active runs; the values are empty.
constexpr const char *agents = "ibiswall/agents/";
/// Name, incarnation and attempt number of the leader, separated by spaces. The revision of the key is the epoch.
constexpr const char *leader = "ibiswall/leader";

inline std::string job(const std::string &id)
{
    return jobs + id;
}

/// The part of a key after its prefix.
inline std::string nameOf(const std::string &key, const char *prefix)
{
    return key.substr(std::string(prefix).size());
}

} // namespace ibiswall::node::keys
