// Renders the settings of the deploy files for loopback addresses, and starts the processes.

#include "deployment.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr const char *program = "target/ibiswall";
constexpr std::int64_t callTimeout = 2000;

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string readFile(const std::string &file)
{
    std::ifstream in(file);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

// Children of this process, for the end of a case that fails.
std::mutex childrenMutex; // NOLINT(bugprone-dynamic-static-initializers)
std::set<pid_t> children;

std::string temporaryFolder; // NOLINT(bugprone-dynamic-static-initializers)

// Ends all processes and removes their files. With KEEP_LOGS, the files stay.
void cleanUp()
{
    const std::lock_guard<std::mutex> lock(childrenMutex);
    for (const pid_t child : children) {
        int status = 0;
        ::kill(child, SIGKILL);
        waitpid(child, &status, 0);
    }
    children.clear();
    std::error_code ignored;
    if (!temporaryFolder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(temporaryFolder, ignored);
    }
}

} // namespace

std::string makeConfiguration(int version, const std::map<std::string, std::string> &queues, bool admissionControl)
{
    Json routes = Json::array();
    for (const auto &[name, prefix] : queues) {
        routes.push_back({{"name", name},
                          {"host", Deployment::host},
                          {"prefix", prefix},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", 1500},
                          {"service", "desk"},
                          {"priority", 0},
                          {"max_attempts", 3},
                          {"stretch", 1.6},
                          {"target_duration_ms", 60}});
    }
    const Json service = {{"name", "desk"}, {"admission_control", admissionControl}};
    return Json({{"version", version}, {"routes", std::move(routes)}, {"services", Json::array({service})}}).dump();
}

std::string makeJob(int tasks, int runMillis, bool bestEffort, int cpu)
{
    Json job = {{"spec", "ms=" + std::to_string(runMillis)},
                {"steps", Json::array({Json({{"count", tasks}, {"cpu", cpu}, {"mem_mb", 64}, {"estimate_ms", runMillis}})})}};
    if (bestEffort) {
        job["best_effort"] = true;
    }
    return job.dump();
}

bool isCalm()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

void sleepMillis(std::int64_t millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

Deployment &startDeployment(const DeploymentSettings &settings, Record &record)
{
    static std::unique_ptr<Deployment> deployment;
    deployment = std::make_unique<Deployment>(settings, record);
    return *deployment;
}

int runCase(int argc, char **argv, const std::function<int(Record &)> &body)
{
    constexpr int couldNotRun = 2;
    constexpr std::int64_t limitMillis = 115000;
    if (argc != 2) {
        std::cerr << "the file for the record is missing\n";
        return couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::thread([] {
        sleepMillis(limitMillis);
        cleanUp();
        std::_Exit(couldNotRun);
    }).detach();
    // Not destroyed before the process ends, since threads of stand-ins use it.
    static std::unique_ptr<Record> owner;
    owner = std::make_unique<Record>(argv[1]);
    Record &record = *owner;
    record.line(isCalm() ? "without the disruption" : "with the disruption");
    int result = couldNotRun;
    try {
        result = body(record);
    } catch (const std::exception &error) {
        record.line(std::string("could not run: ") + error.what());
    }
    cleanUp();
    record.line("exit code " + std::to_string(result));
    std::_Exit(result);
}

Deployment::Deployment(const DeploymentSettings &settings, Record &record)
    : settings_(settings)
    , record_(record)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ibiswall-review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = pattern;
    temporaryFolder = pattern;
    store_.put("op/config", makeConfiguration(1, {{"r-desk", "/jobs/"}}, true));
    const auto zones = static_cast<std::size_t>(settings_.zones_);
    for (std::size_t zone = 0; zone < zones; ++zone) {
        cut_.push_back(std::make_unique<std::atomic<bool>>(false));
        storePorts_.push_back(serve([this, zone](const Request &request) { return handleStoreCall(zone, request); }));
    }
    for (std::size_t zone = 0; zone < zones; ++zone) {
        addEntry(zone);
    }
    for (std::size_t zone = 0; zone < zones && settings_.separable_; ++zone) {
        for (std::size_t other = 0; other < zones; ++other) {
            if (other != zone) {
                relays_[{zone, other}] = std::make_unique<Relay>(entries_[other].links_);
            }
        }
    }
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < settings_.workersInZone_; ++i) {
            addAgent(zone, "side-" + std::to_string(zone) + "-" + std::to_string(i));
        }
    }
    for (Entry &entry : entries_) {
        start(entry.program_);
    }
    for (Agent &agent : agents_) {
        start(agent.program_);
    }
}

