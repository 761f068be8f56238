// Metrics, implemented with prometheus-cpp.

#include "metrics.hpp"

#include "httplimits.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <unordered_map>

namespace ibiswall::node {

namespace {

constexpr double millisPerSecond = 1000;

struct Description
{
    const char *help_;
    /// Name of the only label; empty for none.
    const char *label_;
};

const std::map<std::string, Description> &table()
{
    static const std::map<std::string, Description> descriptions{
        {"ibiswall_requests_total", {"Callers' requests by method", "method"}},
        {"ibiswall_jobs_total", {"Jobs by how they ended for their callers", "outcome"}},
        {"ibiswall_job_seconds", {"Time from a submission to its answer, by outcome", "outcome"}},
        {"ibiswall_refusals_total", {"Jobs refused as not run, by reason", "reason"}},
        {"ibiswall_connections_closed_total", {"Requests refused and connections closed by the HTTP servers, by reason", "reason"}},
        {"ibiswall_connection_bytes", {"Bytes of callers' connections, bodies and replies", ""}},
        {"ibiswall_job_bytes", {"Bytes of open jobs at this entry, without their tasks", ""}},
        {"ibiswall_link_bytes", {"Bytes of incomplete and unsent frames of links", ""}},
        {"ibiswall_task_bytes", {"Bytes of the jobs of this leader and their tasks", ""}},
        {"ibiswall_accept_seconds", {"Time from a submission to its being stored", ""}},
        {"ibiswall_lead_taken_total", {"Times that this entry took the lead", ""}},
        {"ibiswall_lead_lost_total", {"Times that this entry lost the lead", ""}},
        {"ibiswall_recovery_seconds", {"Time from the start of the process to a stage of its recovery", "stage"}},
        {"ibiswall_leading", {"1 while this entry leads", ""}},
        {"ibiswall_ready", {"1 while this entry reports that it is ready", ""}},
        {"ibiswall_health_checks_total", {"Health checks of the load balancer by status of the answer", "status"}},
        {"ibiswall_links_refused_total", {"Connections to the links' port refused or closed before identification", "reason"}},
        {"ibiswall_links_malformed_total", {"Links closed because of a malformed frame", ""}},
        {"ibiswall_agents_lost_total", {"Agents whose right ran out", ""}},
        {"ibiswall_registrations_failed_total", {"Attempts to register an agent in the store that failed", ""}},
        {"ibiswall_placements_total", {"Runs placed by this leader", ""}},
        {"ibiswall_ends_total", {"Ends of runs told to this leader, by kind", "how"}},
        {"ibiswall_run_crashes_total", {"Runs during which their target crashed, as reported to this leader", "cause"}},
        {"ibiswall_jobs_given_up_total", {"Jobs failed because their tasks crashed targets", ""}},
        {"ibiswall_unstorable_jobs_total", {"Jobs that this leader has failed because the store did not take their records", ""}},
        {"ibiswall_containments_total", {"Times that a queue was contained, since its jobs crashed targets", ""}},
        {"ibiswall_interfering_pairs", {"Pairs of kinds of tasks that this leader keeps apart, since one slows the other down", ""}},
        {"ibiswall_target_stalls_total", {"Times that this leader found a target stalled, tried it, or used it again", "change"}},
        {"ibiswall_missing_runs_total", {"Runs that the full report of their agent lacked, so that their tasks are placed again", ""}},
        {"ibiswall_rejections_total", {"Starts that targets or agents rejected", "reason"}},
        {"ibiswall_withdrawn_total", {"Unknown jobs that this leader has withdrawn, since they were cancelled", ""}},
        {"ibiswall_handler_failures_total", {"Handlers that an exception ended", ""}},
        {"ibiswall_unservable_total", {"Jobs that this leader refused since they cannot be served in time, by when it knew", "reason"}},
        {"ibiswall_predicted_wait_seconds", {"Predicted time until a job that arrives now has started, by queue", "queue"}},
        {"ibiswall_open_jobs", {"Jobs of this leader that have not ended", ""}},
        {"ibiswall_store_calls_total", {"Calls to the store by outcome", "outcome"}},
        {"ibiswall_store_seconds", {"Time of calls to the store, by kind", "kind"}},
        {"ibiswall_starts_total", {"Starts sent to the target, by outcome", "outcome"}},
        {"ibiswall_start_seconds", {"Time of starts sent to the target", ""}},
        {"ibiswall_fenced_total", {"Times that this agent asked for a higher fence, since its target had received one", ""}},
        {"ibiswall_runs", {"Runs on the target that go on", ""}},
        {"ibiswall_target_answering", {"1 while the target answers", ""}},
    };
    return descriptions;
}

// Bucket bounds in seconds, chosen for sub-second tasks.
prometheus::Histogram::BucketBoundaries bounds()
{
    return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};
}

struct Metrics
{
    prometheus::Registry registry_;
    std::unordered_map<std::string, prometheus::Counter *> counters_;
    std::unordered_map<std::string, prometheus::Histogram *> histograms_;
    std::unordered_map<std::string, prometheus::Gauge *> gauges_;
};

Metrics &metrics()
{
    static Metrics instance;
    return instance;
}

prometheus::Labels labelsOf(const Description &description, const std::string &label)
{
    return *description.label_ == '\0' ? prometheus::Labels{} : prometheus::Labels{{description.label_, label}};
}

// Finds the series with this name and label, and creates it on its first use.
template<typename Series, typename Build>
Series &find(std::unordered_map<std::string, Series *> &cache, const std::string &name, const std::string &label, Build build)
{
    const std::string key = name + '\0' + label;
    const auto found = cache.find(key);
    if (found != cache.end()) {
        return *found->second;
    }
    const Description &description = table().at(name);
    Series &series = build(description, labelsOf(description, label));
    cache[key] = &series;
    return series;
}

} // namespace

