// Stores hashes instead of texts to keep tombstones small.

#include <ibiswall/core/tombstones.hpp>

#include <xxhash.h>

namespace ibiswall {

namespace {

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

void addTombstone(JobTombstones &tombstones, const Submission &submission, bool complete)
{
    const JobId &id = submission.id_;
    tombstones[id.serial_] = {id.secret_, hashOf(submission.member_), submission.bodyHash_, id.issued_, complete};
}

void expire(JobTombstones &tombstones, Millis wallNow, Millis lifetime)
{
    while (!tombstones.empty() && tombstones.begin()->second.issued_ + lifetime < wallNow) {
        tombstones.erase(tombstones.begin());
    }
}

std::optional<Error> tombstoneError(const JobTombstones &tombstones, const JobId &id, std::string_view member)
{
    const auto found = tombstones.find(id.serial_);
    if (found == tombstones.end()) {
        return std::nullopt;
    }
    const JobTombstone &job = found->second;
    if (job.secret_ != id.secret_ || job.memberHash_ != hashOf(member)) {
        return Error{Code::UnknownJob, "no such job of this caller"};
    }
    return Error{Code::AnswerDropped, job.complete_ ? "the job was answered as complete" : "the job was answered as failed"};
}

bool bodyDiffers(const JobTombstones &tombstones, const Submission &submission)
{
    const auto found = tombstones.find(submission.id_.serial_);
    return found != tombstones.end() && found->second.bodyHash_ != submission.bodyHash_;
}

} // namespace ibiswall
