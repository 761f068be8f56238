// What operators see of an entry: status, audit trail, metrics.

#pragma once

#include <deque>
#include <ibiswall/codec.hpp>

namespace ibiswall {

/// Writes the configuration in force, and what each agent and each other entry has applied.
/// @param entries names of the other entries
std::string formatStatus(const Dispatcher &dispatcher, const ConfigQuorum &electorate, Span<const std::string> entries, Millis now);

/// Writes the changes after a version.
std::string formatAudit(const std::deque<Change> &changes, std::uint64_t after);

/// Describes in one line what changed after a version; empty when nothing that is kept did.
std::string describeSince(const std::deque<Change> &changes, std::uint64_t version);

/// Writes the metrics in the Prometheus text format.
std::string formatMetrics(const Dispatcher &dispatcher, const ConfigQuorum &electorate, Millis now);

} // namespace ibiswall
