// Tests runs and results of jobs that have not been offered.

#include <ibiswall/cell/orphans.hpp>

#include <boost/test/unit_test.hpp>
#include <random>

namespace ibiswall::cell {

namespace {

// The same table as one list, which every call searches.
class NaiveOrphans
{
public:
    void addRun(const std::string &agent, const Run &run)
    {
        runs_.push_back({agent, run, {}});
    }

    void removeRun(const std::string &agent, const Run &run)
    {
        remove([&](const OrphanRun &each) {
            return each.agent_ == agent && each.run_.task_ == run.task_ && each.run_.number_ == run.number_;
        });
    }

    void removeRunsOf(const std::string &agent)
    {
        remove([&](const OrphanRun &each) { return each.agent_ == agent; });
    }

    void markLost(const std::string &agent, Millis now)
    {
        for (OrphanRun &each : runs_) {
            each.lostAt_ = each.agent_ == agent ? now : each.lostAt_;
        }
    }

    void removeLost(Millis before)
    {
        remove([&](const OrphanRun &each) { return each.lostAt_ != Millis{0} && each.lostAt_ < before; });
    }

    std::vector<OrphanRun> take(const std::string &job)
    {
        std::vector<OrphanRun> taken;
        std::copy_if(runs_.begin(), runs_.end(), std::back_inserter(taken),
                     [&job](const OrphanRun &each) { return each.run_.task_.job_ == job; });
        remove([&job](const OrphanRun &each) { return each.run_.task_.job_ == job; });
        return taken;
    }

private:
    template<typename Predicate>
    void remove(Predicate matches)
    {
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(), matches), runs_.end());
    }

    std::vector<OrphanRun> runs_;
};

std::vector<std::tuple<std::string, TaskId, std::uint64_t, std::int64_t>> sorted(const std::vector<OrphanRun> &runs)
{
    std::vector<std::tuple<std::string, TaskId, std::uint64_t, std::int64_t>> result;
    result.reserve(runs.size());
    for (const OrphanRun &each : runs) {
        result.emplace_back(each.agent_, each.run_.task_, each.run_.number_, each.lostAt_.count_);
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(orphans)

BOOST_AUTO_TEST_CASE(results_of_a_job_are_kept_beside_its_runs_until_it_is_taken)
{
    OrphanJobs orphans;
    orphans.addRun("a", {{"j1", 0, 0}, 3});
    orphans.addResult({"b", 1, 7}, {7, {{"j1", 0, 1}, 4}, RunOutcome::Done, {}});
    orphans.removeRunsOf("a");
    const OrphanJob taken = orphans.take("j1");
    BOOST_TEST(taken.running_.empty());
    BOOST_REQUIRE(taken.results_.size() == 1U);
    BOOST_TEST(taken.results_[0].first.agent_ == "b");
    BOOST_TEST(orphans.take("j1").results_.empty());
}

BOOST_AUTO_TEST_CASE(discarded_results_leave_the_runs)
{
    OrphanJobs orphans;
    orphans.addRun("a", {{"j1", 0, 0}, 3});
    orphans.addResult({"b", 1, 7}, {7, {{"j1", 0, 1}, 4}, RunOutcome::Done, {}});
    BOOST_TEST(orphans.discardResults("j1").results_.size() == 1U);
    const OrphanJob taken = orphans.take("j1");
    BOOST_TEST(taken.running_.size() == 1U);
    BOOST_TEST(taken.results_.empty());
}

BOOST_AUTO_TEST_CASE(run_reported_anew_by_an_agent_that_was_lost_is_kept)
{
    OrphanJobs orphans;
    orphans.addRun("a", {{"j1", 0, 0}, 3});
    orphans.markLost("a", {100});
    orphans.removeRunsOf("a");
    orphans.addRun("a", {{"j1", 0, 0}, 3});
    orphans.removeLost({200});
    BOOST_TEST(orphans.take("j1").running_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(behaves_like_one_list_under_random_changes)
{
    constexpr int agents = 4;
    constexpr int jobs = 6;
    constexpr int changes = 4000;
    std::mt19937 random(1);
    const auto below = [&random](int limit) {
        return static_cast<int>(random() % static_cast<unsigned>(limit));
    };
    OrphanJobs orphans;
    NaiveOrphans naive;
    std::int64_t now = 1;
    for (int i = 0; i < changes; ++i) {
        const std::string agent = "a" + std::to_string(below(agents));
        const std::string job = "j" + std::to_string(below(jobs));
        const Run run{{job, 0, static_cast<std::uint32_t>(below(2))}, static_cast<std::uint64_t>(below(3))};
        now += below(3);
        switch (below(8)) {
        case 0:
            orphans.removeRun(agent, run);
            naive.removeRun(agent, run);
            break;
        case 1:
            orphans.removeRunsOf(agent);
            naive.removeRunsOf(agent);
            break;
        case 2:
            orphans.markLost(agent, {now});
            naive.markLost(agent, {now});
            break;
        case 3:
            orphans.removeLost({now - 1});
            naive.removeLost({now - 1});
            break;
        case 4:
            BOOST_TEST((sorted(orphans.take(job).running_) == sorted(naive.take(job))), "change " << i);
            break;
        default:
            orphans.addRun(agent, run);
            naive.addRun(agent, run);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
