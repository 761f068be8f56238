// Stand-in for an application worker beside an agent.
//
// It follows the users' page "Running tasks": fences, run numbers, leases by a steady clock of its own, lists of runs and of numbered
// ends. A task runs for the number of milliseconds that follows "ms=" in its spec.

#pragma once

#include "http.hpp"

#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

namespace review {

struct WorkerOptions
{
    std::string id_;
    std::string zone_;
    std::uint16_t port_ = 0;
    std::uint16_t agentPort_ = 0;
    std::vector<std::string> labels_;
    std::int64_t cpu_ = 8000;
    std::uint32_t seed_ = 1;
};

/// A run of a task as the worker saw it.
struct Run
{
    std::string task_;
    std::uint64_t number_ = 0;
    std::string worker_;
    std::string spec_;
    std::int64_t startedAt_ = 0;
    /// 0 while it runs.
    std::int64_t endedAt_ = 0;
    std::string how_;
    /// When last_seen reached its end; 0 if it has not, or if the worker's lease had lapsed since the end.
    std::int64_t notedAt_ = 0;
    /// Whether its start was carried out late.
    bool late_ = false;
};

class Worker
{
public:
    explicit Worker(WorkerOptions options);

    /// Begins to serve and to send heartbeats.
    void start();

    /// From now on this share of the orders to start or stop gets no answer and is carried out 2 to 12 s later; their time counts from
    /// their arrival.
    void applyLate(double share);

    /// The worker's machine is suspended: it does nothing, and its steady clock stands still.
    void suspend();
    void resume();

    /// Crashes, and begins a new life under the same id after a time. All connections are lost.
    void crash(std::int64_t downMs);

    std::vector<Run> runs() const;
    std::size_t lateStarts() const;
    std::size_t running() const;
    const WorkerOptions &options() const;

private:
    struct Active
    {
        std::size_t run_ = 0;
        std::int64_t endsAt_ = 0;
        /// 0 unless it is being stopped.
        std::int64_t stoppedAt_ = 0;
    };

    std::optional<Reply> handle(const Request &request);
    Reply execute(const Request &request, std::int64_t lateBy);
    Reply startTask(const nlohmann::json &body, bool late);
    Reply stopTask(const nlohmann::json &body);
    void forgetEnds(std::uint64_t through);
    Reply lists() const;
    Reply rejection(const char *reason) const;
    void endTask(const std::string &task, const char *how);
    std::int64_t clock() const;
    void tick();
    void tickForever();
    void sendHeartbeats();

    WorkerOptions options_;
    mutable std::mutex mutex_;
    std::unique_ptr<Server> server_;
    std::mt19937 random_;
    double lateShare_ = 0;
    std::size_t lateStarts_ = 0;
    std::int64_t bornAt_ = 0;
    std::int64_t born_ = 0;
    std::int64_t suspendedAt_ = 0;
    std::int64_t suspendedFor_ = 0;
    std::int64_t downUntil_ = 0;
    std::uint64_t life_ = 0;
    std::int64_t sequence_ = 0;
    std::uint64_t fence_ = 0;
    std::int64_t leaseUntil_ = 0;
    /// When the lease was last seen to have lapsed, on the clock of the record.
    std::int64_t lapsedAt_ = 0;
    std::vector<Run> runs_;
    std::map<std::string, Active> active_;
    /// Highest run of a task that was stopped or has ended here.
    std::map<std::string, std::uint64_t> highest_;
    struct End
    {
        std::uint64_t number_ = 0;
        std::size_t run_ = 0;
    };
    std::vector<End> ends_;
    std::uint64_t lastEnd_ = 0;
};

} // namespace review
