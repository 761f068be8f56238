// Writes the settings of a small deployment and starts its processes.

#include "cluster.hpp"

#include <chrono>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace ibiswall::system {

namespace {

constexpr std::chrono::seconds awaitTimeout(30);
constexpr std::chrono::milliseconds pollInterval(20);

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

Result<HttpResponse> callLoopback(
    std::uint16_t port, const std::string &method, const std::string &target, const std::string &body, const std::string &token)
{
    constexpr Millis limit{60000};
    return callHttp({"127.0.0.1", port}, {method, target, body, token, limit});
}

void writeSettings(const std::filesystem::path &file, const Json &json)
{
    std::ofstream(file) << "// Written by a test.\n" << json.dump(2);
}

} // namespace

std::string programPath()
{
    return IBISWALL_BINARY;
}

std::vector<Json> readJsonLines(const std::filesystem::path &file)
{
    std::vector<Json> lines;
    std::ifstream in(file);
    // Without a line break at its end, the last line is still being written: the kernel shows a write page by page.
    for (std::string line; std::getline(in, line) && !in.eof();) {
        lines.push_back(Json::parse(line));
    }
    return lines;
}

void await(const std::string &what, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + awaitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("timed out waiting until " + what);
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

Cluster::Cluster(const ClusterConfig &config)
    : config_(config)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ibiswall-test-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    platformPort_ = freePort();
    startPlatform();
    for (int i = 1; i <= config.entries_; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        entries_.push_back({name, freePort(), freePort(), folder_ / (name + ".json"), folder_ / (name + ".log"), {}, std::nullopt});
    }
    for (int i = 0; i < config.targets_; ++i) {
        const std::string name = "target-" + std::to_string(i + 1);
        targetNodes_.push_back({name,
                                "fd-" + std::to_string(i % config.domains_ + 1),
                                freePort(),
                                folder_ / (name + ".json"),
                                folder_ / (name + ".starts"),
                                {},
                                std::nullopt,
                                std::nullopt});
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        writeEntrySettings(entries_[i]);
        startEntry(i);
    }
    for (std::size_t i = 0; i < targetNodes_.size(); ++i) {
        writeAgentSettings(targetNodes_[i]);
        startTarget(i);
        startAgent(i);
    }
    awaitEntries();
    awaitAgents(targetNodes_.size());
    awaitHealthy();
}

Cluster::~Cluster()
{
    targetNodes_.clear();
    entries_.clear();
    platform_.reset();
    std::filesystem::remove_all(folder_);
}

std::uint16_t Cluster::insertRelay(std::unique_ptr<Relay> &relay, std::uint16_t port) const
{
    if (!config_.useRelays_) {
        return port;
    }
    relay = std::make_unique<Relay>(port);
    return relay->port();
}

void Cluster::writeEntrySettings(EntryNode &entry)
{
    Json json = {{"role", "entry"},
                 {"name", entry.name_},
                 {"failure_domain", "fd-1"},
                 {"callers_address", loopback(entry.callersPort_)},
                 {"links_address", loopback(entry.linksPort_)},
                 {"platform_addresses", {loopback(platformPort_)}},
                 {"peers", Json::array()},
                 {"members", {{{"name", "studio"}, {"token", "studio-token"}}, {{"name", "rival"}, {"token", "rival-token"}}}},
                 {"operators", {{{"name", "ops"}, {"token", "ops-token"}}}},
                 {"log_level", "warning"}};
    for (const EntryNode &other : entries_) {
        if (other.name_ != entry.name_) {
            json["peers"].push_back(
                {{"name", other.name_}, {"links_address", loopback(insertRelay(entry.relays_[other.name_], other.linksPort_))}});
        }
    }
    json.update(config_.entrySettings_);
    writeSettings(entry.settingsFile_, json);
}

void Cluster::writeAgentSettings(TargetNode &node)
{
    Json json = {{"role", "agent"},
                 {"target", node.name_},
                 {"worker", "worker-of-" + node.name_},
                 {"failure_domain", node.domain_},
                 {"slots", config_.slots_},
                 {"target_address", loopback(node.targetPort_)},
                 {"health_address", loopback(freePort())},
                 {"entry_addresses", Json::array()},
                 {"log_level", "warning"}};
    node.relays_.resize(entries_.size());
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        json["entry_addresses"].push_back(loopback(insertRelay(node.relays_[i], entries_[i].linksPort_)));
    }
    writeSettings(node.settingsFile_, json);
}

