// Starts the processes of a deployment, calls them, and checks the records of the workers.

#include "deployment.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <ibiswall/base/base64.hpp>
#include <ibiswall/net/httppool.hpp>
#include <iostream>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace ibiswall::review {

namespace {

constexpr const char *host = "desk.example";
constexpr const char *prefix = "/jobs/";
constexpr const char *program = "target/ibiswall";
constexpr const char *standinFolder = "build-review/";
constexpr std::int64_t resendMillis = 1300;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

Answer callAddress(std::uint16_t port, PoolCall call)
{
    boost::asio::io_context io(1);
    HttpPool pool(io, {"127.0.0.1", port}, 0);
    Answer out;
    pool.call(std::move(call), [&out](const PoolResult &result) {
        if (result.code_ == Code::Ok) {
            out = {result.status_, result.body_};
        }
    });
    io.run();
    return out;
}

} // namespace

Child::Child(const std::vector<std::string> &command, const std::string &output, const std::string &settings)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t ownerOnly = 0600;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, ownerOnly);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    const std::string variable = "IBISWALL_SETTINGS=" + settings;
    std::vector<char *> environment;
    for (char **each = environ; *each != nullptr; ++each) {
        environment.push_back(*each);
    }
    if (!settings.empty()) {
        environment.push_back(const_cast<char *>(variable.c_str()));
    }
    environment.push_back(nullptr);
    const int error = posix_spawn(&pid_, command[0].c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        pid_ = -1;
        throw std::runtime_error("cannot start " + command[0]);
    }
}

Child::~Child()
{
    kill();
}

void Child::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void Child::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

std::string Answer::state() const
{
    const Json json = Json::parse(body_, nullptr, false);
    return json.is_object() ? json.value("state", "") : "";
}

Deployment::Deployment(const std::string &record)
    : startedAt_(bootClock().count_)
    , record_(record, std::ios::trunc)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ibiswall-review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = pattern;
}

Deployment::~Deployment()
{
    for (auto &[name, side] : sides_) {
        side->agent_.reset();
        side->worker_.reset();
    }
    for (auto &[name, entry] : entries_) {
        entry->process_.reset();
    }
    store_.reset();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder_, ignored);
    } else {
        std::cerr << "kept " << folder_.string() << '\n';
    }
}

std::string Deployment::render(const std::string &file, const std::map<std::string, std::string> &values) const
{
    std::ifstream in(file);
    std::stringstream read;
    read << in.rdbuf();
    std::string text = read.str();
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at + value.size())) {
            text.replace(at, placeholder.size(), value);
        }
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
        throw std::runtime_error("cannot render " + file);
    }
    return text;
}

Entry &Deployment::addEntry(const std::string &name, const std::string &zone)
{
    auto entry = std::make_unique<Entry>();
    entry->name_ = name;
    entry->zone_ = zone;
    entry->callers_ = system::freePort();
    entry->storePath_ = std::make_unique<system::Relay>(storePort_);
    entry->silencer_ = std::make_unique<Silencer>(entry->storePath_->port());
    entry->settings_ = (folder_ / (name + ".json")).string();
    std::ofstream(entry->settings_) << render("deploy/entry.json",
                                              {{"node", name},
                                               {"zone", zone},
                                               {"listen.front", loopback(entry->callers_)},
                                               {"listen.ready", loopback(system::freePort())},
                                               {"ip", "127.0.0.1"},
                                               {"port_range.0", std::to_string(system::freePort())},
                                               {"port_range.1", std::to_string(system::freePort())},
                                               {"platform.address", loopback(entry->silencer_->port())},
                                               {"limits.cpu_share", "0.25"},
                                               {"bounds.grace_s", "6"},
                                               {"bounds.status_s", "120"}});
    return *(entries_[name] = std::move(entry));
}

