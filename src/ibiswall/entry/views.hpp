// Formats the status, audit trail and metrics that an entry shows to operators.

#pragma once

#include <deque>
#include <ibiswall/codec.hpp>

namespace ibiswall {

/// Formats the configuration in force, and the version that each agent and each other entry has applied, as JSON.
/// @param entries names of the other entries
std::string formatStatus(const Dispatcher &dispatcher, const ConfigQuorum &configQuorum, Span<const std::string> entries, Millis now);

/// Formats the changes after a version as JSON.
std::string formatAudit(const std::deque<Change> &changes, std::uint64_t after);

/// Describes in one line the known changes after a version; empty when there are none.
std::string describeSince(const std::deque<Change> &changes, std::uint64_t version);

/// Formats the metrics in the Prometheus text format.
std::string formatMetrics(const Dispatcher &dispatcher, const ConfigQuorum &configQuorum, Millis now);

} // namespace ibiswall
