// Renders settings, starts and ends processes, and calls entries.

#include "cell.hpp"

#include "record.hpp"
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

using Json = nlohmann::json;

namespace {

constexpr const char *program = "target/ibiswall";
constexpr const char *host = "desk.example";

// A free port. Its socket stays bound without listening, so that nobody else gets the port before a process listens at it.
std::uint16_t freePort()
{
    constexpr int first = 10000;
    constexpr int last = 30000;
    static std::mt19937 random(std::random_device{}());
    static std::set<int> tried;
    for (;;) {
        const int port = std::uniform_int_distribution<int>(first, last)(random);
        if (!tried.insert(port).second) {
            continue;
        }
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            close(socket);
            continue;
        }
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        return static_cast<std::uint16_t>(port);
    }
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// Fills in a template of the deploy file.
void render(const std::string &file, const std::map<std::string, std::string> &values, const std::filesystem::path &to)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    std::string out = text.str();
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (std::size_t at = out.find(placeholder); at != std::string::npos; at = out.find(placeholder)) {
            out.replace(at, placeholder.size(), value);
        }
    }
    if (out.empty() || out.find("{{") != std::string::npos) {
        throw std::runtime_error(file + " is missing or has an unknown placeholder");
    }
    std::ofstream(to) << out;
}

} // namespace

Cell::Cell(const CellOptions &options)
    : store_(*new Store)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ibiswall-review-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    for (int i = 0; i < options.entries_; ++i) {
        Node node;
        node.name_ = "front-" + std::to_string(i + 1);
        node.command_ = "cell-entry";
        node.settings_ = folder_ / (node.name_ + ".json");
        node.log_ = folder_ / (node.name_ + ".log");
        node.storePort_ = freePort();
        node.callersPort_ = freePort();
        node.readyPort_ = freePort();
        node.metricsPort_ = freePort();
        store_.serveAt(node.storePort_);
        render("deploy/entry.json",
               {{"node", node.name_},
                {"zone", zones[static_cast<std::size_t>(i) % zones.size()]},
                {"listen.front", loopback(node.callersPort_)},
                {"listen.ready", loopback(node.readyPort_)},
                {"ip", "127.0.0.1"},
                {"port_range.0", std::to_string(freePort())},
                {"port_range.1", std::to_string(node.metricsPort_)},
                {"platform.address", loopback(node.storePort_)},
                {"limits.cpu_share", "0.25"},
                {"bounds.grace_s", "6"},
                {"bounds.status_s", "120"}},
               node.settings_);
        entries_.push_back(node);
    }
    for (int i = 0; i < options.workers_; ++i) {
        const auto at = static_cast<std::size_t>(i);
        WorkerOptions worker;
        worker.id_ = "worker-" + std::to_string(i + 1);
        worker.zone_ = zones[at % zones.size()];
        worker.port_ = freePort();
        worker.agentPort_ = freePort();
        worker.labels_ = at < options.labels_.size() ? options.labels_[at] : std::vector<std::string>{"a"};
        worker.cpu_ = options.workerCpu_;
        worker.seed_ = static_cast<std::uint32_t>(i + 1);
        Node node;
        node.name_ = "side-" + std::to_string(i + 1);
        node.command_ = "cell-agent";
        node.settings_ = folder_ / (node.name_ + ".json");
        node.log_ = folder_ / (node.name_ + ".log");
        node.storePort_ = freePort();
        node.metricsPort_ = freePort();
        store_.serveAt(node.storePort_);
        render("deploy/agent.json",
               {{"node", node.name_},
                {"zone", worker.zone_},
                {"listen.control", loopback(worker.agentPort_)},
                {"app", loopback(worker.port_)},
                {"ip", "127.0.0.1"},
                {"port_range.1", std::to_string(node.metricsPort_)},
                {"platform.address", loopback(node.storePort_)},
                {"bounds.grace_s", "6"},
                {"bounds.hold_max_ms", "1000"}},
               node.settings_);
        agents_.push_back(node);
        workers_.push_back(new Worker(worker));
    }
}

Cell::~Cell()
{
    for (auto *nodes : {&entries_, &agents_}) {
        for (Node &node : *nodes) {
            if (node.process_ > 0) {
                kill(node.process_, SIGCONT);
                kill(node.process_, SIGKILL);
                waitpid(node.process_, nullptr, 0);
            }
        }
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::cout << "logs in " << folder_.string() << std::endl;
    } else {
        std::filesystem::remove_all(folder_, ignored);
    }
}

void Cell::startProcess(Node &node)
{
    const pid_t parent = getpid();
    const std::string settings = "IBISWALL_SETTINGS=" + node.settings_.string();
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        constexpr mode_t ownerOnly = 0600;
        const int log = open(node.log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, ownerOnly);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        std::string memory = "IBISWALL_MEMORY_MB=260";
        std::string descriptors = "IBISWALL_MAX_DESCRIPTORS=4100";
        std::string path = "PATH=/usr/bin:/bin";
        std::string name = settings;
        std::string binary = program;
        std::string command = node.command_;
        char *arguments[] = {binary.data(), command.data(), nullptr};
        char *environment[] = {name.data(), memory.data(), descriptors.data(), path.data(), nullptr};
        execve(program, arguments, environment);
        _exit(1);
    }
    node.process_ = child;
    note("process " + node.name_ + " starts");
}