void count(const std::string &name, const std::string &label)
{
    find(metrics().counters_, name, label, [&](const Description &description, const prometheus::Labels &labels) -> prometheus::Counter & {
        return prometheus::BuildCounter().Name(name).Help(description.help_).Register(metrics().registry_).Add(labels);
    }).Increment();
}

void observe(const std::string &name, Millis duration, const std::string &label)
{
    find(metrics().histograms_, name, label,
         [&](const Description &description, const prometheus::Labels &labels) -> prometheus::Histogram & {
             return prometheus::BuildHistogram().Name(name).Help(description.help_).Register(metrics().registry_).Add(labels, bounds());
         })
        .Observe(static_cast<double>(duration.count_) / millisPerSecond);
}

void gauge(const std::string &name, double value, const std::string &label)
{
    find(metrics().gauges_, name, label, [&](const Description &description, const prometheus::Labels &labels) -> prometheus::Gauge & {
        return prometheus::BuildGauge().Name(name).Help(description.help_).Register(metrics().registry_).Add(labels);
    }).Set(value);
}

std::string metricsText()
{
    return prometheus::TextSerializer().Serialize(metrics().registry_.Collect());
}

void observeStore(const char *kind, const char *outcome, Millis duration)
{
    count("ibiswall_store_calls_total", outcome);
    observe("ibiswall_store_seconds", duration, kind);
}

MetricsServer::MetricsServer(boost::asio::io_context &io)
    : server_(io, monitoringLimits("metrics"), [](const HttpRequest &request, const Respond &respond) {
        constexpr int ok = 200;
        constexpr int notFound = 404;
        HttpReply reply = jsonReply(request.path_ == "/metrics" ? ok : notFound, {});
        if (reply.status_ == ok) {
            reply.contentType_ = "text/plain; version=0.0.4";
            reply.body_ = metricsText();
        }
        respond(std::move(reply));
    })
{
}

Result<std::uint16_t> MetricsServer::listen(const Address &address)
{
    return server_.listen(address);
}

} // namespace ibiswall::node
