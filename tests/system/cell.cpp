// Writes settings for a cell and starts its processes.

#include "cell.hpp"

#include "cluster.hpp"

#include <fstream>
#include <ibiswall/base/base64.hpp>
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

Json configuration()
{
    const Json route = {{"name", "r-desk"},  {"host", host},  {"prefix", prefix},  {"kind", "non_idempotent"}, {"timeout_ms", 1500},
                        {"service", "desk"}, {"priority", 0}, {"max_attempts", 3}, {"stretch", 1.6},           {"target_duration_ms", 60}};
    const Json service = {{"name", "desk"}, {"admission_control", true}};
    return {{"version", 1}, {"routes", Json::array({route})}, {"services", Json::array({service})}};
}

} // namespace

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
    return text;
}

Cell::Cell(const CellShape &shape)
    : shape_(shape)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ibiswall-cell-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    storePort_ = freePort();
    store_.emplace(std::vector<std::string>{STANDIN_STORE, "--listen", loopback(storePort_)});
    write("op/config", configuration());
    for (int i = 1; i <= shape.entries_; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        entries_.push_back({name, freePort(), freePort(), freePort(), folder_ / (name + ".json"), std::nullopt});
        const CellEntry &entry = entries_.back();
        const Json settings = {{"role", "cell-entry"},
                               {"name", name},
                               {"domain", "fd-1"},
                               {"callers", loopback(entry.callersPort_)},
                               {"ready", loopback(entry.readyPort_)},
                               {"links", loopback(freePort())},
                               {"metrics", loopback(entry.metricsPort_)},
                               {"store", loopback(storePort_)},
                               {"grace_ms", 6000},
                               {"keep_states_ms", shape_.keepStates_.count_}};
        std::ofstream(entry.settings_) << settings.dump(2);
    }
    for (int i = 1; i <= shape.workers_; ++i) {
        const std::string name = "agent-" + std::to_string(i);
        places_.push_back(
            {name, freePort(), freePort(), folder_ / (name + ".json"), folder_ / (name + ".record"), std::nullopt, std::nullopt});
        const CellPlace &place = places_.back();
        const Json settings = {{"role", "cell-agent"},
                               {"name", name},
                               {"domain", "fd-1"},
                               {"announcements", loopback(place.agentPort_)},
                               {"target", loopback(place.workerPort_)},
                               {"metrics", loopback(freePort())},
                               {"store", loopback(storePort_)},
                               {"grace_ms", 6000}};
        std::ofstream(place.settings_) << settings.dump(2);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        startEntry(i);
    }
    for (std::size_t i = 0; i < places_.size(); ++i) {
        startWorker(i);
        startAgent(i);
    }
}

