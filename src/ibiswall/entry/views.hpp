// What operators see of an entry: status, audit trail, metrics.

#pragma once

#include <deque>
#include <ibiswall/codec.hpp>

namespace ibiswall {

/// Writes the configuration in force and what each agent has applied.
std::string formatStatus(const Dispatcher &dispatcher, const Freshness &freshness, Millis now);

/// Writes the changes after a version.
std::string formatAudit(const std::deque<Change> &changes, std::uint64_t after);

/// Writes the metrics in the Prometheus text format.
std::string formatMetrics(const Dispatcher &dispatcher, const Freshness &freshness, Millis now);

} // namespace ibiswall
