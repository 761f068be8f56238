// Accounts for stored answers and evicts the oldest.

#include "answers.hpp"

namespace ibiswall {

namespace {

// Answers are kept this long after their id expires, so that a resubmission just before expiry still finds the answer.
constexpr Millis answerGracePeriod{60000};

std::size_t sizeOf(const JobAnswer &answer)
{
    std::size_t size = sizeof(JobAnswer) + answer.id_.size() + answer.tasks_.capacity() * sizeof(TaskOutcome);
    for (const TaskOutcome &outcome : answer.tasks_) {
        size += outcome.answer_.capacity();
    }
    return size;
}

void removeJob(Dispatcher &dispatcher, std::uint64_t number)
{
    const auto found = dispatcher.jobs_.find(number);
    const Job &job = found->second;
    dispatcher.answerBytes_ -= sizeOf(*job.answer_);
    dispatcher.answered_.erase({job.submission_.id_.issued_.count_, number});
    dispatcher.numbers_.erase(job.idText_);
    dispatcher.jobs_.erase(found);
}

bool exceedsLimits(const Dispatcher &dispatcher)
{
    return dispatcher.answerBytes_ > dispatcher.limits_.maxAnswerBytes_ || dispatcher.jobs_.size() > dispatcher.limits_.maxJobs_;
}

} // namespace

void recordAnswer(Dispatcher &dispatcher, const Job &job)
{
    dispatcher.answered_.emplace(job.submission_.id_.issued_.count_, job.number_);
    dispatcher.answerOrder_.push_back(job.number_);
    dispatcher.answerBytes_ += sizeOf(*job.answer_);
}

void dropAnswers(Dispatcher &dispatcher)
{
    while (!dispatcher.answerOrder_.empty()) {
        const std::uint64_t oldest = dispatcher.answerOrder_.front();
        const auto found = dispatcher.jobs_.find(oldest);
        if (found != dispatcher.jobs_.end()) {
            if (!exceedsLimits(dispatcher)) {
                return;
            }
            const Job &job = found->second;
            addTombstone(dispatcher.tombstones_, job.submission_, job.answer_->code_ == Code::Ok);
            removeJob(dispatcher, oldest);
        }
        dispatcher.answerOrder_.pop_front();
    }
}

void removeExpiredJobs(Dispatcher &dispatcher, Now now)
{
    while (!dispatcher.answered_.empty()) {
        const auto [issued, number] = *dispatcher.answered_.begin();
        const auto found = dispatcher.jobs_.find(number);
        if (!isExpired(found->second.submission_.id_, now.wall_, dispatcher.limits_.idLifetime_ + answerGracePeriod)) {
            break;
        }
        removeJob(dispatcher, number);
    }
    expire(dispatcher.tombstones_, now.wall_, dispatcher.limits_.idLifetime_ + answerGracePeriod);
}

std::optional<Error> droppedError(const Dispatcher &dispatcher, const JobId &id, std::string_view member)
{
    return id.owner_ == dispatcher.self_ ? tombstoneError(dispatcher.tombstones_, id, member) : std::nullopt;
}

} // namespace ibiswall
