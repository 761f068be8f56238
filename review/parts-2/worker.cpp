// A task runs for the milliseconds that follow "ms=" in its text.

#include "worker.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {

namespace {

using Json = nlohmann::json;

// As on the sheets of the users' deployments.
constexpr std::int64_t holdMaxMillis = 1000;
constexpr std::chrono::milliseconds heartbeatInterval(1500);
constexpr std::chrono::milliseconds tickInterval(2);
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t defaultRunMillis = 50;

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

Worker::Worker(WorkerSettings settings, Record &record)
    : settings_(std::move(settings))
    , record_(record)
    , startedAt_(nowMillis())
    , born_(unixMillis())
    , server_([this](const Request &request) { return handle(request); })
{
    std::thread([this] {
        for (;;) {
            std::this_thread::sleep_for(tickInterval);
            tick();
        }
    }).detach();
    sendHeartbeatsLater(0);
}

void Worker::sendHeartbeatsLater(std::int64_t delay)
{
    std::thread([this, delay, life = life_.load()] {
        std::this_thread::sleep_for(std::chrono::milliseconds(delay));
        sendHeartbeats(life);
    }).detach();
}

void Worker::crash()
{
    ++life_;
    server_.close();
    const std::lock_guard<std::mutex> lock(mutex_);
    record_.line(settings_.id_ + " crashes");
    down_ = true;
    while (!running_.empty()) {
        end(running_.begin()->first, "crashed");
    }
    stopping_.clear();
    lastEnded_.clear();
    ends_.clear();
    lastNumber_ = 0;
    lastBeforeLapse_ = 0;
    leaseUntil_ = 0;
    highestFence_ = 0;
}

void Worker::restart(std::int64_t firstHeartbeatMillis)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        record_.line(settings_.id_ + " is started again; its first heartbeat follows in " + std::to_string(firstHeartbeatMillis) + " ms");
        startedAt_ = nowMillis();
        born_ = unixMillis();
        down_ = false;
    }
    server_.open();
    sendHeartbeatsLater(firstHeartbeatMillis);
}

std::uint16_t Worker::port() const
{
    return server_.port();
}

int Worker::orders() const
{
    return orders_;
}

int Worker::unansweredOrders() const
{
    return unansweredOrders_;
}

void Worker::delayOrders(std::int64_t millis)
{
    orderDelay_ = millis;
}

std::int64_t Worker::clock() const
{
    return static_cast<std::int64_t>(static_cast<double>(nowMillis() - startedAt_) * settings_.clockSpeed_);
}

std::optional<Reply> Worker::handle(const Request &request)
{
    const auto expected = request.headers_.find("expect-instance");
    if (expected != request.headers_.end() && expected->second != settings_.id_) {
        return Reply{421, "{}"};
    }
    ++orders_;
    const std::int64_t delay = orderDelay_;
    if (delay > 0) {
        ++unansweredOrders_;
        record_.line(settings_.id_ + " leaves unanswered " + request.path_ + " " + request.body_);
        std::thread([this, request, delay] {
            std::this_thread::sleep_for(std::chrono::milliseconds(delay));
            const std::optional<Reply> reply = execute(request, false);
            record_.line(settings_.id_ + " carries out late " + request.path_ + " " + request.body_ + ": "
                         + (reply ? std::to_string(reply->status_) + " " + reply->body_ : std::string()));
        }).detach();
        return std::nullopt;
    }
    std::optional<Reply> reply = execute(request, true);
    std::this_thread::sleep_for(std::chrono::milliseconds(settings_.replyMillis_));
    return reply;
}

std::optional<Reply> Worker::execute(const Request &request, bool mayWait)
{
    const Json body = Json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
        return Reply{400, "{}"};
    }
    std::unique_lock<std::mutex> lock(mutex_);
    if (down_) {
        return std::nullopt;
    }
    const auto fence = body.value("fence", std::uint64_t{0});
    if (fence < highestFence_) {
        return reject("fence");
    }
    highestFence_ = fence;
    if (request.path_ == "/run-start") {
        return start(body);
    }
    if (request.path_ == "/run-stop") {
        return stop(body);
    }
    if (request.path_ == "/hold") {
        return hold(body, lock, mayWait);
    }
    return Reply{404, "{}"};
}

Reply Worker::accept() const
{
    return {200, Json({{"clock_ms", clock()}, {"born", born_}}).dump()};
}

Reply Worker::reject(const char *reason) const
{
    return {409, Json({{"clock_ms", clock()}, {"reason", reason}, {"born", born_}}).dump()};
}

// A lease never shortens, and none is longer than the maximum.
void Worker::extendLease(const Json &body)
{
    if (body.contains("deadline_ms")) {
        leaseUntil_ = std::max(leaseUntil_, std::min(body.at("deadline_ms").get<std::int64_t>(), clock() + holdMaxMillis));
    }
}