Side &Deployment::addSide(const std::string &name, const WorkerPlan &plan)
{
    auto side = std::make_unique<Side>();
    side->name_ = name;
    side->plan_ = plan;
    side->app_ = system::freePort();
    side->control_ = system::freePort();
    side->storePath_ = std::make_unique<system::Relay>(storePort_);
    side->settings_ = (folder_ / (name + ".json")).string();
    side->recordFile_ = (folder_ / (name + ".runs")).string();
    std::ofstream(side->settings_) << render("deploy/agent.json",
                                             {{"node", name},
                                              {"zone", plan.zone_},
                                              {"listen.control", loopback(side->control_)},
                                              {"app", loopback(side->app_)},
                                              {"ip", "127.0.0.1"},
                                              {"port_range.1", std::to_string(system::freePort())},
                                              {"platform.address", loopback(side->storePath_->port())},
                                              {"bounds.grace_s", "6"},
                                              {"bounds.hold_max_ms", "1000"}});
    return *(sides_[name] = std::move(side));
}

void Deployment::start(Entry &entry)
{
    note("start " + entry.name_);
    entry.process_ = std::make_unique<Child>(std::vector<std::string>{program, "cell-entry"}, (folder_ / (entry.name_ + ".log")).string(),
                                             entry.settings_);
}

void Deployment::startWorker(Side &side)
{
    std::vector<std::string> command = {std::string(standinFolder) + "standin_worker",
                                        "--id",
                                        "i-" + side.name_,
                                        "--listen",
                                        loopback(side.app_),
                                        "--control",
                                        loopback(side.control_),
                                        "--zone",
                                        side.plan_.zone_,
                                        "--cpu",
                                        std::to_string(side.plan_.cpu_),
                                        "--record",
                                        side.recordFile_};
    for (const std::string &label : side.plan_.labels_) {
        command.insert(command.end(), {"--label", label});
    }
    note("start worker i-" + side.name_);
    side.worker_ = std::make_unique<Child>(command, (folder_ / (side.name_ + ".worker.log")).string());
}

void Deployment::startAgent(Side &side)
{
    note("start agent " + side.name_);
    side.agent_ = std::make_unique<Child>(std::vector<std::string>{program, "cell-agent"}, (folder_ / (side.name_ + ".log")).string(),
                                          side.settings_);
}

void Deployment::killWorker(Side &side)
{
    note("kill worker i-" + side.name_);
    side.worker_->kill();
    const Json line = {{"at", wallClock().count_}, {"worker", "i-" + side.name_}, {"what", "killed"}, {"task", ""}, {"run", 0}};
    std::ofstream(side.recordFile_, std::ios::app) << line.dump() << std::endl;
}

void Deployment::startAll()
{
    for (auto &[name, entry] : entries_) {
        start(*entry);
        // The first one becomes the leader.
        constexpr int polls = 60;
        for (int i = 0; i < polls && leader().empty(); ++i) {
            sleep(50);
        }
    }
    for (auto &[name, side] : sides_) {
        startAgent(*side);
        startWorker(*side);
    }
    int number = 0xf0000;
    for (auto &[name, entry] : entries_) {
        constexpr std::int64_t startLimit = 15000;
        const std::int64_t until = elapsed() + startLimit;
        Json job = makeJob(1, 100, 1);
        job["best_effort"] = true;
        while (call(*entry, "POST", jobId(++number), job.dump(), {1500}, true).state() != "completed") {
            if (elapsed() > until) {
                throw std::runtime_error("the deployment does not serve");
            }
            sleep(100);
        }
    }
    // Until every agent has linked to the leader.
    sleep(4000);
    note("ready, leader " + leader());
}

void Deployment::startStore(bool admissionControl)
{
    storePort_ = system::freePort();
    store_
        = std::make_unique<Child>(std::vector<std::string>{std::string(standinFolder) + "standin_store", "--listen", loopback(storePort_)},
                                  (folder_ / "store.log").string());
    for (int i = 0; i < 50; ++i) {
        if (putConfig(1, {prefix}, admissionControl)) {
            return;
        }
        sleep(100);
    }
    throw std::runtime_error("the store does not answer");
}

