// Stand-in for an application worker.

#include "worker.hpp"

#include "record.hpp"
#include <algorithm>
#include <chrono>
#include <thread>

namespace review {

using Json = nlohmann::json;

namespace {

constexpr std::int64_t holdMaxMs = 1000;
constexpr std::int64_t stopMs = 20;
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t tickMs = 2;
constexpr std::int64_t minLateMs = 2000;
constexpr std::int64_t maxLateMs = 12000;
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t maxWaitMs = 2000;

enum Status { Ok = 200, Malformed = 400, NotFound = 404, Rejected = 409, OtherInstance = 421 };

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

Worker::Worker(WorkerOptions options)
    : options_(std::move(options))
    , random_(options_.seed_)
{
}

void Worker::start()
{
    bornAt_ = nowMs();
    born_ = unixMs();
    server_ = std::make_unique<Server>(options_.port_, [this](const Request &request) { return handle(request); });
    std::thread([this] { tickForever(); }).detach();
    std::thread([this] { sendHeartbeats(); }).detach();
}

const WorkerOptions &Worker::options() const
{
    return options_;
}

void Worker::applyLate(double share)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    lateShare_ = share;
}

void Worker::suspend()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    suspendedAt_ = nowMs();
}

void Worker::resume()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    suspendedFor_ += nowMs() - suspendedAt_;
    suspendedAt_ = 0;
}

void Worker::crash(std::int64_t downMs)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    note(options_.id_ + " crashes");
    for (const auto &[task, active] : active_) {
        Run &run = runs_[active.run_];
        run.endedAt_ = sinceStart();
        run.how_ = "crashed";
    }
    active_.clear();
    highest_.clear();
    ends_.clear();
    lastEnd_ = 0;
    fence_ = 0;
    leaseUntil_ = 0;
    sequence_ = 0;
    downUntil_ = nowMs() + downMs;
    bornAt_ = downUntil_;
    born_ = unixMs() + downMs;
    ++life_;
    server_->silenceOpenConnections();
}

std::vector<Run> Worker::runs() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
}

std::size_t Worker::lateStarts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return lateStarts_;
}

std::size_t Worker::running() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return active_.size();
}

// The worker's steady clock.
std::int64_t Worker::clock() const
{
    const std::int64_t now = suspendedAt_ != 0 ? suspendedAt_ : nowMs();
    return now - bornAt_ - suspendedFor_;
}

std::optional<Reply> Worker::handle(const Request &request)
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (suspendedAt_ != 0) {
        lock.unlock();
        sleepMs(1);
        lock.lock();
    }
    if (nowMs() < downUntil_) {
        return std::nullopt;
    }
    if (!request.expectedInstance_.empty() && request.expectedInstance_ != options_.id_) {
        return Reply{OtherInstance, "{}"};
    }
    const bool isOrder = request.path_ == "/run-start" || request.path_ == "/run-stop";
    if (isOrder && std::uniform_real_distribution<>(0, 1)(random_) < lateShare_) {
        const std::int64_t delay = std::uniform_int_distribution<std::int64_t>(minLateMs, maxLateMs)(random_);
        note(options_.id_ + " leaves unanswered and carries out after " + std::to_string(delay) + " ms: " + request.path_ + ' '
             + request.body_);
        std::thread([this, request, delay] {
            sleepMs(delay);
            const std::lock_guard<std::mutex> later(mutex_);
            if (nowMs() >= downUntil_) {
                const Reply reply = execute(request, delay);
                note(options_.id_ + " has carried out late: " + request.path_ + ' ' + request.body_ + " -> " + std::to_string(reply.status_)
                     + ' ' + reply.body_);
            }
        }).detach();
        return std::nullopt;
    }
    Reply reply = execute(request, 0);
    if (request.path_ != "/hold") {
        note(options_.id_ + ' ' + request.path_ + ' ' + request.body_ + " -> " + std::to_string(reply.status_));
        return reply;
    }
    const Json body = Json::parse(request.body_, nullptr, false);
    const std::int64_t wait = body.is_object() ? std::min(body.value("wait_ms", std::int64_t{0}), maxWaitMs) : 0;
    const std::uint64_t life = life_;
    const std::int64_t until = clock() + wait;
    while (reply.status_ == Ok && ends_.empty() && clock() < until && life == life_) {
        lock.unlock();
        sleepMs(tickMs);
        lock.lock();
    }
    if (life != life_) {
        return std::nullopt;
    }
    return reply.status_ == Ok ? lists() : reply;
}

Reply Worker::rejection(const char *reason) const
{
    return {Rejected, Json{{"clock_ms", clock()}, {"born", born_}, {"reason", reason}}.dump()};
}

// @param lateBy how much later than its arrival the call is carried out
Reply Worker::execute(const Request &request, std::int64_t lateBy)
{
    const Json body = Json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
        return {Malformed, "{}"};
    }
    const auto fence = body.value("fence", std::uint64_t{0});
    if (fence < fence_) {
        return rejection("fence");
    }
    fence_ = fence;
    tick();
    if (body.contains("deadline_ms")) {
        const std::int64_t deadline = body["deadline_ms"].get<std::int64_t>() + lateBy;
        leaseUntil_ = std::max(leaseUntil_, std::min(deadline, clock() + holdMaxMs));
    }
    if (request.path_ == "/run-start") {
        return startTask(body, lateBy > 0);
    }
    if (request.path_ == "/run-stop") {
        return stopTask(body);
    }
    if (request.path_ == "/hold") {
        forgetEnds(body.value("last_seen", std::uint64_t{0}));
        return lists();
    }
    return {NotFound, "{}"};
}

