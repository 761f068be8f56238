// Stand-in for a target of the users' platform: checks fences and its lease, lists runs and results, and sends heartbeats.
//
// A task runs for the number of milliseconds that follows "ms=" in its payload. Each start and each end is recorded as one line,
// and when a result that is done is discarded before the lease has lapsed.
// A payload with "crash" ends the process when the task is started; the worker is back after crashDowntimeSeconds.
// POST /standin/cpu with {"cpu":N} changes the announced capacity. The worker does not reject what does not fit.
// POST /standin/restart with {"down_ms":N,"announce_ms":M} begins a new incarnation that knows nothing of before: the worker answers
// no call for N ms, and sends its first heartbeat M ms later. Connections stay open, so calls that were meant for the former
// incarnation reach the new one.
// POST /standin/orders with {"hold":true} makes the worker leave starts and stops unanswered and keep them, and record each such start;
// {"hold":false} ends that for later calls. {"release":true} carries out the kept ones, with their deadlines counted from then.
// With {"silent":true} renewals get no answer and are never carried out, and no heartbeats are sent.

#include "workeroptions.hpp"

#include <boost/asio/steady_timer.hpp>
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
constexpr std::int64_t maxLeaseMillis = 1000;
constexpr std::chrono::milliseconds crashDelay(5);
constexpr unsigned crashDowntimeSeconds = 2;

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
        if (request.path_ == "/standin/restart") {
            const Json body = Json::parse(request.body_);
            restart(Millis{body.at("down_ms").get<std::int64_t>()}, Millis{body.at("announce_ms").get<std::int64_t>()});
            respond(jsonReply(Ok, "{}"));
            return;
        }
        if (request.path_ == "/standin/orders") {
            const Json body = Json::parse(request.body_);
            holdsOrders_ = body.value("hold", holdsOrders_);
            silent_ = body.value("silent", silent_);
            if (body.value("release", false)) {
                releaseOrders();
            }
            respond(jsonReply(Ok, "{}"));
            return;
        }
        if (bootClock() < upAt_) {
            unansweredCalls_.push_back(respond);
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
        const bool renewal = request.path_ == "/hold";
        if (renewal ? silent_ : holdsOrders_) {
            if (!renewal) {
                holdOrder(request);
            }
            unansweredCalls_.push_back(respond);
            return;
        }
        executeOrder(request, options_.replyMillis_ > 0 ? delayed(respond) : respond);
    }