void Cell::sendSignal(const Node &node, int number)
{
    note("signal " + std::to_string(number) + " to " + node.name_);
    kill(node.process_, number);
}

void Cell::killAndRestart(Node &node, std::int64_t afterMs)
{
    sendSignal(node, SIGKILL);
    waitpid(node.process_, nullptr, 0);
    node.process_ = 0;
    sleepMs(afterMs);
    startProcess(node);
}

void Cell::configure(int version, const std::vector<std::string> &queues)
{
    Json routes = Json::array();
    for (const std::string &name : queues) {
        routes.push_back({{"name", name},
                          {"host", host},
                          {"prefix", "/" + name + "/"},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", 1500},
                          {"service", "desk"},
                          {"priority", 0},
                          {"max_attempts", 3},
                          {"stretch", 1.6},
                          {"target_duration_ms", 60}});
    }
    store_.put("op/config",
               {{"version", version},
                {"routes", routes},
                {"services", Json::array({{{"name", "desk"}, {"admission_control", true}}})},
                {"limits", {{"max_body_bytes", 262144}}}});
}

bool Cell::start()
{
    for (Worker *worker : workers_) {
        worker->start();
    }
    for (auto *nodes : {&entries_, &agents_}) {
        for (Node &node : *nodes) {
            startProcess(node);
        }
    }
    constexpr std::int64_t startLimitMs = 15000;
    constexpr std::int64_t settleMs = 1000;
    std::uint64_t number = 0xf000;
    const std::int64_t until = nowMs() + startLimitMs;
    while (nowMs() < until) {
        const std::string id = jobId(number++);
        const int tasks = static_cast<int>(workers_.size()) * 2;
        const bool accepted = submit(number % entries_.size(), "jobs", id, stepOf(tasks, 3000, 100), 2000).status_ == 200;
        for (int i = 0; accepted && i < 20; ++i) {
            sleepMs(100);
            if (state(0, "jobs", id).state_ != "completed") {
                continue;
            }
            sleepMs(settleMs);
            return true;
        }
        sleepMs(200);
    }
    return false;
}

Answer Cell::request(std::size_t entry,
                     const std::string &method,
                     const std::string &queue,
                     const std::string &id,
                     const std::string &body,
                     std::int64_t deadlineMs)
{
    Call call;
    call.method_ = method;
    call.target_ = "/" + queue + "/" + id;
    call.body_ = body;
    call.headers_ = {{"Host", host}, {"Deadline-Ms", std::to_string(deadlineMs)}};
    call.timeoutMs_ = deadlineMs;
    note("client sends " + method + ' ' + call.target_ + " to " + entries_[entry].name_);
    const CallResult result = callLoopback(entries_[entry].callersPort_, call);
    note("client gets " + std::to_string(result.status_) + ' ' + result.body_ + " for " + method + ' ' + call.target_);
    Answer answer{result.status_, {}};
    const Json json = Json::parse(result.body_, nullptr, false);
    if (json.is_object() && json.contains("state")) {
        answer.state_ = json["state"].get<std::string>();
    }
    return answer;
}

Answer Cell::submit(std::size_t entry, const std::string &queue, const std::string &id, const Json &step, std::int64_t deadlineMs)
{
    return submitSteps(entry, queue, id, Json::array({step}), deadlineMs);
}

Answer Cell::submitSteps(std::size_t entry, const std::string &queue, const std::string &id, const Json &steps, std::int64_t deadlineMs)
{
    const Json body = {{"spec", "ms=" + std::to_string(steps.at(0).at("estimate_ms").get<std::int64_t>())}, {"steps", steps}};
    return request(entry, "POST", queue, id, body.dump(), deadlineMs);
}

Answer Cell::state(std::size_t entry, const std::string &queue, const std::string &id)
{
    return request(entry, "GET", queue, id, {}, 2000);
}

Answer Cell::cancel(std::size_t entry, const std::string &queue, const std::string &id)
{
    return request(entry, "DELETE", queue, id, {}, 2000);
}

bool Cell::leads(std::size_t entry) const
{
    const CallResult metrics = callLoopback(entries_[entry].metricsPort_, {"GET", "/metrics", {}, {}, 2000});
    return metrics.body_.find("\nibiswall_leading 1") != std::string::npos;
}

std::vector<Run> Cell::allRuns() const
{
    std::vector<Run> all;
    for (const Worker *worker : workers_) {
        const std::vector<Run> runs = worker->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

Json stepOf(int tasks, std::int64_t cpu, std::int64_t durationMs)
{
    return {{"count", tasks}, {"cpu", cpu}, {"mem_mb", 64}, {"estimate_ms", durationMs}};
}

std::string jobId(std::uint64_t number)
{
    constexpr std::size_t length = 16;
    std::ostringstream out;
    out << std::hex << number;
    return std::string(length - out.str().size(), '0') + out.str();
}

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

bool isTroubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

int runCase(int argc, char **argv, int (*scenario)())
{
    constexpr int cannotRun = 2;
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return cannotRun;
    }
    signal(SIGPIPE, SIG_IGN);
    openRecord(argv[1]);
    int result = cannotRun;
    try {
        result = scenario();
    } catch (const std::exception &error) {
        headline(std::string("cannot run: ") + error.what());
    }
    headline("exit " + std::to_string(result));
    std::cout.flush();
    // The threads of the stand-ins are still running.
    _exit(result);
}

} // namespace review
