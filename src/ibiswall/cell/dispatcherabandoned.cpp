// Ends jobs whose callers have left, and runs them again when a caller returns.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>

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
    return finalJobs_.at(job).mayRun_ || std::any_of(targets_.begin(), targets_.end(), [&job](const auto &each) {
               return hasRunsOf(each.second.runs_, job) || hasRunsOf(each.second.unknownRuns_, job);
           });
}

// Adds abandoned jobs whose callers have returned, once none of their runs is active.
void Dispatcher::addReturnedJobs(Millis now)
{
    for (JobOffer &offer : std::exchange(returned_, {})) {
        const auto finalJob = finalJobs_.find(offer.id_);
        if (finalJob != finalJobs_.end() && finalJob->second.abandoned_) {
            if (mayRunSomewhere(offer.id_)) {
                returned_.push_back(std::move(offer));
                continue;
            }
            finalJobs_.erase(finalJob);
        }
        const std::string id = offer.id_;
        const std::string origin = offer.origin_;
        if (const auto state = addJob(std::move(offer), now)) {
            actions_.notices_.push_back({id, *state, {origin}});
        }
        if (const auto job = jobs_.find(id); job != jobs_.end()) {
            job->second.mayHaveStarted_ = true;
        }
    }
}

} // namespace ibiswall::cell