std::string Deployment::render(const std::string &file, const std::map<std::string, std::string> &fields) const
{
    std::string text = readFile(file);
    if (text.empty()) {
        throw std::runtime_error("cannot read " + file);
    }
    for (const auto &[name, value] : fields) {
        replaceAll(text, "{{" + name + "}}", value);
    }
    if (text.find("{{") != std::string::npos) {
        throw std::runtime_error("unknown field in " + file);
    }
    std::string out = folder_ + "/" + fields.at("node") + ".json";
    std::ofstream(out) << text;
    return out;
}

void Deployment::addEntry(std::size_t zone)
{
    Entry entry;
    entry.callers_ = reservePort();
    entry.ready_ = reservePort();
    entry.links_ = reservePort();
    entry.metrics_ = reservePort();
    const std::string name = "front-" + std::to_string(zone);
    entry.program_ = {name, "cell-entry",
                      render("deploy/entry.json",
                             {{"node", name},
                              {"zone", "zone-" + std::to_string(zone)},
                              {"ip", "127.0.0.1"},
                              {"listen.front", address(entry.callers_)},
                              {"listen.ready", address(entry.ready_)},
                              {"port_range.0", std::to_string(entry.links_)},
                              {"port_range.1", std::to_string(entry.metrics_)},
                              {"platform.address", address(storePorts_[zone])},
                              {"limits.cpu_share", "0.25"},
                              {"bounds.grace_s", "6"},
                              {"bounds.status_s", "120"}}),
                      -1};
    entries_.push_back(std::move(entry));
}

void Deployment::addAgent(std::size_t zone, const std::string &name)
{
    Agent agent;
    agent.zone_ = zone;
    const std::uint16_t control = reservePort();
    WorkerSettings worker;
    worker.id_ = "i-" + name;
    worker.zone_ = "zone-" + std::to_string(zone);
    worker.labels_ = {"a", "r-" + std::to_string(zone)};
    worker.cpu_ = settings_.cpu_;
    worker.stopMillis_ = settings_.stopMillis_;
    worker.replyMillis_ = settings_.replyMillis_;
    worker.control_ = control;
    worker.clockSpeed_ = zone == 0 ? settings_.clockSpeed_ : 1;
    agent.worker_ = std::make_unique<Worker>(worker, record_);
    agent.program_ = {name, "cell-agent",
                      render("deploy/agent.json",
                             {{"node", name},
                              {"zone", worker.zone_},
                              {"ip", "127.0.0.1"},
                              {"listen.control", address(control)},
                              {"app", address(agent.worker_->port())},
                              {"port_range.1", std::to_string(reservePort())},
                              {"platform.address", address(storePorts_[zone])},
                              {"bounds.grace_s", "6"},
                              {"bounds.hold_max_ms", "1000"}}),
                      -1};
    agents_.push_back(std::move(agent));
}

void Deployment::start(Program &process)
{
    const std::string log = folder_ + "/" + process.name_ + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t ownerOnly = 0600;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, ownerOnly);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string variable = "IBISWALL_SETTINGS=" + process.settingsFile_;
    std::string command = program;
    std::string role = process.role_;
    char *arguments[] = {command.data(), role.data(), nullptr};
    char *environment[] = {variable.data(), nullptr};
    const int error = posix_spawn(&process.pid_, program, &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error(std::string("cannot start ") + program);
    }
    const std::lock_guard<std::mutex> lock(childrenMutex);
    children.insert(process.pid_);
}

void Deployment::signal(const Program &program, int number)
{
    ::kill(program.pid_, number);
}

void Deployment::kill(Program &program)
{
    if (program.pid_ <= 0) {
        return;
    }
    ::kill(program.pid_, SIGKILL);
    int status = 0;
    waitpid(program.pid_, &status, 0);
    const std::lock_guard<std::mutex> lock(childrenMutex);
    children.erase(program.pid_);
    program.pid_ = -1;
}