Reply Worker::start(const Json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint64_t>();
    if (!body.contains("deadline_ms") || body.at("deadline_ms").get<std::int64_t>() <= clock()) {
        return reject("late");
    }
    extendLease(body);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number_ == run) {
        return accept();
    }
    if (found != running_.end() || run <= lastEnded_[task]) {
        return reject("old");
    }
    constexpr std::int64_t cpuPerTask = 1000;
    if (static_cast<std::int64_t>(running_.size() + 1) * cpuPerTask > settings_.cpu_) {
        return reject("room");
    }
    const auto spec = body.value("spec", std::string());
    const auto at = spec.find("ms=");
    running_[task] = {run, cpuPerTask, clock() + (at == std::string::npos ? defaultRunMillis : std::stoll(spec.substr(at + 3)))};
    record_.started(settings_.id_, task, run);
    return accept();
}

Reply Worker::stop(const Json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint64_t>();
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number_ <= run && settings_.stopMillis_ == 0) {
        end(task, "stopped");
    } else if (found != running_.end() && found->second.number_ <= run) {
        stopping_.try_emplace(task, nowMillis() + settings_.stopMillis_);
    }
    lastEnded_[task] = std::max(lastEnded_[task], run);
    return accept();
}

void Worker::end(const std::string &task, const std::string &how)
{
    const std::uint64_t run = running_.at(task).number_;
    running_.erase(task);
    stopping_.erase(task);
    lastEnded_[task] = std::max(lastEnded_[task], run);
    ends_.push_back(Json::array({++lastNumber_, task, run, how, ""}));
    record_.ended(settings_.id_, task, run, how);
    ended_.notify_all();
}

Reply Worker::hold(const Json &body, std::unique_lock<std::mutex> &lock, bool mayWait)
{
    noteLapse();
    extendLease(body);
    const auto lastSeen = body.value("last_seen", std::uint64_t{0});
    for (const Json &each : ends_) {
        const auto number = each[0].get<std::uint64_t>();
        if (number <= lastSeen && number > lastBeforeLapse_ && each[3] == "done") {
            record_.noted(settings_.id_, each[1], each[2]);
        }
    }
    ends_.erase(
        std::remove_if(ends_.begin(), ends_.end(), [lastSeen](const Json &each) { return each[0].get<std::uint64_t>() <= lastSeen; }),
        ends_.end());
    if (mayWait) {
        ended_.wait_for(lock, std::chrono::milliseconds(body.value("wait_ms", std::int64_t{0})), [this] { return !ends_.empty(); });
    }
    Json running = Json::array();
    for (const auto &[task, run] : running_) {
        running.push_back(Json::array({task, run.number_, "", 0, run.cpu_}));
    }
    Json ended = Json::array();
    std::copy_n(ends_.begin(), std::min(ends_.size(), maxListedEnds), std::back_inserter(ended));
    return {200, Json({{"clock_ms", clock()}, {"born", born_}, {"running", std::move(running)}, {"ended", std::move(ended)}}).dump()};
}

void Worker::noteLapse()
{
    if (clock() >= leaseUntil_) {
        lastBeforeLapse_ = lastNumber_;
    }
}

// Ends runs that are done or whose lease has expired.
void Worker::tick()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    noteLapse();
    std::vector<std::pair<std::string, const char *>> over;
    for (const auto &[task, run] : running_) {
        if (clock() >= leaseUntil_) {
            over.emplace_back(task, "lapsed");
        } else if (const auto stopping = stopping_.find(task); stopping != stopping_.end()) {
            if (nowMillis() >= stopping->second) {
                over.emplace_back(task, "stopped");
            }
        } else if (clock() >= run.endsAt_) {
            over.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : over) {
        end(task, how);
    }
}

void Worker::sendHeartbeats(int life)
{
    constexpr std::int64_t timeout = 1000;
    constexpr std::chrono::milliseconds retryInterval(200);
    for (std::int64_t sequence = 1; life == life_; ++sequence) {
        const Json body = {{"service", "desk"},
                           {"address", "127.0.0.1:" + std::to_string(port())},
                           {"zone", settings_.zone_},
                           {"version", "v1"},
                           {"slots", 8},
                           {"state", "ready"},
                           {"cold_left_ms", 0},
                           {"room", {{"cpu", settings_.cpu_}, {"mem_mb", 65536}, {"gpu", 0}}},
                           {"labels", settings_.labels_},
                           {"clock_ms", clock()},
                           {"born", born_},
                           {"seq", sequence}};
        const Reply reply = call(settings_.control_, "POST", "/Instances.Heartbeat/" + settings_.id_, body.dump(), {}, timeout);
        std::this_thread::sleep_for(reply.status_ == 200 ? heartbeatInterval : retryInterval);
    }
}

} // namespace review
