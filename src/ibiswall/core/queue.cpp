// Stride scheduling over members, earliest deadline first within a member.

#include <ibiswall/core/queue.hpp>

#include <algorithm>
#include <tuple>

namespace ibiswall {

namespace {

MemberQueue &memberQueue(TaskQueue &queue, std::string_view member)
{
    const auto found = queue.members_.find(member);
    if (found != queue.members_.end()) {
        return found->second;
    }
    return queue.members_.emplace(std::string(member), MemberQueue{}).first->second;
}

void activate(TaskQueue &queue, std::string_view member, MemberQueue &own)
{
    own.pass_ = std::max(own.pass_, queue.pass_);
    queue.active_.emplace(own.pass_, std::string(member));
    queue.activeWeight_ += own.weight_;
}

void deactivate(TaskQueue &queue, std::string_view member, const MemberQueue &own)
{
    queue.active_.erase({own.pass_, std::string(member)});
    queue.activeWeight_ -= own.weight_;
}

void countIn(TaskQueue &queue, MemberQueue &own, Millis now, Millis span)
{
    SpanBacklog &backlog = queue.spans_[span.count_];
    if (backlog.size_ == 0) {
        backlog.since_ = now;
    }
    ++backlog.size_;
    ++own.spans_[span.count_];
    ++queue.size_;
}

void countOut(TaskQueue &queue, MemberQueue &own, Millis span)
{
    --queue.spans_[span.count_].size_;
    const auto mine = own.spans_.find(span.count_);
    if (--mine->second == 0) {
        own.spans_.erase(mine);
    }
    --queue.size_;
}

} // namespace

bool operator<(const Waiting &a, const Waiting &b)
{
    return std::make_tuple(a.deadline_.count_, -a.value_, a.sequence_) < std::make_tuple(b.deadline_.count_, -b.value_, b.sequence_);
}

Waiting push(TaskQueue &queue, Millis now, std::string_view member, const QueueEntry &entry)
{
    MemberQueue &own = memberQueue(queue, member);
    const bool wasActive = !own.tasks_.empty();
    queue.activeWeight_ += wasActive ? entry.weight_ - own.weight_ : 0;
    own.weight_ = entry.weight_;
    if (!wasActive) {
        activate(queue, member, own);
    }
    const Waiting waiting{entry.deadline_, entry.value_, queue.nextSequence_++, entry.ref_, entry.span_};
    own.tasks_.insert(waiting);
    countIn(queue, own, now, entry.span_);
    return waiting;
}

std::optional<TaskRef> pop(TaskQueue &queue)
{
    if (queue.active_.empty()) {
        return std::nullopt;
    }
    const std::string member = queue.active_.begin()->second;
    MemberQueue &own = queue.members_.find(member)->second;
    const Waiting waiting = *own.tasks_.begin();
    deactivate(queue, member, own);
    own.tasks_.erase(own.tasks_.begin());
    countOut(queue, own, waiting.span_);
    queue.pass_ = own.pass_;
    own.pass_ += 1.0 / own.weight_;
    if (!own.tasks_.empty()) {
        activate(queue, member, own);
    }
    return waiting.ref_;
}

bool remove(TaskQueue &queue, std::string_view member, const Waiting &waiting)
{
    const auto found = queue.members_.find(member);
    if (found == queue.members_.end() || found->second.tasks_.erase(waiting) == 0) {
        return false;
    }
    countOut(queue, found->second, waiting.span_);
    if (found->second.tasks_.empty()) {
        deactivate(queue, member, found->second);
    }
    return true;
}

std::optional<TaskRef> findLate(const TaskQueue &queue, Millis now)
{
    for (const auto &[pass, member] : queue.active_) {
        const Waiting &first = *queue.members_.find(member)->second.tasks_.begin();
        if (first.deadline_ <= now) {
            return first.ref_;
        }
    }
    return std::nullopt;
}

double countAhead(const TaskQueue &queue, std::string_view member, Millis span)
{
    const auto found = queue.members_.find(member);
    if (found == queue.members_.end()) {
        return 0;
    }
    std::size_t all = 0;
    for (auto it = queue.spans_.begin(); it != queue.spans_.end() && it->first <= span.count_; ++it) {
        all += it->second.size_;
    }
    const MemberQueue &own = found->second;
    std::size_t mine = 0;
    for (auto it = own.spans_.begin(); it != own.spans_.end() && it->first <= span.count_; ++it) {
        mine += it->second;
    }
    const double byShare = static_cast<double>(mine) * queue.activeWeight_ / own.weight_;
    return std::min(static_cast<double>(all), byShare);
}

} // namespace ibiswall
