// HTTP request metrics, implemented with prometheus-cpp.

#include "httpmetrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ibiswall {

namespace {

constexpr double millisPerSecond = 1000;

// Upper bounds in seconds, densest where sub-second tasks fall.
prometheus::Histogram::BucketBoundaries bucketBounds()
{
    return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
}

// Maps paths to a small fixed set of labels, since each label value is a time series of its own.
std::string routeOf(const std::string &path)
{
    constexpr std::string_view jobs = "/v1/jobs/";
    if (path.compare(0, jobs.size(), jobs) == 0) {
        return "jobs";
    }
    for (const char *route : {"ids", "plan", "confirm", "status", "audit"}) {
        if (path == std::string("/v1/") + route) {
            return route;
        }
    }
    return "other";
}

} // namespace

struct HttpMetrics::State
{
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter> &replies_
        = prometheus::BuildCounter().Name("ibiswall_http_replies_total").Help("Replies by route and status").Register(registry_);
    prometheus::Family<prometheus::Histogram> &seconds_ = prometheus::BuildHistogram()
                                                              .Name("ibiswall_http_request_seconds")
                                                              .Help("Time from request to reply by route")
                                                              .Register(registry_);
};

HttpMetrics::HttpMetrics()
    : state_(std::make_unique<State>())
{
}

HttpMetrics::~HttpMetrics() = default;

void HttpMetrics::observe(const std::string &path, int status, Millis duration)
{
    const std::string route = routeOf(path);
    state_->replies_.Add({{"route", route}, {"status", std::to_string(status)}}).Increment();
    state_->seconds_.Add({{"route", route}}, bucketBounds()).Observe(static_cast<double>(duration.count_) / millisPerSecond);
}

std::string HttpMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(state_->registry_.Collect());
}

} // namespace ibiswall
