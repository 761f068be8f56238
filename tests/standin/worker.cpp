// Stand-in for a target of the users' platform: checks fences and its lease, lists runs and results, and sends heartbeats.
//
// A task runs for the number of milliseconds that follows "ms=" in its payload. Each start and each end is recorded as one line.
// A payload with "crash" ends the process when the task is started; the worker is back after crashDowntime.
// POST /standin/cpu with {"cpu":N} changes the capacity that the worker announces. It does not reject what does not fit.

#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <ibiswall/net.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <unistd.h>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

enum HttpStatus { Ok = 200, MalformedRequest = 400, NotFound = 404, Rejected = 409, MisdirectedRequest = 421 };

constexpr std::chrono::milliseconds heartbeatInterval(300);
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t defaultRunMillis = 50;
constexpr std::chrono::milliseconds crashDelay(5);
constexpr unsigned crashDowntimeSeconds = 2;

struct WorkerOptions
{
    std::string id_;
    std::string address_;
    Address agentAddress_;
    std::string domain_;
    std::string recordFile_;
    std::int64_t cpu_ = 8000;
    /// Fraction of orders that are executed late and never answered, from 0 to 1.
    double lateOrderRatio_ = 0;
    std::uint32_t seed_ = 1;
};

// Ends this process and starts the program again after the downtime. All connections are reset, and until then nothing
// listens at the worker's address.
[[noreturn]] void crashAndRestart(char **arguments)
{
    constexpr int firstSocket = 3;
    constexpr int maxDescriptors = 4096;
    for (int descriptor = firstSocket; descriptor < maxDescriptors; ++descriptor) {
        close(descriptor);
    }
    sleep(crashDowntimeSeconds);
    execv(arguments[0], arguments);
    _exit(1);
}

class Worker
{
public:
    Worker(boost::asio::io_context &io, WorkerOptions options, char **arguments)
        : io_(io)
        , arguments_(arguments)
        , options_(std::move(options))
        , crashTimer_(io)
        , heartbeatTimer_(io)
        , tickTimer_(io)
        , agent_(io, options_.agentAddress_, 1)
        , incarnation_(wallClock().count_)
        , startedAt_(bootClock())
        , random_(options_.seed_)
        , recordFile_(options_.recordFile_, std::ios::app)
    {
        sendHeartbeat();
        tick();
    }

    void handle(const HttpRequest &request, const Respond &respond)
    {
        if (request.path_ == "/standin/cpu") {
            options_.cpu_ = Json::parse(request.body_).at("cpu").get<std::int64_t>();
            respond(jsonReply(Ok, "{}"));
            return;
        }
        const auto expected = request.customHeaders_.find("expect-instance");
        if (expected != request.customHeaders_.end() && expected->second != options_.id_) {
            respond(jsonReply(MisdirectedRequest, {}));
            return;
        }
        if (std::uniform_real_distribution<>(0, 1)(random_) < options_.lateOrderRatio_) {
            // Executes the order after a delay and never answers it.
            auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(500));
            unansweredCalls_.push_back(respond);
            timer->async_wait([this, timer, request](boost::system::error_code) { executeOrder(request, [](const HttpReply &) {}); });
            return;
        }
        executeOrder(request, respond);
    }

