// Writes the settings of a cell and starts its processes.

#include "cell.hpp"

#include "cluster.hpp"

#include <boost/test/framework.hpp>
#include <boost/test/results_collector.hpp>
#include <fstream>
#include <iostream>
#include <limits>
#include <thread>
#include <unistd.h>

namespace ibiswall::system {

namespace {

constexpr const char *host = "desk.example";
constexpr const char *prefix = "/jobs/";

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

Json makeConfiguration(bool admissionControl)
{
    const Json route = {{"name", "r-desk"},  {"host", host},  {"prefix", prefix},  {"kind", "non_idempotent"}, {"timeout_ms", 1500},
                        {"service", "desk"}, {"priority", 0}, {"max_attempts", 3}, {"stretch", 1.6},           {"target_duration_ms", 60}};
    const Json service = {{"name", "desk"}, {"admission_control", admissionControl}};
    return {{"version", 1}, {"routes", Json::array({route})}, {"services", Json::array({service})}};
}

void postJson(std::uint16_t port, const std::string &path, const Json &body)
{
    const auto answer = callHttp({"127.0.0.1", port}, {"POST", path, body.dump(), {}, {5000}, {}});
    if (answer.has_error()) {
        throw std::runtime_error(answer.error().text_);
    }
}

} // namespace

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
    return text;
}

Cell::Cell(const CellConfig &config)
    : config_(config)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ibiswall-cell-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    storePort_ = freePort();
    store_.emplace(std::vector<std::string>{STANDIN_STORE, "--listen", loopback(storePort_)});
    putKey("op/config", makeConfiguration(config.admissionControl_));
    for (int i = 1; i <= config.entries_; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        entries_.push_back({name, freePort(), freePort(), freePort(), freePort(), folder_ / (name + ".json"), std::nullopt, nullptr});
        CellEntry &entry = entries_.back();
        Json settings = {{"role", "cell-entry"},
                         {"name", name},
                         {"domain", "fd-1"},
                         {"callers", loopback(entry.callersPort_)},
                         {"ready", loopback(entry.readyPort_)},
                         {"links", loopback(entry.linksPort_)},
                         {"metrics", loopback(entry.metricsPort_)},
                         {"store", loopback(makeStorePath(entry.storePath_))},
                         {"grace_ms", 6000},
                         {"keep_states_ms", config_.stateRetention_.count_}};
        settings.update(config_.entrySettings_);
        if (const auto own = static_cast<std::size_t>(i - 1); own < config_.ownEntrySettings_.size()) {
            settings.update(config_.ownEntrySettings_[own]);
        }
        std::ofstream(entry.settingsFile_) << settings.dump(2);
    }
    for (int i = 1; i <= config.workers_; ++i) {
        const std::string name = "agent-" + std::to_string(i);
        workerNodes_.push_back({name, freePort(), freePort(), freePort(), folder_ / (name + ".json"), folder_ / (name + ".record"),
                                std::nullopt, std::nullopt, nullptr});
        WorkerNode &node = workerNodes_.back();
        Json settings = {{"role", "cell-agent"},
                         {"name", name},
                         {"domain", "fd-1"},
                         {"announcements", loopback(node.agentPort_)},
                         {"target", loopback(node.workerPort_)},
                         {"metrics", loopback(node.metricsPort_)},
                         {"store", loopback(makeStorePath(node.storePath_))},
                         {"grace_ms", 6000}};
        settings.update(config_.agentSettings_);
        std::ofstream(node.settingsFile_) << settings.dump(2);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        startEntry(i);
    }
    for (std::size_t i = 0; i < workerNodes_.size(); ++i) {
        startWorker(i);
        startAgent(i);
    }
}

