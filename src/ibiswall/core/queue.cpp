// Stride scheduling over members, earliest deadline first within a member.

#include <ibiswall/core/queue.hpp>

#include <algorithm>
#include <tuple>

namespace ibiswall {

bool operator<(const Waiting &a, const Waiting &b)
{
    return std::make_tuple(a.deadline_.count_, -a.value_, a.sequence_) < std::make_tuple(b.deadline_.count_, -b.value_, b.sequence_);
}

void push(TaskQueue &queue, std::string_view member, int weight, Millis deadline, int value, TaskRef ref)
{
    auto found = queue.members_.find(member);
    if (found == queue.members_.end()) {
        found = queue.members_.emplace(std::string(member), MemberQueue{}).first;
    }
    MemberQueue &own = found->second;
    own.weight_ = weight;
    if (own.tasks_.empty()) {
        own.pass_ = std::max(own.pass_, queue.pass_);
    }
    own.tasks_.insert(Waiting{deadline, value, queue.nextSequence_++, ref});
    ++queue.size_;
}

std::optional<TaskRef> pop(TaskQueue &queue)
{
    MemberQueue *next = nullptr;
    for (auto &[name, own] : queue.members_) {
        if (!own.tasks_.empty() && (next == nullptr || own.pass_ < next->pass_)) {
            next = &own;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const TaskRef ref = next->tasks_.begin()->ref_;
    next->tasks_.erase(next->tasks_.begin());
    queue.pass_ = next->pass_;
    next->pass_ += 1.0 / next->weight_;
    --queue.size_;
    return ref;
}

} // namespace ibiswall
