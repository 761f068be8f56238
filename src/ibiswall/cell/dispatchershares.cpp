// Minimum shares of queues, and turns of the failure domains of callers, while a service has no room for all waiting tasks.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>
#include <deque>

namespace ibiswall::cell {

// Whether a queue has less than its minimum share of the cores in use.
bool Dispatcher::isBelowFloor(const Job &job, const std::set<std::string> &services) const
{
    const Queue *queue = queueOf(job);
    if (queue == nullptr || services.count(queue->service_) == 0 || containment_.isContained(queue->name_)) {
        return false;
    }
    const auto inUse = static_cast<double>(coresAt(usage_.services_, queue->service_));
    return static_cast<double>(coresAt(usage_.queues_, queue->name_)) < scheduling_.queueFloor_ * inUse;
}

// Waiting jobs in placement order, except that within a queue of one of the services the next job is one of the failure domain that
// uses the fewest cores of the queue. Jobs of one domain keep their order.
std::vector<Dispatcher::Job *> Dispatcher::jobsInTurn(const std::set<std::string> &services) const
{
    std::vector<Job *> order;
    std::map<std::tuple<std::uint32_t, bool, std::string_view>, std::vector<std::size_t>> places;
    for (const auto &[key, job] : ready_) {
        const Queue *queue = queueOf(*job);
        if (queue != nullptr && services.count(queue->service_) != 0) {
            places[{job->priority_, job->late_, queue->name_}].push_back(order.size());
        }
        order.push_back(job);
    }
    for (const auto &[group, indexes] : places) {
        std::map<std::string_view, std::deque<Job *>> domains;
        std::map<std::string_view, std::int64_t> cores;
        for (const std::size_t at : indexes) {
            Job *job = order[at];
            if (domains.try_emplace(job->domain_).first->second.empty()) {
                cores[job->domain_] = coresAt(usage_.domains_, {job->record_.spec_.queue_, job->domain_});
            }
            domains[job->domain_].push_back(job);
        }
        for (const std::size_t at : indexes) {
            const auto next = std::min_element(domains.begin(), domains.end(), [&cores](const auto &a, const auto &b) {
                return std::tuple(a.second.empty(), cores[a.first]) < std::tuple(b.second.empty(), cores[b.first]);
            });
            Job *job = next->second.front();
            next->second.pop_front();
            order[at] = job;
            cores[next->first] += job->taskWork_.cores_ * job->waiting_;
        }
    }
    return order;
}

// Places waiting tasks: first those of queues below their minimum share, until they have it, then all others by priority.
// @param services services without room for all tasks
void Dispatcher::placeInTurn(const std::set<std::string> &services, Millis now)
{
    std::vector<Job *> late;
    for (const auto &[key, job] : ready_) {
        if (becomesLate(*job, now)) {
            late.push_back(job);
        }
    }
    for (Job *job : late) {
        ready_.erase(keyOf(*job));
        job->late_ = true;
        ready_[keyOf(*job)] = job;
        countWaiting(*job);
        arrivals_.push_back(job->id_);
    }
    SchedulingPass pass;
    const auto isPlaceable = [this, now](const Job &job) {
        return job.waiting_ > 0 && job.unmatchedIn_ != targetsVersion_ && !isUnservable(job, now);
    };
    const std::vector<Job *> order = jobsInTurn(services);
    for (Job *job : order) {
        if (isBelowFloor(*job, services) && isPlaceable(*job)) {
            placeTasks(*job, pass, now);
        }
    }
    // The queues above their share are as the next priority to those below it.
    forgetFewMisses(targets_);
    std::uint32_t priority = 0;
    for (Job *job : order) {
        if (job->priority_ != priority) {
            priority = job->priority_;
            forgetFewMisses(targets_);
        }
        if (!isPlaceable(*job)) {
            continue;
        }
        placeTasks(*job, pass, now);
        if (std::exchange(pass.closed_, false) && !isAnyOpen(targets_, now)) {
            return;
        }
    }
}

} // namespace ibiswall::cell