Reply Worker::startTask(const Json &body, bool late)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    const auto found = active_.find(task);
    const Json accepted = {{"clock_ms", clock()}, {"born", born_}};
    if (found != active_.end() && runs_[found->second.run_].number_ == number) {
        return {Ok, accepted.dump()};
    }
    if (found != active_.end() || number <= highest_[task]) {
        return rejection("old");
    }
    if (clock() >= leaseUntil_) {
        return rejection("late");
    }
    const auto spec = body.value("spec", std::string());
    const std::size_t at = spec.find("ms=");
    const std::int64_t duration = at == std::string::npos ? 50 : std::stoll(spec.substr(at + 3));
    active_[task] = {runs_.size(), clock() + duration, 0};
    runs_.push_back({task, number, options_.id_, spec, sinceStart(), 0, {}, 0, late});
    lateStarts_ += late ? 1 : 0;
    note(options_.id_ + " starts " + task + " run " + std::to_string(number) + (late ? ", late" : ""));
    return {Ok, accepted.dump()};
}

Reply Worker::stopTask(const Json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    highest_[task] = std::max(highest_[task], number);
    if (const auto found = active_.find(task); found != active_.end() && runs_[found->second.run_].number_ <= number) {
        found->second.stoppedAt_ = found->second.stoppedAt_ == 0 ? clock() : found->second.stoppedAt_;
    }
    return {Ok, Json{{"clock_ms", clock()}, {"born", born_}}.dump()};
}

void Worker::forgetEnds(std::uint64_t through)
{
    const auto kept = std::find_if(ends_.begin(), ends_.end(), [through](const End &each) { return each.number_ > through; });
    for (auto each = ends_.begin(); each != kept; ++each) {
        Run &run = runs_[each->run_];
        run.notedAt_ = lapsedAt_ >= run.endedAt_ ? 0 : sinceStart();
    }
    ends_.erase(ends_.begin(), kept);
}

Reply Worker::lists() const
{
    Json running = Json::array();
    for (const auto &[task, active] : active_) {
        running.push_back(Json::array({task, runs_[active.run_].number_, "", 0, 0}));
    }
    Json ended = Json::array();
    for (const End &each : ends_) {
        if (ended.size() < maxListedEnds) {
            const Run &run = runs_[each.run_];
            ended.push_back(Json::array({each.number_, run.task_, run.number_, run.how_, ""}));
        }
    }
    return {Ok, Json{{"clock_ms", clock()}, {"born", born_}, {"running", std::move(running)}, {"ended", std::move(ended)}}.dump()};
}

void Worker::endTask(const std::string &task, const char *how)
{
    const std::size_t at = active_.at(task).run_;
    Run &run = runs_[at];
    run.endedAt_ = sinceStart();
    run.how_ = how;
    highest_[task] = std::max(highest_[task], run.number_);
    active_.erase(task);
    ends_.push_back({++lastEnd_, at});
    note(options_.id_ + ' ' + how + ' ' + task + " run " + std::to_string(run.number_));
}

void Worker::tick()
{
    std::vector<std::pair<std::string, const char *>> ended;
    const bool lapsed = clock() >= leaseUntil_;
    lapsedAt_ = lapsed ? sinceStart() : lapsedAt_;
    for (const auto &[task, active] : active_) {
        if (lapsed) {
            ended.emplace_back(task, "lapsed");
        } else if (active.stoppedAt_ != 0 && clock() >= active.stoppedAt_ + stopMs) {
            ended.emplace_back(task, "stopped");
        } else if (active.stoppedAt_ == 0 && clock() >= active.endsAt_) {
            ended.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : ended) {
        endTask(task, how);
    }
}

void Worker::tickForever()
{
    for (;;) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (suspendedAt_ == 0 && nowMs() >= downUntil_) {
                tick();
            }
        }
        sleepMs(tickMs);
    }
}

void Worker::sendHeartbeats()
{
    for (;;) {
        Call call;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (suspendedAt_ == 0 && nowMs() >= downUntil_) {
                const Json body = {{"service", "desk"},
                                   {"address", "127.0.0.1:" + std::to_string(options_.port_)},
                                   {"zone", options_.zone_},
                                   {"version", "v1"},
                                   {"slots", 8},
                                   {"state", "ready"},
                                   {"cold_left_ms", 0},
                                   {"room", {{"cpu", options_.cpu_}, {"mem_mb", 65536}, {"gpu", 0}}},
                                   {"labels", options_.labels_},
                                   {"clock_ms", clock()},
                                   {"born", born_},
                                   {"seq", ++sequence_}};
                call = {"POST", "/Instances.Heartbeat/" + options_.id_, body.dump(), {}, 1000};
            }
        }
        if (!call.target_.empty()) {
            const int status = callLoopback(options_.agentPort_, call).status_;
            note(options_.id_ + " heartbeat -> " + std::to_string(status));
            if (status == 0) {
                sleepMs(100);
                continue;
            }
        }
        sleepMs(call.target_.empty() ? tickMs : heartbeatMs);
    }
}

} // namespace review
