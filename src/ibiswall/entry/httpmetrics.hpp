// Counts and durations of the HTTP requests of callers and operators.

#pragma once

#include <ibiswall/base.hpp>
#include <memory>
#include <string>

namespace ibiswall {

/// Metrics of the HTTP server of an entry. Not thread-safe.
class HttpMetrics
{
public:
    HttpMetrics();
    ~HttpMetrics();
    HttpMetrics(const HttpMetrics &) = delete;
    HttpMetrics &operator=(const HttpMetrics &) = delete;

    /// Records a reply.
    /// @param path path of the request; unknown paths share one route
    /// @param duration time from the complete request to the reply
    void observe(const std::string &path, int status, Millis duration);

    /// Returns the metrics in the Prometheus text format.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace ibiswall
