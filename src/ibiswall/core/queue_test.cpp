// Compares the queue with a naive implementation in random scenarios.

#include "testsettings.hpp"

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

struct NaiveTask
{
    std::string member_;
    QueuedTask queued_;
};

struct NaiveMember
{
    double pass_ = 0;
    int weight_ = 1;
};

// Keeps tasks in arrival order and searches all of them on each operation.
struct NaiveQueue
{
    std::vector<NaiveTask> tasks_;
    std::map<std::string, NaiveMember> members_;
    double pass_ = 0;
};

std::size_t countOf(const NaiveQueue &queue, const std::string &member)
{
    return static_cast<std::size_t>(
        std::count_if(queue.tasks_.begin(), queue.tasks_.end(), [&member](const NaiveTask &task) { return task.member_ == member; }));
}

void push(NaiveQueue &queue, const std::string &member, int weight, const QueuedTask &queued)
{
    NaiveMember &own = queue.members_[member];
    own.weight_ = weight;
    if (countOf(queue, member) == 0) {
        own.pass_ = std::max(own.pass_, queue.pass_);
    }
    queue.tasks_.push_back({member, queued});
}

bool goesFirst(const NaiveQueue &queue, const NaiveTask &a, const NaiveTask &b)
{
    const double passA = queue.members_.at(a.member_).pass_;
    const double passB = queue.members_.at(b.member_).pass_;
    if (a.member_ == b.member_) {
        return a.queued_ < b.queued_;
    }
    return passA != passB ? passA < passB : a.member_ < b.member_;
}

std::optional<TaskRef> pop(NaiveQueue &queue)
{
    if (queue.tasks_.empty()) {
        return std::nullopt;
    }
    auto first = queue.tasks_.begin();
    for (auto it = queue.tasks_.begin(); it != queue.tasks_.end(); ++it) {
        first = goesFirst(queue, *it, *first) ? it : first;
    }
    const NaiveTask task = *first;
    queue.tasks_.erase(first);
    NaiveMember &own = queue.members_[task.member_];
    queue.pass_ = own.pass_;
    own.pass_ += 1.0 / own.weight_;
    return task.queued_.ref_;
}

double countAhead(const NaiveQueue &queue, const std::string &member, Millis relativeDeadline)
{
    double all = 0;
    double ownCount = 0;
    for (const NaiveTask &task : queue.tasks_) {
        const bool counts = task.queued_.relativeDeadline_ <= relativeDeadline;
        all += counts ? 1 : 0;
        ownCount += counts && task.member_ == member ? 1 : 0;
    }
    int weights = 0;
    for (const auto &[name, own] : queue.members_) {
        weights += countOf(queue, name) > 0 ? own.weight_ : 0;
    }
    const auto own = queue.members_.find(member);
    return own == queue.members_.end() ? 0 : std::min(all, ownCount * weights / own->second.weight_);
}

constexpr std::uint64_t defaultScenarios = 50;

void compareOnce(std::uint64_t seed)
{
    constexpr int steps = 400;
    constexpr std::size_t members = 6;
    Random random(seed);
    TaskQueue queue;
    NaiveQueue naive;
    for (int step = 0; step < steps; ++step) {
        const std::size_t drawn = drawIndex(random, members);
        const std::string member = "member-" + std::to_string(drawn);
        const std::size_t action = drawIndex(random, 10);
        if (action < 5) {
            const Millis relativeDeadline{static_cast<std::int64_t>(1000 * (1 + drawIndex(random, 3)))};
            const int weight = 1 + static_cast<int>(drawn % 3);
            const QueueEntry entry{weight,
                                   Millis{step} + relativeDeadline,
                                   relativeDeadline,
                                   static_cast<int>(drawIndex(random, 3)),
                                   {static_cast<std::uint64_t>(step), 0}};
            push(naive, member, weight, push(queue, {step}, member, entry));
        } else if (action < 8) {
            BOOST_REQUIRE(pop(queue) == pop(naive));
        } else if (!naive.tasks_.empty()) {
            const auto victim = naive.tasks_.begin() + static_cast<std::ptrdiff_t>(drawIndex(random, naive.tasks_.size()));
            BOOST_REQUIRE(remove(queue, victim->member_, victim->queued_));
            BOOST_REQUIRE(!remove(queue, victim->member_, victim->queued_));
            naive.tasks_.erase(victim);
        }
        BOOST_REQUIRE(queue.size_ == naive.tasks_.size());
        BOOST_REQUIRE(countAhead(queue, member, {2000}) == countAhead(naive, member, {2000}));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue)

BOOST_AUTO_TEST_CASE(matches_naive_queue)
{
    const std::uint64_t scenarios = fromEnvironment("IBISWALL_HISTORIES", defaultScenarios);
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        BOOST_TEST_INFO_SCOPE("seed " << seed);
        compareOnce(seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