private:
    struct Run
    {
        std::uint64_t number_ = 0;
        std::int64_t endsAt_ = 0;
        std::int64_t cpu_ = 0;
    };

    struct PendingRenewal
    {
        Respond respond_;
        std::int64_t expiresAt_ = 0;
        std::uint64_t lastSeen_ = 0;
    };

    std::int64_t elapsedMillis() const
    {
        return (bootClock() - startedAt_).count_;
    }

    void recordEvent(const char *what, const std::string &task, std::uint64_t run)
    {
        recordFile_ << Json{{"what", what}, {"task", task}, {"run", run}, {"at", wallClock().count_}, {"worker", options_.id_}}.dump()
                    << std::endl;
    }

    void executeOrder(const HttpRequest &request, const Respond &respond)
    {
        const Json body = Json::parse(request.body_, nullptr, false);
        if (!body.is_object()) {
            respond(jsonReply(MalformedRequest, "{}"));
            return;
        }
        const auto fence = body.value("fence", std::uint64_t{0});
        if (fence < highestFence_) {
            reject(respond, "fence");
            return;
        }
        highestFence_ = fence;
        if (body.contains("deadline_ms")) {
            leaseUntil_ = std::max(leaseUntil_, body["deadline_ms"].get<std::int64_t>());
        }
        if (request.path_ == "/run-start") {
            start(body, respond);
        } else if (request.path_ == "/run-stop") {
            stop(body, respond);
        } else if (request.path_ == "/hold") {
            renew(body, respond);
        } else {
            respond(jsonReply(NotFound, "{}"));
        }
    }

    void reject(const Respond &respond, const char *reason) const
    {
        respond(jsonReply(Rejected, Json{{"clock_ms", elapsedMillis()}, {"reason", reason}, {"born", incarnation_}}.dump()));
    }

    void start(const Json &body, const Respond &respond)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint64_t>();
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number_ == run) {
            respond(jsonReply(Ok, Json{{"clock_ms", elapsedMillis()}, {"born", incarnation_}}.dump()));
            return;
        }
        if (found != running_.end() || run <= lastEndedRuns_[task]) {
            reject(respond, "old");
            return;
        }
        if (!body.contains("deadline_ms") || body["deadline_ms"].get<std::int64_t>() <= elapsedMillis()) {
            reject(respond, "late");
            return;
        }
        const auto spec = body.value("spec", std::string());
        const auto at = spec.find("ms=");
        running_[task] = {run, elapsedMillis() + (at == std::string::npos ? defaultRunMillis : std::stoll(spec.substr(at + 3))), 0};
        recordEvent("start", task, run);
        if (spec.find("crash") != std::string::npos) {
            crashTimer_.expires_after(crashDelay);
            crashTimer_.async_wait([this](boost::system::error_code) { crashAndRestart(arguments_); });
        }
        respond(jsonReply(Ok, Json{{"clock_ms", elapsedMillis()}, {"born", incarnation_}}.dump()));
    }

    void stop(const Json &body, const Respond &respond)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint64_t>();
        lastEndedRuns_[task] = std::max(lastEndedRuns_[task], run);
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number_ <= run) {
            endRun(task, "stopped");
        }
        respond(jsonReply(Ok, Json{{"clock_ms", elapsedMillis()}, {"born", incarnation_}}.dump()));
    }

    void endRun(const std::string &task, const char *outcome)
    {
        const std::uint64_t run = running_.at(task).number_;
        lastEndedRuns_[task] = std::max(lastEndedRuns_[task], run);
        running_.erase(task);
        results_.push_back(Json::array({++lastResultNumber_, task, run, outcome, ""}));
        recordEvent(outcome, task, run);
    }

    void renew(const Json &body, const Respond &respond)
    {
        const auto lastSeen = body.value("last_seen", std::uint64_t{0});
        results_.erase(std::remove_if(results_.begin(), results_.end(),
                                      [lastSeen](const Json &each) { return each[0].get<std::uint64_t>() <= lastSeen; }),
                       results_.end());
        const auto waitMillis = body.value("wait_ms", std::int64_t{0});
        if (waitMillis > 0 && results_.empty()) {
            pendingRenewals_.push_back({respond, elapsedMillis() + waitMillis, lastSeen});
            return;
        }
        sendStatus(respond);
    }

    void sendStatus(const Respond &respond) const
    {
        Json running = Json::array();
        for (const auto &[task, run] : running_) {
            running.push_back(Json::array({task, run.number_, "", 0, 0}));
        }
        Json ended = Json::array();
        std::copy_n(results_.begin(), std::min(results_.size(), maxListedEnds), std::back_inserter(ended));
        respond(jsonReply(
            Ok,
            Json{{"clock_ms", elapsedMillis()}, {"born", incarnation_}, {"running", std::move(running)}, {"ended", std::move(ended)}}
                .dump()));
    }

    // Ends runs that are done or whose lease has expired, then answers the pending renewals if there are results or their wait is over.
    void tick()
    {
        std::vector<std::pair<std::string, const char *>> ended;
        for (const auto &[task, run] : running_) {
            if (elapsedMillis() >= leaseUntil_) {
                ended.emplace_back(task, "lapsed");
            } else if (elapsedMillis() >= run.endsAt_) {
                ended.emplace_back(task, "done");
            }
        }
        for (const auto &[task, outcome] : ended) {
            endRun(task, outcome);
        }
        std::vector<PendingRenewal> remaining;
        for (PendingRenewal &each : std::exchange(pendingRenewals_, {})) {
            if (!results_.empty() || elapsedMillis() >= each.expiresAt_) {
                sendStatus(each.respond_);
            } else {
                remaining.push_back(std::move(each));
            }
        }
        pendingRenewals_ = std::move(remaining);
        tickTimer_.expires_after(std::chrono::milliseconds(2));
        tickTimer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    void sendHeartbeat()
    {
        PoolCall call;
        call.path_ = "/Instances.Heartbeat/" + options_.id_;
        call.headers_ = {{"Content-Type", "application/json"}};
        call.body_ = Json{{"service", "desk"},
                          {"address", options_.address_},
                          {"zone", options_.domain_},
                          {"version", "v1"},
                          {"slots", 8},
                          {"state", "ready"},
                          {"cold_left_ms", 0},
                          {"room", {{"cpu", options_.cpu_}, {"mem_mb", 65536}, {"gpu", 0}}},
                          {"labels", {"a", "r1"}},
                          {"clock_ms", elapsedMillis()},
                          {"born", incarnation_},
                          {"seq", ++sequence_}}
                         .dump();
        call.timeout_ = {1000};
        agent_.call(std::move(call), [](const PoolResult &) {});
        heartbeatTimer_.expires_after(heartbeatInterval);
        heartbeatTimer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                sendHeartbeat();
            }
        });
    }

    boost::asio::io_context &io_;
    char **arguments_;
    WorkerOptions options_;
    boost::asio::steady_timer crashTimer_;
    boost::asio::steady_timer heartbeatTimer_;
    boost::asio::steady_timer tickTimer_;
    HttpPool agent_;
    std::int64_t incarnation_;
    Millis startedAt_;
    std::minstd_rand random_;
    std::ofstream recordFile_;
    std::uint64_t highestFence_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::int64_t sequence_ = 0;
    std::map<std::string, Run> running_;
    std::map<std::string, std::uint64_t> lastEndedRuns_;
    std::vector<Json> results_;
    std::uint64_t lastResultNumber_ = 0;
    std::vector<PendingRenewal> pendingRenewals_;
    std::vector<Respond> unansweredCalls_;
};

} // namespace

} // namespace ibiswall

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    ibiswall::WorkerOptions workerOptions;
    std::string control;
    po::options_description options("options");
    options.add_options()("listen", po::value(&workerOptions.address_)->required(),
                          "IP:PORT")("control", po::value(&control)->required(),
                                     "IP:PORT of the agent")("id", po::value(&workerOptions.id_)->required(), "name of the worker")(
        "domain", po::value(&workerOptions.domain_)->default_value("fd-1"), "failure domain")(
        "record", po::value(&workerOptions.recordFile_)->default_value("/dev/null"), "file that receives a line for each start and end")(
        "cpu", po::value(&workerOptions.cpu_)->default_value(8000), "thousandths of a core")(
        "lost", po::value(&workerOptions.lateOrderRatio_)->default_value(0),
        "share of orders that are not answered and carried out late")("seed", po::value(&workerOptions.seed_)->default_value(1), "seed");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    workerOptions.agentAddress_ = ibiswall::parseAddress(control).value();
    boost::asio::io_context io(1);
    ibiswall::Worker worker(io, workerOptions, argv);
    ibiswall::HttpLimits limits;
    limits.extraHeader_ = "expect-instance";
    ibiswall::HttpServer server(
        io, limits, [&worker](const ibiswall::HttpRequest &request, const ibiswall::Respond &respond) { worker.handle(request, respond); });
    const auto port = server.listen(ibiswall::parseAddress(workerOptions.address_).value());
    if (port.has_error()) {
        std::cerr << port.error().text_ << '\n';
        return 1;
    }
    std::cout << "port " << port.value() << std::endl;
    io.run();
}