private:
    void holdOrder(const HttpRequest &request)
    {
        const Json body = Json::parse(request.body_);
        if (request.path_ == "/run-start") {
            recordEvent("unanswered", body.at("task"), body.at("run"));
        }
        heldOrders_.emplace_back(request, elapsedMillis());
    }

    void releaseOrders()
    {
        for (auto &[request, arrivedAt] : std::exchange(heldOrders_, {})) {
            Json body = Json::parse(request.body_);
            if (body.contains("deadline_ms")) {
                body["deadline_ms"] = body["deadline_ms"].get<std::int64_t>() + elapsedMillis() - arrivedAt;
            }
            request.body_ = body.dump();
            executeOrder(request, [](const HttpReply &) {});
        }
    }

    Respond delayed(const Respond &respond)
    {
        return [this, respond](const HttpReply &reply) {
            auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(options_.replyMillis_));
            timer->async_wait([timer, respond, reply](boost::system::error_code) { respond(reply); });
        };
    }

    void restart(Millis down, Millis announcement)
    {
        for (const auto &[task, run] : running_) {
            recordEvent("crashed", task, run.number_);
        }
        running_.clear();
        stopping_.clear();
        lastEndedRuns_.clear();
        results_.clear();
        lastResultNumber_ = 0;
        lastBeforeLapse_ = 0;
        highestFence_ = 0;
        leaseUntil_ = 0;
        sequence_ = 0;
        for (PendingRenewal &each : std::exchange(pendingRenewals_, {})) {
            unansweredCalls_.push_back(std::move(each.first));
        }
        upAt_ = bootClock() + down;
        startedAt_ = upAt_;
        incarnation_ = (wallClock() + down).count_;
        announcedFrom_ = upAt_ + announcement;
    }

    struct Run
    {
        std::uint64_t number_ = 0;
        std::int64_t endsAt_ = 0;
    };

    /// A renewal that waits for a result, and until when.
    using PendingRenewal = std::pair<Respond, std::int64_t>;

    std::int64_t elapsedMillis() const
    {
        return (bootClock() - startedAt_).count_;
    }

    bool isLapsed() const
    {
        return elapsedMillis() >= leaseUntil_;
    }

    // The end of a run from before a lapse does not bar another start once it is discarded.
    void noteLapse()
    {
        lastBeforeLapse_ = isLapsed() ? lastResultNumber_ : lastBeforeLapse_;
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
        noteLapse();
        if (body.contains("deadline_ms")) {
            leaseUntil_ = std::max(leaseUntil_, std::min(body["deadline_ms"].get<std::int64_t>(), elapsedMillis() + maxLeaseMillis));
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

    void accept(const Respond &respond) const
    {
        respond(jsonReply(Ok, Json{{"clock_ms", elapsedMillis()}, {"born", incarnation_}}.dump()));
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
            accept(respond);
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
        running_[task] = {run, elapsedMillis() + (at == std::string::npos ? defaultRunMillis : std::stoll(spec.substr(at + 3)))};
        recordEvent("start", task, run);
        if (spec.find("crash") != std::string::npos) {
            crashTimer_.expires_after(crashDelay);
            crashTimer_.async_wait([this](boost::system::error_code) { crashAndRestart(arguments_); });
        }
        accept(respond);
    }

    void stop(const Json &body, const Respond &respond)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint64_t>();
        lastEndedRuns_[task] = std::max(lastEndedRuns_[task], run);
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number_ <= run) {
            stopping_.try_emplace(task, elapsedMillis() + options_.stopMillis_);
        }
        accept(respond);
    }

    void endRun(const std::string &task, const char *outcome)
    {
        const std::uint64_t run = running_.at(task).number_;
        lastEndedRuns_[task] = std::max(lastEndedRuns_[task], run);
        running_.erase(task);
        stopping_.erase(task);
        results_.push_back(Json::array({++lastResultNumber_, task, run, outcome, ""}));
        recordEvent(outcome, task, run);
    }

    void renew(const Json &body, const Respond &respond)
    {
        const auto lastSeen = body.value("last_seen", std::uint64_t{0});
        const auto kept = std::find_if(results_.begin(), results_.end(),
                                       [lastSeen](const Json &each) { return each[0].get<std::uint64_t>() > lastSeen; });
        std::for_each(results_.begin(), kept, [this](const Json &each) {
            if (each[3] == "done" && each[0].get<std::uint64_t>() > lastBeforeLapse_) {
                recordEvent("noted", each[1], each[2]);
            }
        });
        results_.erase(results_.begin(), kept);
        const auto waitMillis = body.value("wait_ms", std::int64_t{0});
        if (waitMillis > 0 && results_.empty()) {
            pendingRenewals_.emplace_back(respond, elapsedMillis() + waitMillis);
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
        noteLapse();
        for (const auto &[task, run] : running_) {
            if (isLapsed()) {
                ended.emplace_back(task, "lapsed");
            } else if (const auto stopping = stopping_.find(task); stopping != stopping_.end()) {
                if (elapsedMillis() >= stopping->second) {
                    ended.emplace_back(task, "stopped");
                }
            } else if (elapsedMillis() >= run.endsAt_) {
                ended.emplace_back(task, "done");
            }
        }
        for (const auto &[task, outcome] : ended) {
            endRun(task, outcome);
        }
        const auto due = std::stable_partition(pendingRenewals_.begin(), pendingRenewals_.end(), [this](const PendingRenewal &each) {
            return results_.empty() && elapsedMillis() < each.second;
        });
        std::for_each(due, pendingRenewals_.end(), [this](const PendingRenewal &each) { sendStatus(each.first); });
        pendingRenewals_.erase(due, pendingRenewals_.end());
        tickTimer_.expires_after(std::chrono::milliseconds(2));
        tickTimer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    void sendHeartbeat()
    {
        heartbeatTimer_.expires_after(heartbeatInterval);
        heartbeatTimer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                sendHeartbeat();
            }
        });
        if (silent_ || bootClock() < announcedFrom_) {
            return;
        }
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
    /// Calls get no answer before this time, and heartbeats are sent from announcedFrom_ on.
    Millis upAt_;
    Millis announcedFrom_;
    bool holdsOrders_ = false;
    bool silent_ = false;
    /// Starts and stops that are kept, in order of arrival, with the time of each.
    std::vector<std::pair<HttpRequest, std::int64_t>> heldOrders_;
    std::minstd_rand random_;
    std::ofstream recordFile_;
    std::uint64_t highestFence_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::int64_t sequence_ = 0;
    std::map<std::string, Run> running_;
    /// Tasks that are being stopped, with the time at which they end.
    std::map<std::string, std::int64_t> stopping_;
    std::map<std::string, std::uint64_t> lastEndedRuns_;
    std::vector<Json> results_;
    std::uint64_t lastResultNumber_ = 0;
    std::uint64_t lastBeforeLapse_ = 0;
    std::vector<PendingRenewal> pendingRenewals_;
    std::vector<Respond> unansweredCalls_;
};

} // namespace

} // namespace ibiswall

int main(int argc, char **argv)
{
    const ibiswall::WorkerOptions workerOptions = ibiswall::parseWorkerOptions(argc, argv);
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
