// Keeps a few numbers for each ended job.

#include <ibiswall/core/tombstones.hpp>

#include <xxhash.h>

namespace ibiswall {

namespace {

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

void addTombstone(JobTombstones &ended, const Submission &submission, bool complete)
{
    const JobId &id = submission.id_;
    ended[id.serial_] = {id.secret_, hashOf(submission.member_), submission.bodyHash_, id.issued_, complete};
}

void expire(JobTombstones &ended, Millis wallNow, Millis life)
{
    while (!ended.empty() && ended.begin()->second.issued_ + life < wallNow) {
        ended.erase(ended.begin());
    }
}

std::optional<Error> tombstoneError(const JobTombstones &ended, const JobId &id, std::string_view member)
{
    const auto found = ended.find(id.serial_);
    if (found == ended.end()) {
        return std::nullopt;
    }
    const JobTombstone &job = found->second;
    if (job.secret_ != id.secret_ || job.memberHash_ != hashOf(member)) {
        return Error{Code::UnknownJob, "no such job of this caller"};
    }
    return Error{Code::AnswerDropped, job.complete_ ? "the job was answered as complete" : "the job was answered as failed"};
}

bool bodyDiffers(const JobTombstones &ended, const Submission &submission)
{
    const auto found = ended.find(submission.id_.serial_);
    return found != ended.end() && found->second.bodyHash_ != submission.bodyHash_;
}

} // namespace ibiswall
