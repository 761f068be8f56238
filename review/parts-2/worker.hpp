// Stand-in for a worker of the users' platform: runs tasks under a lease, lists runs and ends, and sends heartbeats.

#pragma once

#include "http.hpp"
#include "record.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

struct WorkerSettings
{
    std::string id_;
    std::string zone_;
    std::vector<std::string> labels_;
    std::int64_t cpu_ = 8000;
    /// Port of the agent's announcements.
    std::uint16_t control_ = 0;
    /// Speed of the worker's clock; it may be 2% slow.
    double clockSpeed_ = 1;
    /// How long a stop takes; at most stop_ms, which is 50.
    std::int64_t stopMillis_ = 0;
    /// How long a reply takes after an order was carried out.
    std::int64_t replyMillis_ = 0;
};

class Worker
{
public:
    Worker(WorkerSettings settings, Record &record);

    std::uint16_t port() const;

    /// Orders that have arrived, and those of them that were left unanswered.
    int orders() const;
    int unansweredOrders() const;

    /// Crashes: whatever runs ends, connections break, and nothing listens.
    void crash();
    /// Starts again under the same id, and sends its first heartbeat after a delay.
    void restart(std::int64_t firstHeartbeatMillis);

    /// While it is above 0, orders get no answer and are carried out this many milliseconds after their arrival.
    void delayOrders(std::int64_t millis);

private:
    struct Run
    {
        std::uint64_t number_ = 0;
        std::int64_t cpu_ = 0;
        /// On the worker's clock.
        std::int64_t endsAt_ = 0;
    };

    std::optional<Reply> handle(const Request &request);
    std::optional<Reply> execute(const Request &request, bool mayWait);
    Reply start(const nlohmann::json &body);
    Reply stop(const nlohmann::json &body);
    Reply hold(const nlohmann::json &body, std::unique_lock<std::mutex> &lock, bool mayWait);
    Reply reject(const char *reason) const;
    Reply accept() const;
    void extendLease(const nlohmann::json &body);
    void end(const std::string &task, const std::string &how);
    void noteLapse();
    void tick();
    void sendHeartbeats(int life);
    void sendHeartbeatsLater(std::int64_t delay);
    std::int64_t clock() const;

    WorkerSettings settings_;
    Record &record_;
    std::int64_t startedAt_ = 0;
    std::int64_t born_ = 0;
    std::atomic<std::int64_t> orderDelay_{0};
    /// Counts the lives of the worker.
    std::atomic<int> life_{0};
    std::atomic<int> orders_{0};
    std::atomic<int> unansweredOrders_{0};
    mutable std::mutex mutex_;
    std::condition_variable ended_;
    std::uint64_t highestFence_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::map<std::string, Run> running_;
    std::map<std::string, std::uint64_t> lastEnded_;
    std::vector<nlohmann::json> ends_;
    std::uint64_t lastNumber_ = 0;
    /// Number of the latest end before the lease lapsed last.
    std::uint64_t lastBeforeLapse_ = 0;
    bool down_ = false;
    /// Runs that are being stopped, by the time at which they end.
    std::map<std::string, std::int64_t> stopping_;
    Server server_;
};

} // namespace review