bool Deployment::putConfig(int version, const std::vector<std::string> &prefixes, bool admissionControl)
{
    Json routes = Json::array();
    for (const std::string &each : prefixes) {
        routes.push_back({{"name", "r" + each},
                          {"host", host},
                          {"prefix", each},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", 1500},
                          {"service", "desk"},
                          {"priority", 0},
                          {"max_attempts", 3},
                          {"stretch", 1.6},
                          {"target_duration_ms", 60}});
    }
    const Json service = {{"name", "desk"}, {"admission_control", admissionControl}};
    const Json config = {{"version", version}, {"routes", routes}, {"services", Json::array({service})}};
    const Json write = {{"key", "op/config"}, {"value", toBase64(config.dump())}, {"lease", 0}};
    const Json body = {{"expected", Json::array()}, {"writes", Json::array({write})}, {"deletes", Json::array()}};
    return callStore("POST", "/kv-txn", body).is_object();
}

Json Deployment::callStore(const std::string &method, const std::string &path, const Json &body)
{
    PoolCall call;
    call.method_ = method;
    call.path_ = path;
    call.body_ = body.is_null() ? std::string() : body.dump();
    call.timeout_ = {2000};
    const Answer answer = callAddress(storePort_, std::move(call));
    return answer.status_ == 200 ? Json::parse(answer.body_, nullptr, false) : Json();
}

void Deployment::setStoreDown(bool down)
{
    note(down ? "the store answers 503" : "the store serves again");
    callStore("POST", "/standin/mode", {{"down", down}});
}

Answer Deployment::call(
    const Entry &entry, const std::string &method, const std::string &id, const std::string &body, Millis deadline, bool quiet)
{
    PoolCall call;
    call.method_ = method;
    call.path_ = id.substr(0, 1) == "/" ? id : prefix + id;
    call.headers_ = {{"Host", host}, {"Content-Type", "application/json"}, {"Deadline-Ms", std::to_string(deadline.count_)}};
    call.body_ = body;
    call.timeout_ = deadline;
    if (!quiet) {
        note("to " + entry.name_ + ": " + method + " " + id + " " + body.substr(0, 120));
    }
    Answer answer = callAddress(entry.callers_, std::move(call));
    if (!quiet) {
        note("from " + entry.name_ + ": " + method + " " + id + " -> " + std::to_string(answer.status_) + " " + answer.body_);
    }
    return answer;
}

Answer Deployment::submit(const std::vector<Entry *> &entries, const std::string &id, const Json &job, bool quiet)
{
    constexpr int maxAttempts = 8;
    Answer answer;
    for (int i = 0; i < maxAttempts; ++i) {
        answer = call(*entries[static_cast<std::size_t>(i) % entries.size()], "POST", id, job.dump(), {1500}, quiet);
        if (answer.status_ != 0 && answer.status_ != 502 && answer.status_ != 504) {
            break;
        }
        sleep(resendMillis);
    }
    return answer;
}

std::string Deployment::leader()
{
    const Json item = callStore("GET", "/kv-key?key=ibiswall/leader", Json());
    const std::string value = item.is_object() ? fromBase64(item.at("value").get<std::string>()).value_or("") : std::string();
    return value.substr(0, value.find(' '));
}

void Deployment::note(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    record_ << elapsed() << " ms  " << text << std::endl;
}

void Deployment::sleep(std::int64_t millis) const
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

std::int64_t Deployment::elapsed() const
{
    return bootClock().count_ - startedAt_;
}

std::vector<Event> Deployment::events() const
{
    std::vector<Event> out;
    for (const auto &[name, side] : sides_) {
        std::ifstream in(side->recordFile_);
        for (std::string line; std::getline(in, line);) {
            const Json json = Json::parse(line, nullptr, false);
            if (json.is_object()) {
                out.push_back({json.at("at"), json.at("worker"), json.at("what"), json.at("task"), json.at("run")});
            }
        }
    }
    std::stable_sort(out.begin(), out.end(), [](const Event &a, const Event &b) {
        return std::pair(a.at_, a.what_ == "start") < std::pair(b.at_, b.what_ == "start");
    });
    return out;
}

