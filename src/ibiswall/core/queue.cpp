// Stride scheduling between members, earliest deadline first within a member.

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

void addToBacklog(TaskQueue &queue, MemberQueue &own, Millis now, Millis relativeDeadline)
{
    DeadlineBacklog &backlog = queue.byRelativeDeadline_[relativeDeadline.count_];
    if (backlog.size_ == 0) {
        backlog.since_ = now;
    }
    ++backlog.size_;
    ++own.byRelativeDeadline_[relativeDeadline.count_];
    ++queue.size_;
}

void removeFromBacklog(TaskQueue &queue, MemberQueue &own, Millis relativeDeadline)
{
    --queue.byRelativeDeadline_[relativeDeadline.count_].size_;
    const auto ownCount = own.byRelativeDeadline_.find(relativeDeadline.count_);
    if (--ownCount->second == 0) {
        own.byRelativeDeadline_.erase(ownCount);
    }
    --queue.size_;
}

} // namespace

bool operator<(const QueuedTask &a, const QueuedTask &b)
{
    return std::make_tuple(a.deadline_.count_, -a.value_, a.sequence_) < std::make_tuple(b.deadline_.count_, -b.value_, b.sequence_);
}

QueuedTask push(TaskQueue &queue, Millis now, std::string_view member, const QueueEntry &entry)
{
    MemberQueue &own = memberQueue(queue, member);
    const bool wasActive = !own.tasks_.empty();
    queue.activeWeight_ += wasActive ? entry.weight_ - own.weight_ : 0;
    own.weight_ = entry.weight_;
    if (!wasActive) {
        activate(queue, member, own);
    }
    const QueuedTask queued{entry.deadline_, entry.value_, queue.nextSequence_++, entry.ref_, entry.relativeDeadline_};
    own.tasks_.insert(queued);
    addToBacklog(queue, own, now, entry.relativeDeadline_);
    return queued;
}

std::optional<TaskRef> pop(TaskQueue &queue)
{
    if (queue.active_.empty()) {
        return std::nullopt;
    }
    const std::string member = queue.active_.begin()->second;
    MemberQueue &own = queue.members_.find(member)->second;
    const QueuedTask queued = *own.tasks_.begin();
    deactivate(queue, member, own);
    own.tasks_.erase(own.tasks_.begin());
    removeFromBacklog(queue, own, queued.relativeDeadline_);
    queue.pass_ = own.pass_;
    own.pass_ += 1.0 / own.weight_;
    if (!own.tasks_.empty()) {
        activate(queue, member, own);
    }
    return queued.ref_;
}

bool remove(TaskQueue &queue, std::string_view member, const QueuedTask &queued)
{
    const auto found = queue.members_.find(member);
    if (found == queue.members_.end() || found->second.tasks_.erase(queued) == 0) {
        return false;
    }
    removeFromBacklog(queue, found->second, queued.relativeDeadline_);
    if (found->second.tasks_.empty()) {
        deactivate(queue, member, found->second);
    }
    return true;
}

std::optional<TaskRef> findExpired(const TaskQueue &queue, Millis now)
{
    for (const auto &[pass, member] : queue.active_) {
        const QueuedTask &first = *queue.members_.find(member)->second.tasks_.begin();
        if (first.deadline_ <= now) {
            return first.ref_;
        }
    }
    return std::nullopt;
}

double countAhead(const TaskQueue &queue, std::string_view member, Millis relativeDeadline)
{
    const auto found = queue.members_.find(member);
    if (found == queue.members_.end()) {
        return 0;
    }
    std::size_t all = 0;
    for (auto it = queue.byRelativeDeadline_.begin(); it != queue.byRelativeDeadline_.end() && it->first <= relativeDeadline.count_; ++it) {
        all += it->second.size_;
    }
    const MemberQueue &own = found->second;
    std::size_t ownCount = 0;
    for (auto it = own.byRelativeDeadline_.begin(); it != own.byRelativeDeadline_.end() && it->first <= relativeDeadline.count_; ++it) {
        ownCount += it->second;
    }
    const double byShare = static_cast<double>(ownCount) * queue.activeWeight_ / own.weight_;
    return std::min(static_cast<double>(all), byShare);
}

} // namespace ibiswall
