// Runs each caller in its own thread.

#include "loadgenerator.hpp"

#include "outcomecheck.hpp"

namespace ibiswall::system {

namespace {

constexpr std::chrono::milliseconds retryInterval(50);

// Requests a job id and returns it; empty if the entry returned none.
std::string allocateIdFrom(const Cluster &cluster, std::size_t entry)
{
    const auto ids = cluster.callAsMember(entry, "POST", "/v1/ids");
    const Json parsed = ids.has_value() ? Json::parse(ids.value().body_, nullptr, false) : Json();
    return parsed.is_object() && parsed.contains("ids") ? parsed["ids"][0].get<std::string>() : std::string();
}

// Submits a job and returns the answer; not an object if the entry returned no valid JSON.
Json submitTo(const Cluster &cluster, std::size_t entry, const std::string &id, std::size_t tasksPerJob)
{
    const auto answer = cluster.callAsMember(entry, "PUT", "/v1/jobs/" + id, jobBody(tasksPerJob));
    return answer.has_value() ? Json::parse(answer.value().body_, nullptr, false) : Json();
}

} // namespace

LoadGenerator::LoadGenerator(const Cluster &cluster, std::size_t callers, std::size_t tasksPerJob)
    : cluster_(cluster)
    , tasksPerJob_(tasksPerJob)
{
    for (std::size_t i = 0; i < callers; ++i) {
        threads_.emplace_back([this, i] { run(i % cluster_.entries_.size()); });
    }
}

LoadGenerator::~LoadGenerator()
{
    finish();
}

void LoadGenerator::run(std::size_t entry)
{
    while (!stopping_) {
        const std::string id = allocateIdFrom(cluster_, entry);
        if (id.empty()) {
            std::this_thread::sleep_for(retryInterval);
            continue;
        }
        Json answer = submitTo(cluster_, entry, id, tasksPerJob_);
        const std::lock_guard lock(mutex_);
        if (answer.is_object()) {
            answers_.push_back(std::move(answer));
        } else {
            ++unanswered_;
        }
    }
}

std::vector<Json> LoadGenerator::finish()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
    return answers_;
}

std::size_t LoadGenerator::unanswered() const
{
    const std::lock_guard lock(mutex_);
    return unanswered_;
}

} // namespace ibiswall::system
