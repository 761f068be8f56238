// Remembers tasks by name for a bounded time.

#include <ibiswall/core/seen.hpp>

#include <xxhash.h>

namespace ibiswall {

bool operator==(const TaskKey &a, const TaskKey &b)
{
    return a.task_ == b.task_ && a.job_ == b.job_;
}

std::size_t TaskKeyHash::operator()(const TaskKey &key) const
{
    return XXH3_64bits_withSeed(key.job_.data(), key.job_.size(), key.task_);
}

bool insert(SeenTable &table, Millis now, const TaskKey &key)
{
    if (!table.keys_.insert(key).second) {
        return false;
    }
    table.order_.emplace_back(now, key);
    return true;
}

void forget(SeenTable &table, const TaskKey &key)
{
    table.keys_.erase(key);
}

void expire(SeenTable &table, Millis now)
{
    while (!table.order_.empty() && table.order_.front().first + table.life_ < now) {
        table.keys_.erase(table.order_.front().second);
        table.order_.pop_front();
    }
}

} // namespace ibiswall
