// Compares the queue with a slow version over seeded histories.

#include "testsettings.hpp"

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

struct SlowTask
{
    std::string member_;
    Waiting waiting_;
};

struct SlowMember
{
    double pass_ = 0;
    int weight_ = 1;
};

// Keeps tasks in order of arrival and looks at all of them each time.
struct SlowQueue
{
    std::vector<SlowTask> tasks_;
    std::map<std::string, SlowMember> members_;
    double pass_ = 0;
};

std::size_t countOf(const SlowQueue &queue, const std::string &member)
{
    return static_cast<std::size_t>(
        std::count_if(queue.tasks_.begin(), queue.tasks_.end(), [&member](const SlowTask &task) { return task.member_ == member; }));
}

void push(SlowQueue &queue, const std::string &member, int weight, const Waiting &waiting)
{
    SlowMember &own = queue.members_[member];
    own.weight_ = weight;
    if (countOf(queue, member) == 0) {
        own.pass_ = std::max(own.pass_, queue.pass_);
    }
    queue.tasks_.push_back({member, waiting});
}

bool goesFirst(const SlowQueue &queue, const SlowTask &a, const SlowTask &b)
{
    const double passA = queue.members_.at(a.member_).pass_;
    const double passB = queue.members_.at(b.member_).pass_;
    if (a.member_ == b.member_) {
        return a.waiting_ < b.waiting_;
    }
    return passA != passB ? passA < passB : a.member_ < b.member_;
}

std::optional<TaskRef> pop(SlowQueue &queue)
{
    if (queue.tasks_.empty()) {
        return std::nullopt;
    }
    auto first = queue.tasks_.begin();
    for (auto it = queue.tasks_.begin(); it != queue.tasks_.end(); ++it) {
        first = goesFirst(queue, *it, *first) ? it : first;
    }
    const SlowTask task = *first;
    queue.tasks_.erase(first);
    SlowMember &own = queue.members_[task.member_];
    queue.pass_ = own.pass_;
    own.pass_ += 1.0 / own.weight_;
    return task.waiting_.ref_;
}

double countAhead(const SlowQueue &queue, const std::string &member, Millis span)
{
    double all = 0;
    double mine = 0;
    for (const SlowTask &task : queue.tasks_) {
        const bool counts = task.waiting_.span_ <= span;
        all += counts ? 1 : 0;
        mine += counts && task.member_ == member ? 1 : 0;
    }
    int weights = 0;
    for (const auto &[name, own] : queue.members_) {
        weights += countOf(queue, name) > 0 ? own.weight_ : 0;
    }
    const auto own = queue.members_.find(member);
    return own == queue.members_.end() ? 0 : std::min(all, mine * weights / own->second.weight_);
}

constexpr std::uint64_t fewHistories = 50;

void compareOnce(std::uint64_t seed)
{
    constexpr int steps = 400;
    constexpr std::size_t members = 6;
    Random random(seed);
    TaskQueue queue;
    SlowQueue slow;
    for (int step = 0; step < steps; ++step) {
        const std::size_t drawn = drawIndex(random, members);
        const std::string member = "member-" + std::to_string(drawn);
        const std::size_t action = drawIndex(random, 10);
        if (action < 5) {
            const Millis span{static_cast<std::int64_t>(1000 * (1 + drawIndex(random, 3)))};
            const int weight = 1 + static_cast<int>(drawn % 3);
            const QueueEntry entry{
                weight, Millis{step} + span, span, static_cast<int>(drawIndex(random, 3)), {static_cast<std::uint64_t>(step), 0}};
            push(slow, member, weight, push(queue, {step}, member, entry));
        } else if (action < 8) {
            BOOST_REQUIRE(pop(queue) == pop(slow));
        } else if (!slow.tasks_.empty()) {
            const auto victim = slow.tasks_.begin() + static_cast<std::ptrdiff_t>(drawIndex(random, slow.tasks_.size()));
            BOOST_REQUIRE(remove(queue, victim->member_, victim->waiting_));
            BOOST_REQUIRE(!remove(queue, victim->member_, victim->waiting_));
            slow.tasks_.erase(victim);
        }
        BOOST_REQUIRE(queue.size_ == slow.tasks_.size());
        BOOST_REQUIRE(countAhead(queue, member, {2000}) == countAhead(slow, member, {2000}));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue)

BOOST_AUTO_TEST_CASE(same_order_as_a_slow_queue)
{
    const std::uint64_t histories = fromEnvironment("IBISWALL_HISTORIES", fewHistories);
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        BOOST_TEST_INFO_SCOPE("seed " << seed);
        compareOnce(seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
