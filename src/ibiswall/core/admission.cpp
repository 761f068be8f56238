// Admission control: checks a new job against the limits and the configuration.

#include "admission.hpp"

namespace ibiswall {

Error admissionError(const Dispatcher &dispatcher, Now now, const Submission &submission)
{
    const DispatchLimits &limits = dispatcher.limits_;
    const std::size_t count = submission.payloads_.size();
    if (submission.id_.owner_ != dispatcher.self_) {
        return {Code::OwnerGone, "id was issued by another incarnation"};
    }
    if (isExpired(submission.id_, now.wall_, limits.idLifetime_)) {
        return {Code::ExpiredId, "id expired, ask for a new one"};
    }
    if (dispatcher.draining_) {
        return {Code::Draining, "entry is stopping, use another"};
    }
    if (count == 0) {
        return {Code::BadRequest, "tasks: a job needs at least one"};
    }
    if (count > limits.maxTasksPerJob_) {
        return {Code::TooManyTasks, "tasks: " + std::to_string(count) + " given, at most " + std::to_string(limits.maxTasksPerJob_)};
    }
    if (dispatcher.configuration_.kinds_.count(submission.kind_) == 0) {
        return {Code::UnknownKind, "kind \"" + submission.kind_ + "\" is not configured"};
    }
    if (dispatcher.queue_.size_ + count > limits.maxQueuedTasks_ || dispatcher.openJobs_ >= limits.maxJobs_) {
        return {Code::Overloaded, "queue is full"};
    }
    if (dispatcher.tombstones_.size() >= limits.maxTombstones_) {
        return {Code::Overloaded, "memory of ended jobs is full"};
    }
    const int quota = memberOf(dispatcher.configuration_, submission.member_).quota_;
    const auto open = dispatcher.openTasks_.find(submission.member_);
    const std::size_t openCount = open == dispatcher.openTasks_.end() ? 0 : open->second;
    if (quota > 0 && openCount + count > static_cast<std::size_t>(quota)) {
        return {Code::QuotaExceeded,
                "member \"" + submission.member_ + "\" has " + std::to_string(openCount) + " open tasks of " + std::to_string(quota)};
    }
    return {};
}

} // namespace ibiswall
