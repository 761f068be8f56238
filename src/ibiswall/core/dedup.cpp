// Keeps tasks by digest for a limited time.

#include <ibiswall/core/dedup.hpp>

#include <xxhash.h>

namespace ibiswall {

namespace {

TaskDigest digestOf(const TaskKey &key)
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(key.job_.data(), key.job_.size(), key.task_);
    return {hash.low64, hash.high64};
}

} // namespace

bool operator==(const TaskKey &a, const TaskKey &b)
{
    return a.task_ == b.task_ && a.job_ == b.job_;
}

bool operator==(const TaskDigest &a, const TaskDigest &b)
{
    return a.low_ == b.low_ && a.high_ == b.high_;
}

std::size_t TaskDigestHash::operator()(const TaskDigest &digest) const noexcept
{
    return digest.low_;
}

Admission admit(DedupTable &table, Millis now, const TaskKey &key, std::uint32_t attempt)
{
    const TaskDigest digest = digestOf(key);
    const auto found = table.tasks_.find(digest);
    if (found != table.tasks_.end()) {
        DedupEntry &task = found->second;
        if (attempt <= task.attempt_) {
            return Admission::Repeated;
        }
        if (!task.rejected_) {
            return Admission::Started;
        }
    }
    // order_ holds one element per attempt, so its size is the one to limit.
    if (table.order_.size() >= table.maxTasks_) {
        return Admission::Full;
    }
    table.tasks_[digest] = {now, attempt, false};
    table.order_.emplace_back(now, digest);
    return Admission::Fresh;
}

void markRejected(DedupTable &table, const TaskKey &key)
{
    const auto found = table.tasks_.find(digestOf(key));
    if (found != table.tasks_.end()) {
        found->second.rejected_ = true;
    }
}

void expire(DedupTable &table, Millis now)
{
    while (!table.order_.empty() && table.order_.front().first + table.retention_ < now) {
        const auto found = table.tasks_.find(table.order_.front().second);
        if (found != table.tasks_.end() && found->second.at_ + table.retention_ < now) {
            table.tasks_.erase(found);
        }
        table.order_.pop_front();
    }
}

} // namespace ibiswall