void Deployment::recordEvents()
{
    const std::int64_t offset = wallClock().count_ - elapsed();
    for (const Event &event : events()) {
        record_ << event.at_ - offset << " ms  " << event.worker_ << ": " << event.what_ << ' ' << event.task_ << " run " << event.run_
                << '\n';
    }
    record_.flush();
}

Json makeJob(int count, std::int64_t cpu, std::int64_t millis, const std::string &label)
{
    Json step = {{"count", count}, {"cpu", cpu}, {"mem_mb", 64}, {"estimate_ms", millis}};
    if (!label.empty()) {
        step["requires"] = label;
    }
    return {{"spec", "ms=" + std::to_string(millis) + " cpu=" + std::to_string(cpu)}, {"steps", Json::array({step})}};
}

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
    return text;
}

bool isWithoutTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

std::vector<std::string> findDoubleRuns(const std::vector<Event> &events)
{
    std::vector<std::string> out;
    std::map<std::string, std::vector<std::int64_t>> lapses;
    for (const Event &event : events) {
        if (event.what_ == "lapse" || event.what_ == "born" || event.what_ == "killed") {
            lapses[event.worker_].push_back(event.at_);
        }
    }
    // Ends as done that were taken note of under the same lease, by task.
    std::map<std::string, std::vector<const Event *>> notedEnds;
    std::map<std::pair<std::string, std::uint64_t>, const Event *> ends;
    for (const Event &event : events) {
        if (event.what_ == "done") {
            ends[{event.worker_ + event.task_, event.run_}] = &event;
        } else if (event.what_ == "noted done") {
            const Event *end = ends[{event.worker_ + event.task_, event.run_}];
            const auto &lapsed = lapses[event.worker_];
            const bool between
                = std::any_of(lapsed.begin(), lapsed.end(), [&](std::int64_t at) { return at >= end->at_ && at <= event.at_; });
            if (!between) {
                notedEnds[event.task_].push_back(end);
            }
        }
    }
    std::map<std::string, std::map<std::pair<std::string, std::uint64_t>, std::int64_t>> active;
    for (const Event &event : events) {
        auto &running = active[event.task_];
        const std::pair<std::string, std::uint64_t> run{event.worker_, event.run_};
        if (event.what_ == "start") {
            for (const auto &[other, since] : running) {
                out.push_back(event.task_ + ": run " + std::to_string(event.run_) + " on " + event.worker_ + " started while run "
                              + std::to_string(other.second) + " was active on " + other.first + " since "
                              + std::to_string(event.at_ - since) + " ms");
            }
            for (const Event *end : notedEnds[event.task_]) {
                if (end->at_ < event.at_) {
                    out.push_back(event.task_ + ": run " + std::to_string(event.run_) + " on " + event.worker_ + " started "
                                  + std::to_string(event.at_ - end->at_) + " ms after run " + std::to_string(end->run_)
                                  + " had ended as done on " + end->worker_ + ", which was taken note of");
                }
            }
            running[run] = event.at_;
        } else if (event.what_ == "born" || event.what_ == "killed") {
            for (auto &[task, runs] : active) {
                for (auto each = runs.begin(); each != runs.end();) {
                    each = each->first.first == event.worker_ ? runs.erase(each) : std::next(each);
                }
            }
        } else {
            running.erase(run);
        }
    }
    return out;
}

int runCase(int argc, char **argv, CaseResult (*play)(Deployment &))
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return CannotRun;
    }
    try {
        Deployment deployment(argv[1]);
        const CaseResult result = play(deployment);
        deployment.recordEvents();
        return result;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return CannotRun;
    }
}

} // namespace ibiswall::review
