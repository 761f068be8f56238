// Tests a cell whose workers restart under their ids, and take calls that were meant for their former incarnations.

#include "../environment.hpp"
#include "cell.hpp"
#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <random>
#include <thread>

namespace ibiswall::system {

namespace {

constexpr int tasksPerJob = 14;
constexpr int shortRunMillis = 60;
constexpr Millis acceptTimeout{20000};
constexpr int crashesOfGivenUpTask = 2;

CellConfig makeConfig(int replyMillis)
{
    CellConfig config;
    config.workers_ = 5;
    config.stopMillis_ = 45;
    config.replyMillis_ = replyMillis;
    return config;
}

// Whether so many workers have crashed under one task of a job that it may be given up.
bool mayBeGivenUp(const Cell &cell, const std::string &job)
{
    const auto crashed = cell.endedRuns("crashed");
    return std::any_of(crashed.begin(), crashed.end(),
                       [&job](const auto &each) { return each.first.rfind(job, 0) == 0 && each.second >= crashesOfGivenUpTask; });
}

void checkJobs(const Cell &cell, int jobs)
{
    for (int i = 1; i <= jobs; ++i) {
        const std::string job = jobId(i);
        await("a job ends", [&] { return cell.state(job) == "completed" || cell.state(job) == "failed"; });
        BOOST_TEST((cell.state(job) == "completed" || mayBeGivenUp(cell, job)), job << " failed without a cause");
    }
    for (const std::string &task : cell.overlappingTasks()) {
        BOOST_TEST(false, task << " ran twice at the same time");
    }
    for (const std::string &task : cell.repeatedTasks()) {
        BOOST_TEST(false, task << " was started again after its result had been discarded");
    }
}

// Workers restart, some of them several times in a row, while jobs of short and long tasks come, and leaders are killed.
class RestartScenario
{
public:
    explicit RestartScenario(std::uint32_t seed)
        : random_(seed)
        , cell_(makeConfig(pick({0, 0, 4, 12})))
    {
    }

    void play()
    {
        cell_.awaitReady();
        constexpr int rounds = 8;
        for (int round = 0; round < rounds; ++round) {
            pause(pick({0, 300, 1500}));
            restartWorkers();
            submitJobs();
            if (pick({0, 0, 0, 1}) == 1) {
                const std::size_t leader = cell_.leader();
                cell_.entries()[leader].process_->kill();
                cell_.startEntry(leader);
            }
        }
        checkJobs(cell_, jobs_);
    }

private:
    int pick(std::initializer_list<int> choices)
    {
        return *(choices.begin() + random_() % choices.size());
    }

    static void pause(int millis)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(millis));
    }

    void restartWorkers()
    {
        const int count = pick({1, 1, 2});
        for (int i = 0; i < count; ++i) {
            const std::size_t worker = random_() % cell_.workerNodes().size();
            for (int lives = pick({1, 1, 2, 3}); lives > 0; --lives) {
                const int down = pick({0, 5, 60, 250, 600, 2000});
                cell_.restartWorker(worker, {down}, {pick({0, 200, 800, 1500})});
                pause(lives > 1 ? down + pick({0, 20, 100}) : pick({0, 20, 300}));
            }
        }
    }

    void submitJobs()
    {
        for (int i = pick({2, 6, 12}); i > 0; --i) {
            const int runMillis = pick({5, shortRunMillis, shortRunMillis, 400, 1500});
            BOOST_REQUIRE(cell_.submit(jobId(++jobs_), pick({1, 6, tasksPerJob}), runMillis, false, acceptTimeout).status_ == 200);
            pause(pick({0, 10, 50}));
        }
    }

    std::minstd_rand random_;
    Cell cell_;
    int jobs_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(restarts)

// Runs that the new incarnation of an idle worker had started were reported as lost, and their tasks ran elsewhere at the same time.
BOOST_AUTO_TEST_CASE(tasks_run_once_when_jobs_come_before_a_restarted_worker_announces_itself)
{
    Cell cell(makeConfig(0));
    cell.awaitReady();
    constexpr int laterJobs = 20;
    cell.restartWorker(0, {500}, {800});
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    for (int i = 1; i <= laterJobs; ++i) {
        BOOST_REQUIRE(cell.submit(jobId(i), tasksPerJob, i == 1 ? 2000 : shortRunMillis, false, acceptTimeout).status_ == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    checkJobs(cell, laterJobs);
    for (const auto &[task, runs] : cell.endedRuns("done")) {
        BOOST_TEST(runs == 1, task << " was done " << runs << " times");
    }
}

BOOST_AUTO_TEST_CASE(tasks_run_once_while_workers_restart)
{
    constexpr unsigned seedsInCi = 2;
    const unsigned end = firstSeed() + numberFromEnvironment("IBISWALL_RESTART_SEEDS", seedsInCi);
    for (unsigned seed = firstSeed(); seed < end; ++seed) {
        std::cout << "seed " << seed << std::endl;
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RestartScenario(seed).play();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
