// Callers on threads of their own.

#include "load.hpp"

#include "truth.hpp"

namespace ibiswall::system {

namespace {

constexpr std::chrono::milliseconds pauseAfterFailure(50);

// Takes an id; empty when the entry gave none.
std::string takeIdFrom(const Cluster &cluster, std::size_t entry)
{
    const auto ids = cluster.callAsMember(entry, "POST", "/v1/ids");
    const Json parsed = ids.has_value() ? Json::parse(ids.value().body_, nullptr, false) : Json();
    return parsed.is_object() && parsed.contains("ids") ? parsed["ids"][0].get<std::string>() : std::string();
}

// Submits a job; null when the entry gave no whole answer.
Json submitTo(const Cluster &cluster, std::size_t entry, const std::string &id, std::size_t tasks)
{
    const auto answer = cluster.callAsMember(entry, "PUT", "/v1/jobs/" + id, jobBody(tasks));
    return answer.has_value() ? Json::parse(answer.value().body_, nullptr, false) : Json();
}

} // namespace

Load::Load(const Cluster &cluster, std::size_t callers, std::size_t tasks)
    : cluster_(cluster)
    , tasks_(tasks)
{
    for (std::size_t i = 0; i < callers; ++i) {
        threads_.emplace_back([this, i] { run(i % cluster_.entries_.size()); });
    }
}

Load::~Load()
{
    finish();
}

void Load::run(std::size_t entry)
{
    while (!stopping_) {
        const std::string id = takeIdFrom(cluster_, entry);
        if (id.empty()) {
            std::this_thread::sleep_for(pauseAfterFailure);
            continue;
        }
        Json answer = submitTo(cluster_, entry, id, tasks_);
        const std::lock_guard lock(mutex_);
        if (answer.is_object()) {
            answers_.push_back(std::move(answer));
        } else {
            ++unanswered_;
        }
    }
}

std::vector<Json> Load::finish()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
    return answers_;
}

std::size_t Load::unanswered() const
{
    const std::lock_guard lock(mutex_);
    return unanswered_;
}

} // namespace ibiswall::system
