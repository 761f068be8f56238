// Ends jobs whose callers have left, and runs them again when a caller returns.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace ibiswall::cell {

void Dispatcher::abandon(const std::string &id, const std::string &origin, Millis now)
{
    returned_.erase(std::remove_if(returned_.begin(), returned_.end(),
                                   [&id, &origin](const JobOffer &each) { return each.id_ == id && each.origin_ == origin; }),
                    returned_.end());
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.isEphemeral()) {
        return;
    }
    found->second.origins_.erase(origin);
    if (found->second.origins_.empty()) {
        finish(found->second, JobState::Cancelled, now);
        if (const auto finalJob = finalJobs_.find(id); finalJob != finalJobs_.end()) {
            finalJob->second.abandoned_ = true;
        }
    }
}

bool Dispatcher::mayRunSomewhere(const std::string &job) const
{
    const auto ended = finalJobs_.find(job);
    return (ended != finalJobs_.end() && ended->second.mayRun_) || std::any_of(targets_.begin(), targets_.end(), [&job](const auto &each) {
               return hasRunsOf(each.second.runs_, job) || hasRunsOf(each.second.unknownRuns_, job);
           });
}

// Adds abandoned jobs whose callers have returned, once none of their runs is active.
void Dispatcher::addReturnedJobs(Millis now)
{
    if (returned_.empty()) {
        return;
    }
    std::unordered_set<std::string_view> active;
    for (const auto &[agent, target] : targets_) {
        for (const auto &[task, need] : target.runs_) {
            active.insert(task.job_);
        }
        for (const auto &[task, run] : target.unknownRuns_) {
            active.insert(task.job_);
        }
    }
    const auto ready = std::stable_partition(returned_.begin(), returned_.end(), [this, &active](const JobOffer &offer) {
        const auto finalJob = finalJobs_.find(offer.id_);
        return finalJob != finalJobs_.end() && finalJob->second.abandoned_ && (finalJob->second.mayRun_ || active.count(offer.id_) != 0);
    });
    std::vector<JobOffer> offers(std::make_move_iterator(ready), std::make_move_iterator(returned_.end()));
    returned_.erase(ready, returned_.end());
    for (JobOffer &offer : offers) {
        const std::string id = offer.id_;
        const std::string origin = offer.origin_;
        if (const auto state = addJob(std::move(offer), now)) {
            actions_.notices_.push_back({id, *state, {origin}});
        }
        // Also if its final state has expired meanwhile.
        if (const auto job = jobs_.find(id); job != jobs_.end()) {
            job->second.mayHaveStarted_ = true;
        }
    }
}

} // namespace ibiswall::cell