void Cluster::startPlatform()
{
    platform_.emplace(std::vector<std::string>{STANDIN_PLATFORM, "--listen", loopback(platformPort_)});
}

void Cluster::startEntry(std::size_t index)
{
    entries_[index].process_.emplace(std::vector<std::string>{IBISWALL_BINARY, "entry", entries_[index].settingsFile_.string()},
                                     entries_[index].logFile_.string());
}

void Cluster::startTarget(std::size_t index)
{
    TargetNode &node = targetNodes_[index];
    node.target_.emplace(std::vector<std::string>{STANDIN_TARGET, "--listen", loopback(node.targetPort_), "--run-ms",
                                                  std::to_string(config_.runMillis_), "--record", node.startsFile_.string()});
}

void Cluster::startAgent(std::size_t index)
{
    targetNodes_[index].agent_.emplace(std::vector<std::string>{IBISWALL_BINARY, "agent", targetNodes_[index].settingsFile_.string()});
}

Result<HttpResponse> Cluster::callAsMember(std::size_t entry,
                                           const std::string &method,
                                           const std::string &target,
                                           const std::string &body) const
{
    return callLoopback(entries_[entry].callersPort_, method, target, body, "Bearer studio-token");
}

Result<HttpResponse> Cluster::callAsOtherMember(std::size_t entry,
                                                const std::string &method,
                                                const std::string &target,
                                                const std::string &body) const
{
    return callLoopback(entries_[entry].callersPort_, method, target, body, "Bearer rival-token");
}

Result<HttpResponse> Cluster::callAsOperator(std::size_t entry,
                                             const std::string &method,
                                             const std::string &target,
                                             const std::string &body) const
{
    return callLoopback(entries_[entry].callersPort_, method, target, body, "Bearer ops-token");
}

std::string Cluster::allocateId(std::size_t entry) const
{
    return Json::parse(callAsMember(entry, "POST", "/v1/ids").value().body_)["ids"][0];
}

Json Cluster::submit(std::size_t entry, const std::string &kind, std::size_t tasks) const
{
    Json body = {{"kind", kind}, {"tasks", Json::array()}};
    for (std::size_t i = 0; i < tasks; ++i) {
        body["tasks"].push_back("task " + std::to_string(i));
    }
    return Json::parse(callAsMember(entry, "PUT", "/v1/jobs/" + allocateId(entry), body.dump()).value().body_);
}

Json Cluster::planAndConfirm(std::size_t entry, const Json &intent) const
{
    Json plan = Json::parse(callAsOperator(entry, "POST", "/v1/plan", intent.dump()).value().body_);
    if (!plan.contains("digest")) {
        return plan;
    }
    const Json confirmation
        = {{"intent", intent}, {"base_version", plan["base_version"]}, {"digest", plan["digest"]}, {"who", ""}, {"why", "test"}};
    return Json::parse(callAsOperator(entry, "POST", "/v1/confirm", confirmation.dump()).value().body_);
}

void Cluster::setPlatformMode(const Json &mode) const
{
    callLoopback(platformPort_, "POST", "/standin/mode", mode.dump(), {}).value();
}

void Cluster::setTargetMode(std::size_t index, const Json &mode) const
{
    callLoopback(targetNodes_[index].targetPort_, "POST", "/standin/mode", mode.dump(), {}).value();
}

Json Cluster::starts(std::size_t index) const
{
    return readJsonLines(targetNodes_[index].startsFile_);
}

std::string Cluster::readLog(std::size_t entry) const
{
    std::ifstream file(entries_[entry].logFile_);
    return {std::istreambuf_iterator<char>(file), {}};
}

void Cluster::awaitEntries() const
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        await("every entry has confirmed its peers", [&] {
            const auto answer = callAsOperator(i, "GET", "/v1/status");
            const Json status = answer.has_value() ? Json::parse(answer.value().body_, nullptr, false) : Json();
            return status.is_object() && status["unconfirmed_entries"].empty();
        });
    }
}

void Cluster::awaitHealthy() const
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        await("every entry passes its health check", [&] {
            const auto answer = callAsMember(i, "GET", "/healthz");
            return answer.has_value() && answer.value().status_ == 200;
        });
    }
}

void Cluster::awaitAgents(std::size_t count) const
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        await("every entry is linked to all agents", [&] {
            const auto answer = callAsOperator(i, "GET", "/v1/status");
            const Json status = answer.has_value() ? Json::parse(answer.value().body_, nullptr, false) : Json();
            return status.is_object() && status["agents"].size() == count && !status["read_ms_ago"].is_null();
        });
    }
}

} // namespace ibiswall::system
