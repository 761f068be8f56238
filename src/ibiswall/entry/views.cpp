// Formats the status, audit trail and metrics of an entry.

#include "views.hpp"

#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxChangesDescribed = 10;

Json agentJson(const Agent &agent)
{
    return {{"target", agent.info_.place_.target_},
            {"worker", agent.info_.place_.worker_},
            {"failure_domain", agent.info_.place_.domain_},
            {"slots", agent.info_.slots_},
            {"in_flight", agent.placed_.size()},
            {"leaving", agent.leaving_},
            {"version", agent.version_}};
}

// The fields are null for an entry that never reported its status.
Json entryJson(const std::string &name, const PeerStatus *status, Millis now)
{
    if (status == nullptr) {
        return {{"entry", name}, {"version", nullptr}, {"settled", nullptr}, {"heard_ms_ago", nullptr}};
    }
    return {{"entry", name},
            {"version", status->version_},
            {"settled", status->caughtUp_},
            {"heard_ms_ago", (now - status->queriedAt_).count_}};
}

void addCounter(prometheus::Registry &registry, const char *name, const char *help, std::uint64_t value)
{
    prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({}).Increment(static_cast<double>(value));
}

void addGauge(prometheus::Registry &registry, const char *name, const char *help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
}

} // namespace

std::string formatStatus(const Dispatcher &dispatcher, const ConfigQuorum &configQuorum, Span<const std::string> entries, Millis now)
{
    const PlatformReadTime &read = configQuorum.lastRead_;
    const Configuration &configuration = dispatcher.configuration_;
    Json json;
    json["entry"] = dispatcher.self_.name_;
    json["version"] = configuration.version_;
    json["read_ms_ago"] = read.known_ ? Json((now - read.asOf_).count_) : Json();
    json["settled"] = configQuorum.caughtUp_;
    json["grant_ms"] = leaseDuration(configQuorum, configuration.version_, now).count_;
    json["domains_out"] = configuration.domainsOut_;
    json["targets_out"] = configuration.targetsOut_;
    json["open_jobs"] = dispatcher.openJobs_;
    json["queued_tasks"] = dispatcher.queue_.size_;
    json["agents"] = Json::array();
    json["unconfirmed"] = Json::array();
    for (const auto &[ref, agent] : dispatcher.agentPool_.agents_) {
        json["agents"].push_back(agentJson(agent));
        if (agent.version_ < configuration.version_) {
            json["unconfirmed"].push_back(agent.info_.place_.target_);
        }
    }
    json["entries"] = Json::array();
    json["unconfirmed_entries"] = Json::array();
    for (const std::string &name : entries) {
        const auto status = configQuorum.peerStatuses_.find(name);
        const bool known = status != configQuorum.peerStatuses_.end();
        json["entries"].push_back(entryJson(name, known ? &status->second : nullptr, now));
        if (!known || status->second.version_ < configuration.version_) {
            json["unconfirmed_entries"].push_back(name);
        }
    }
    return json.dump();
}

std::string formatAudit(const std::deque<Change> &changes, std::uint64_t after)
{
    Json json;
    json["changes"] = Json::array();
    for (const Change &change : changes) {
        if (change.version_ > after) {
            json["changes"].push_back(Json::parse(formatChange(change)));
        }
    }
    return json.dump();
}

std::string describeSince(const std::deque<Change> &changes, std::uint64_t version)
{
    std::string text;
    std::size_t count = 0;
    for (const Change &change : changes) {
        if (change.version_ <= version) {
            continue;
        }
        if (++count > maxChangesDescribed) {
            return text + "; and later ones, see the audit trail";
        }
        text += "; version " + std::to_string(change.version_) + " by " + change.who_ + ": " + describe(change.intent_) + ", before "
            + change.before_ + ", after " + change.after_;
    }
    return text;
}

std::string formatMetrics(const Dispatcher &dispatcher, const ConfigQuorum &configQuorum, Millis now)
{
    const PlatformReadTime &read = configQuorum.lastRead_;
    const DispatchCounts &counts = dispatcher.counts_;
    prometheus::Registry registry;
    addCounter(registry, "ibiswall_jobs_accepted_total", "Jobs accepted", counts.jobsAccepted_);
    addCounter(registry, "ibiswall_jobs_refused_total", "Jobs refused whole", counts.jobsRefused_);
    addCounter(registry, "ibiswall_jobs_complete_total", "Jobs answered complete", counts.jobsComplete_);
    addCounter(registry, "ibiswall_jobs_failed_total", "Jobs answered failed", counts.jobsFailed_);
    addCounter(registry, "ibiswall_tasks_done_total", "Tasks done", counts.tasksDone_);
    addCounter(registry, "ibiswall_tasks_failed_total", "Tasks that ran and failed", counts.tasksFailed_);
    addCounter(registry, "ibiswall_tasks_not_run_total", "Tasks reported as not run", counts.tasksNotRun_);
    addCounter(registry, "ibiswall_tasks_may_have_run_total", "Tasks reported as may have run", counts.tasksMayHaveRun_);
    addCounter(registry, "ibiswall_orders_sent_total", "Orders sent to agents", counts.ordersSent_);
    addCounter(registry, "ibiswall_orders_refused_total", "Orders refused by agents", counts.ordersRejected_);
    addGauge(registry, "ibiswall_configuration_version", "Configuration version in force here",
             static_cast<double>(dispatcher.configuration_.version_));
    addGauge(registry, "ibiswall_open_jobs", "Jobs without an answer", static_cast<double>(dispatcher.openJobs_));
    addGauge(registry, "ibiswall_queued_tasks", "Tasks that wait for a slot", static_cast<double>(dispatcher.queue_.size_));
    addGauge(registry, "ibiswall_agents", "Linked agents", static_cast<double>(dispatcher.agentPool_.agents_.size()));
    addGauge(registry, "ibiswall_configuration_age_ms", "Milliseconds since the platform was read",
             read.known_ ? static_cast<double>((now - read.asOf_).count_) : -1);
    addGauge(registry, "ibiswall_grant_ms", "Milliseconds for which agents may start tasks without hearing again",
             static_cast<double>(leaseDuration(configQuorum, dispatcher.configuration_.version_, now).count_));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace ibiswall