// A zone reads the address of an entry of another zone as that of the proxy between them.
std::string Deployment::translate(std::size_t zone, const std::string &value) const
{
    std::string bytes = fromBase64(value);
    const std::string before = bytes;
    for (const auto &[path, relay] : relays_) {
        if (path.first == zone) {
            replaceAll(bytes, address(entries_[path.second].links_), address(relay->port()));
        }
    }
    return bytes == before ? value : toBase64(bytes);
}

std::optional<Reply> Deployment::handleStoreCall(std::size_t zone, const Request &request)
{
    if (*cut_[zone]) {
        return std::nullopt;
    }
    std::optional<Reply> reply = store_.handle(request);
    if (*cut_[zone] || !reply) {
        return std::nullopt;
    }
    if (relays_.empty() || reply->body_.find("\"value\"") == std::string::npos) {
        return reply;
    }
    Json json = Json::parse(reply->body_);
    if (json.contains("value")) {
        json["value"] = translate(zone, json["value"].get<std::string>());
    }
    for (const char *list : {"items", "events"}) {
        if (json.contains(list)) {
            for (Json &item : json[list]) {
                if (item.contains("value")) {
                    item["value"] = translate(zone, item["value"].get<std::string>());
                }
            }
        }
    }
    reply->body_ = json.dump();
    return reply;
}

void Deployment::cutZone(std::size_t zone, bool cut)
{
    record_.line("zone " + std::to_string(zone) + (cut ? " is cut off" : " is connected again"));
    *cut_[zone] = cut;
    for (const auto &[path, relay] : relays_) {
        if (path.first == zone || path.second == zone) {
            relay->cut(cut);
        }
    }
}

std::size_t Deployment::leaderZone() const
{
    constexpr int attempts = 100;
    constexpr std::int64_t pause = 100;
    for (int i = 0; i < attempts; ++i) {
        for (std::size_t zone = 0; zone < entries_.size(); ++zone) {
            if (call(entries_[zone].metrics_, "GET", "/metrics", {}, {}, callTimeout).body_.find("\nibiswall_leading 1")
                != std::string::npos) {
                return zone;
            }
        }
        sleepMillis(pause);
    }
    throw std::runtime_error("no leader");
}

Reply Deployment::request(std::size_t entry,
                          const std::string &method,
                          const std::string &id,
                          const std::string &body,
                          std::int64_t deadlineMillis,
                          const std::string &prefix)
{
    constexpr std::int64_t clientMargin = 200;
    const std::string name = "client: " + method + " " + prefix + id + " at front-" + std::to_string(entry);
    record_.line(name + (body.empty() ? std::string() : " " + body));
    Reply reply = call(entries_[entry].callers_, method, prefix + id, body,
                       {{"Host", host}, {"Deadline-Ms", std::to_string(deadlineMillis)}}, deadlineMillis + clientMargin);
    record_.line(name + " is answered "
                 + (reply.status_ == 0 ? std::string("nothing") : std::to_string(reply.status_) + " " + reply.body_));
    return reply;
}

void Deployment::awaitReady()
{
    constexpr std::int64_t limit = 20000;
    constexpr std::int64_t pause = 300;
    constexpr std::int64_t deadline = 1500;
    const std::int64_t begin = nowMillis();
    int number = 0;
    for (std::size_t entry = 0; entry < entries_.size();) {
        if (nowMillis() > begin + limit) {
            throw std::runtime_error("the deployment did not become ready");
        }
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0xf000 + number++);
        if (request(entry, "POST", id, makeJob(1, 10, true), deadline).status_ == 200) {
            ++entry;
        } else {
            sleepMillis(pause);
        }
    }
    // Agents connect to the leader within this time, and every worker has announced itself.
    constexpr std::int64_t settling = 4000;
    sleepMillis(settling);
}

std::vector<Entry> &Deployment::entries()
{
    return entries_;
}

std::vector<Agent> &Deployment::agents()
{
    return agents_;
}

Store &Deployment::store()
{
    return store_;
}

} // namespace review