Cell::~Cell()
{
    for (CellPlace &place : places_) {
        place.agent_.reset();
        place.worker_.reset();
    }
    entries_.clear();
    store_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void Cell::startEntry(std::size_t index)
{
    CellEntry &entry = entries_[index];
    entry.process_.emplace(std::vector<std::string>{programPath(), "cell-entry", entry.settings_.string()});
}

void Cell::startWorker(std::size_t index)
{
    CellPlace &place = places_[index];
    place.worker_.emplace(std::vector<std::string>{STANDIN_WORKER, "--listen", loopback(place.workerPort_), "--control",
                                                   loopback(place.agentPort_), "--id", "worker-" + std::to_string(index + 1), "--record",
                                                   place.record_.string(), "--lost", std::to_string(shape_.lostOrders_), "--seed",
                                                   std::to_string(index + 1)});
}

void Cell::startAgent(std::size_t index)
{
    CellPlace &place = places_[index];
    place.agent_.emplace(std::vector<std::string>{programPath(), "cell-agent", place.settings_.string()});
}

void Cell::awaitService()
{
    int number = 0x10000;
    await("a job runs to its end", [&] { return submit(jobId(number++), 1, 1, true, {2000}).state_ == "completed"; });
}

void Cell::callStore(const std::string &path, const Json &body) const
{
    const auto answer = callHttp({"127.0.0.1", storePort_}, {"POST", path, body.dump(), {}, {5000}, {}});
    if (answer.has_error()) {
        throw std::runtime_error(answer.error().text_);
    }
}

void Cell::write(const std::string &key, const Json &value)
{
    const auto present = callHttp({"127.0.0.1", storePort_}, {"GET", "/kv-key?key=" + key, {}, {}, {5000}, {}});
    const bool exists = present && present.value().status_ == 200;
    const std::int64_t revision = exists ? Json::parse(present.value().body_).at("rev").get<std::int64_t>() : 0;
    const Json body = {{"expected", Json::array({Json::object({{"key", key}, {"rev", revision}})})},
                       {"writes", Json::array({Json::object({{"key", key}, {"value", toBase64(value.dump())}, {"lease", 0}})})},
                       {"deletes", Json::array()}};
    callStore("/kv-txn", body);
}

void Cell::remove(const std::string &key)
{
    const Json body = {{"expected", Json::array()}, {"writes", Json::array()}, {"deletes", Json::array({key})}};
    callStore("/kv-txn", body);
}

void Cell::setStore(const Json &mode)
{
    callStore("/standin/mode", mode);
}

Result<HttpResponse> Cell::call(std::size_t entry, const std::string &method, const std::string &path, const std::string &body) const
{
    return callHttp({"127.0.0.1", entries_[entry].callersPort_}, {method, prefix + path, body, {}, {12000}, host});
}

JobAnswer Cell::submit(const std::string &id, int tasks, int runMillis, bool ephemeral, Millis patience) const
{
    const Json step = {{"count", tasks}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", runMillis}};
    Json body = {{"spec", "ms=" + std::to_string(runMillis)}, {"steps", Json::array({step})}};
    if (ephemeral) {
        body["best_effort"] = true;
    }
    constexpr std::chrono::milliseconds pause(100);
    JobAnswer out;
    const Millis until = bootClock() + patience;
    for (std::size_t entry = static_cast<unsigned char>(id.back()); bootClock() < until; ++entry) {
        ++out.sends_;
        const auto answer = call(entry % entries_.size(), "POST", id, body.dump());
        out.status_ = answer ? answer.value().status_ : 0;
        if (out.status_ == 200) {
            const Json json = Json::parse(answer.value().body_, nullptr, false);
            out.state_ = json.is_object() ? json.value("state", "") : "accepted";
            return out;
        }
        std::this_thread::sleep_for(pause);
    }
    return out;
}

std::vector<CellEntry> &Cell::entries()
{
    return entries_;
}

std::vector<CellPlace> &Cell::places()
{
    return places_;
}

namespace {

std::vector<Json> readRecord(const std::filesystem::path &file)
{
    std::vector<Json> lines;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        lines.push_back(Json::parse(line));
    }
    return lines;
}

} // namespace

std::vector<std::string> Cell::overlaps() const
{
    struct Span
    {
        std::int64_t begin_ = 0;
        std::int64_t end_ = 0;
    };
    std::map<std::string, std::vector<Span>> spans;
    for (const CellPlace &place : places_) {
        std::map<std::pair<std::string, std::uint64_t>, std::int64_t> open;
        for (const Json &line : readRecord(place.record_)) {
            const std::pair<std::string, std::uint64_t> run{line.at("task"), line.at("run")};
            if (line.at("what") == "start") {
                open[run] = line.at("at");
            } else if (const auto found = open.find(run); found != open.end()) {
                spans[run.first].push_back({found->second, line.at("at")});
                open.erase(found);
            }
        }
    }
    std::vector<std::string> out;
    for (auto &[task, runs] : spans) {
        std::sort(runs.begin(), runs.end(), [](const Span &a, const Span &b) { return a.begin_ < b.begin_; });
        for (std::size_t i = 1; i < runs.size(); ++i) {
            if (runs[i].begin_ < runs[i - 1].end_) {
                out.push_back(task);
            }
        }
    }
    return out;
}

std::map<std::string, int> Cell::done() const
{
    std::map<std::string, int> out;
    for (const CellPlace &place : places_) {
        for (const Json &line : readRecord(place.record_)) {
            if (line.at("what") == "done") {
                ++out[line.at("task").get<std::string>()];
            }
        }
    }
    return out;
}

std::size_t Cell::leader() const
{
    std::size_t found = entries_.size();
    await("one entry leads", [&] {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            const auto answer = callHttp({"127.0.0.1", entries_[i].metricsPort_}, {"GET", "/metrics", {}, {}, {2000}, {}});
            if (answer && answer.value().body_.find("ibiswall_leading 1") != std::string::npos) {
                found = i;
                return true;
            }
        }
        return false;
    });
    return found;
}

} // namespace ibiswall::system