Cell::~Cell()
{
    using namespace boost::unit_test;
    if (std::uncaught_exceptions() > 0 || !results_collector.results(framework::current_test_case_id()).passed()) {
        printLogs();
    }
    for (WorkerNode &node : workerNodes_) {
        node.agent_.reset();
        node.worker_.reset();
    }
    entries_.clear();
    store_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

// Prints what the processes have logged, so that a test that fails seldom can be traced.
void Cell::printLogs() const
{
    const auto print = [](const std::string &name, const std::optional<Process> &process) {
        if (process) {
            std::cerr << "--- " << name << (process->isRunning() ? "\n" : ", ended\n") << process->unreadOutput();
        }
    };
    for (const CellEntry &entry : entries_) {
        print(entry.name_, entry.process_);
    }
    for (const WorkerNode &node : workerNodes_) {
        print(node.name_, node.agent_);
        print("worker of " + node.name_, node.worker_);
    }
}

void Cell::startEntry(std::size_t index)
{
    CellEntry &entry = entries_[index];
    entry.process_.emplace(std::vector<std::string>{programPath(), "cell-entry", entry.settingsFile_.string()});
}

void Cell::startWorker(std::size_t index)
{
    WorkerNode &node = workerNodes_[index];
    node.worker_.emplace(std::vector<std::string>{STANDIN_WORKER, "--listen", loopback(node.workerPort_), "--control",
                                                  loopback(node.agentPort_), "--id", "worker-" + std::to_string(index + 1), "--record",
                                                  node.runRecordFile_.string(), "--lost", std::to_string(config_.lateOrderRatio_), "--seed",
                                                  std::to_string(index + 1), "--stop-ms", std::to_string(config_.stopMillis_), "--reply-ms",
                                                  std::to_string(config_.replyMillis_)});
}

void Cell::startAgent(std::size_t index)
{
    WorkerNode &node = workerNodes_[index];
    node.agent_.emplace(std::vector<std::string>{programPath(), "cell-agent", node.settingsFile_.string()});
}

void Cell::awaitReady()
{
    int number = 0x10000;
    await("a job completes", [&] { return submit(jobId(number++), 1, 1, true, {2000}).state_ == "completed"; });
}

std::uint16_t Cell::makeStorePath(std::unique_ptr<Relay> &relay) const
{
    if (!config_.useStoreRelays_) {
        return storePort_;
    }
    relay = std::make_unique<Relay>(storePort_);
    return relay->port();
}

Result<HttpResponse> Cell::call(std::size_t entry, const std::string &method, const std::string &path, const std::string &body) const
{
    return callHttp({"127.0.0.1", entries_[entry].callersPort_}, {method, prefix + path, body, {}, {12000}, host});
}

SubmitResult Cell::submit(const std::string &id, int tasks, int runMillis, bool bestEffort, Millis timeout) const
{
    return submitPayload(id, tasks, "ms=" + std::to_string(runMillis), bestEffort, timeout);
}

void Cell::setWorkerCpu(std::size_t index, int cpu) const
{
    postJson(workerNodes_[index].workerPort_, "/standin/cpu", {{"cpu", cpu}});
}

void Cell::restartWorker(std::size_t index, Millis down, Millis announcement) const
{
    postJson(workerNodes_[index].workerPort_, "/standin/restart", {{"down_ms", down.count_}, {"announce_ms", announcement.count_}});
}

void Cell::holdOrders(std::size_t index, bool hold) const
{
    postJson(workerNodes_[index].workerPort_, "/standin/orders", {{"hold", hold}});
}

void Cell::silenceWorker(std::size_t index, bool silent) const
{
    postJson(workerNodes_[index].workerPort_, "/standin/orders", {{"silent", silent}});
}

void Cell::releaseOrders(std::size_t index) const
{
    postJson(workerNodes_[index].workerPort_, "/standin/orders", {{"release", true}});
}

std::size_t Cell::mostRunsAtOnce(std::size_t index, Millis from, Millis until) const
{
    std::size_t running = 0;
    std::size_t most = 0;
    for (const Json &line : readJsonLines(workerNodes_[index].runRecordFile_)) {
        const bool started = line.at("what") == "start";
        if (line.at("what") != "noted" && line.at("what") != "unanswered") {
            running += started ? 1 : -1;
        }
        const Millis at{line.at("at").get<std::int64_t>()};
        if (started && at >= from && at <= until) {
            most = std::max(most, running);
        }
    }
    return most;
}

std::string Cell::state(const std::string &id) const
{
    const auto answer = call(0, "GET", id);
    const Json json = answer ? Json::parse(answer.value().body_, nullptr, false) : Json();
    return json.is_object() ? json.value("state", "") : "";
}

int Cell::submitOnce(std::size_t entry, const std::string &id, Millis timeout) const
{
    const Json step = {{"count", 1}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", 1}};
    const Json body = {{"spec", "ms=1"}, {"steps", Json::array({step})}};
    const auto answer = callHttp({"127.0.0.1", entries_[entry].callersPort_}, {"POST", prefix + id, body.dump(), {}, timeout, host});
    return answer ? answer.value().status_ : 0;
}

std::string Cell::metrics(std::size_t entry) const
{
    const auto answer = callHttp({"127.0.0.1", entries_[entry].metricsPort_}, {"GET", "/metrics", {}, {}, {2000}, {}});
    return answer ? answer.value().body_ : std::string();
}

SubmitResult Cell::submitPayload(const std::string &id, int tasks, const std::string &payload, bool bestEffort, Millis timeout) const
{
    const auto at = payload.find("ms=");
    const int runMillis = at == std::string::npos ? 1 : std::stoi(payload.substr(at + 3));
    const Json step = {{"count", tasks}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", runMillis}};
    Json body = {{"spec", payload}, {"steps", Json::array({step})}};
    if (bestEffort) {
        body["best_effort"] = true;
    }
    constexpr std::chrono::milliseconds retryInterval(100);
    SubmitResult result;
    const Millis deadline = bootClock() + timeout;
    for (std::size_t entry = static_cast<unsigned char>(id.back()); bootClock() < deadline; ++entry) {
        ++result.attempts_;
        const auto answer = call(entry % entries_.size(), "POST", id, body.dump());
        result.status_ = answer ? answer.value().status_ : 0;
        if (result.status_ == 200) {
            const Json json = Json::parse(answer.value().body_, nullptr, false);
            result.state_ = json.is_object() ? json.value("state", "") : "accepted";
            return result;
        }
        std::this_thread::sleep_for(retryInterval);
    }
    return result;
}

std::vector<CellEntry> &Cell::entries()
{
    return entries_;
}

std::vector<WorkerNode> &Cell::workerNodes()
{
    return workerNodes_;
}

std::vector<std::string> Cell::overlappingTasks(bool countUnended) const
{
    struct Span
    {
        std::int64_t begin_ = 0;
        std::int64_t end_ = 0;
    };
    std::map<std::string, std::vector<Span>> spans;
    for (const WorkerNode &node : workerNodes_) {
        std::map<std::pair<std::string, std::uint64_t>, std::int64_t> open;
        for (const Json &line : readJsonLines(node.runRecordFile_)) {
            const std::pair<std::string, std::uint64_t> run{line.at("task"), line.at("run")};
            if (line.at("what") == "unanswered") {
                continue;
            }
            if (line.at("what") == "start") {
                open[run] = line.at("at");
            } else if (const auto found = open.find(run); found != open.end()) {
                spans[run.first].push_back({found->second, line.at("at")});
                open.erase(found);
            }
        }
        for (const auto &[run, begin] : open) {
            if (countUnended) {
                spans[run.first].push_back({begin, std::numeric_limits<std::int64_t>::max()});
            }
        }
    }
    std::vector<std::string> result;
    for (auto &[task, runs] : spans) {
        std::sort(runs.begin(), runs.end(), [](const Span &a, const Span &b) { return a.begin_ < b.begin_; });
        for (std::size_t i = 1; i < runs.size(); ++i) {
            if (runs[i].begin_ < runs[i - 1].end_) {
                result.push_back(task);
            }
        }
    }
    return result;
}

std::size_t Cell::starts(const std::string &id) const
{
    std::size_t result = 0;
    for (const WorkerNode &node : workerNodes_) {
        for (const Json &line : readJsonLines(node.runRecordFile_)) {
            result += line.at("what") == "start" && line.at("task").get<std::string>().rfind(id, 0) == 0 ? 1 : 0;
        }
    }
    return result;
}

std::vector<std::string> Cell::repeatedTasks() const
{
    std::map<std::string, std::int64_t> notedAt;
    std::vector<std::pair<std::string, std::int64_t>> starts;
    for (const WorkerNode &node : workerNodes_) {
        for (const Json &line : readJsonLines(node.runRecordFile_)) {
            const auto at = line.at("at").get<std::int64_t>();
            if (line.at("what") == "noted") {
                const auto [first, added] = notedAt.try_emplace(line.at("task"), at);
                first->second = std::min(first->second, at);
            } else if (line.at("what") == "start") {
                starts.emplace_back(line.at("task"), at);
            }
        }
    }
    std::vector<std::string> result;
    for (const auto &[task, at] : starts) {
        const auto noted = notedAt.find(task);
        if (noted != notedAt.end() && at > noted->second) {
            result.push_back(task);
        }
    }
    return result;
}

std::map<std::string, int> Cell::endedRuns(const std::string &how) const
{
    std::map<std::string, int> result;
    for (const WorkerNode &node : workerNodes_) {
        for (const Json &line : readJsonLines(node.runRecordFile_)) {
            if (line.at("what") == how) {
                ++result[line.at("task").get<std::string>()];
            }
        }
    }
    return result;
}

std::size_t Cell::leader() const
{
    std::size_t found = entries_.size();
    await("one entry is the leader", [&] {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (metrics(i).find("\nibiswall_leading 1") != std::string::npos) {
                found = i;
                return true;
            }
        }
        return false;
    });
    return found;
}

} // namespace ibiswall::system
