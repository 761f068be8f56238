// Counts and times the requests of callers and operators.

#pragma once

#include <ibiswall/base.hpp>
#include <memory>
#include <string>

namespace ibiswall {

/// Metrics of the HTTP server of an entry. Used by one thread.
class HttpMetrics
{
public:
    HttpMetrics();
    ~HttpMetrics();
    HttpMetrics(const HttpMetrics &) = delete;
    HttpMetrics &operator=(const HttpMetrics &) = delete;

    /// Counts a reply.
    /// @param path path of the request; unknown ones are counted together
    /// @param length time from the whole request to the reply
    void observe(const std::string &path, int status, Millis length);

    /// The metrics in the Prometheus text format.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace ibiswall
