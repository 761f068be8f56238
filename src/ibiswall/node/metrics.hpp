// Counters and latency histograms of one process of a cell, served as text.

#pragma once

#include <ibiswall/net.hpp>
#include <map>
#include <string>

namespace ibiswall::node {

/// Adds one to a counter.
/// @param name a name of the table in metrics.cpp
/// @param label value of the counter's label; empty if it has none
void count(const std::string &name, const std::string &label = {});

/// Adds a duration to a histogram.
void observe(const std::string &name, Millis duration, const std::string &label = {});

/// Sets a gauge.
/// @param label value of the gauge's label; empty if it has none
void gauge(const std::string &name, double value, const std::string &label = {});

/// All metrics in the Prometheus text format.
std::string metricsText();

/// Records a call to the store.
void observeStore(const char *kind, const char *outcome, Millis duration);

/// HTTP server of the metrics, under /metrics.
class MetricsServer
{
public:
    explicit MetricsServer(boost::asio::io_context &io);

    Result<std::uint16_t> listen(const Address &address);

private:
    HttpServer server_;
};

} // namespace ibiswall::node
