// Tests a cell end to end: normal service, killed and suspended processes, store outages, planned stops, evacuation and invalid input.

#include "callerthreads.hpp"
#include "cell.hpp"
#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

namespace ibiswall::system {

namespace {

void checkAllCompleted(const std::vector<SubmitResult> &answers, const Cell &cell)
{
    for (const SubmitResult &answer : answers) {
        BOOST_TEST(answer.state_ == "completed");
    }
    BOOST_TEST(cell.overlappingTasks().empty());
}

void sleepFor(int millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell)

BOOST_AUTO_TEST_CASE(completes_jobs_and_runs_each_task_once)
{
    Cell cell({2, 4, 0});
    cell.awaitReady();
    CallerThreads callers(cell, 6, 20, 20);
    checkAllCompleted(callers.join(), cell);
    for (const auto &[task, times] : cell.endedRuns("done")) {
        BOOST_TEST(times == 1, task);
    }
}

BOOST_AUTO_TEST_CASE(serves_callers_after_the_leader_is_killed)
{
    Cell cell({3, 4, 0});
    cell.awaitReady();
    const std::size_t leader = cell.leader();
    CallerThreads callers(cell, 6, 30, 60);
    sleepFor(500);
    cell.entries()[leader].process_->kill();
    checkAllCompleted(callers.join(), cell);
}

BOOST_AUTO_TEST_CASE(serves_callers_while_agents_and_workers_are_killed)
{
    Cell cell({2, 5, 0});
    cell.awaitReady();
    CallerThreads callers(cell, 6, 30, 60);
    sleepFor(300);
    cell.workerNodes()[0].agent_->kill();
    cell.workerNodes()[1].worker_->kill();
    sleepFor(300);
    cell.startAgent(0);
    cell.startWorker(1);
    checkAllCompleted(callers.join(), cell);
}

BOOST_AUTO_TEST_CASE(late_unanswered_orders_cause_no_overlapping_runs)
{
    Cell cell({2, 4, 0.2});
    cell.awaitReady();
    CallerThreads callers(cell, 4, 15, 40);
    checkAllCompleted(callers.join(), cell);
}

BOOST_AUTO_TEST_CASE(suspended_leader_causes_no_overlapping_runs_when_resumed)
{
    Cell cell({3, 4, 0});
    cell.awaitReady();
    const std::size_t leader = cell.leader();
    CallerThreads callers(cell, 6, 30, 60);
    sleepFor(300);
    cell.entries()[leader].process_->signal(SIGSTOP);
    sleepFor(2500);
    cell.entries()[leader].process_->signal(SIGCONT);
    checkAllCompleted(callers.join(), cell);
}

BOOST_AUTO_TEST_CASE(store_outage_refuses_only_jobs_that_must_be_stored)
{
    Cell cell({2, 4, 0});
    cell.awaitReady();
    cell.setStoreMode({{"down", true}});
    sleepFor(5000);
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(cell.submit(jobId(1000 + i), 2, 10, true, {5000}).state_ == "completed");
    }
    // A job that must be stored is refused immediately, with status 503.
    const SubmitResult refused = cell.submit(jobId(2000), 1, 10, false, {1});
    BOOST_TEST(refused.status_ == 503);
    cell.setStoreMode({{"down", false}});
    BOOST_TEST(cell.submit(jobId(2001), 1, 10, false, {20000}).status_ == 200);
}

BOOST_AUTO_TEST_CASE(accepted_jobs_survive_the_restart_of_every_process)
{
    Cell cell({2, 3, 0});
    cell.awaitReady();
    std::vector<std::string> ids;
    for (int i = 0; i < 8; ++i) {
        ids.push_back(jobId(3000 + i));
        BOOST_REQUIRE(cell.submit(ids.back(), 2, 200, false, {20000}).status_ == 200);
    }
    for (CellEntry &entry : cell.entries()) {
        entry.process_->kill();
    }
    for (WorkerNode &node : cell.workerNodes()) {
        node.agent_->kill();
        node.worker_->kill();
    }
    for (std::size_t i = 0; i < cell.entries().size(); ++i) {
        cell.startEntry(i);
    }
    for (std::size_t i = 0; i < cell.workerNodes().size(); ++i) {
        cell.startWorker(i);
        cell.startAgent(i);
    }
    for (const std::string &id : ids) {
        await("the job is completed", [&] {
            const auto answer = cell.call(1, "GET", id);
            return answer && answer.value().status_ == 200 && answer.value().body_.find("completed") != std::string::npos;
        });
    }
    BOOST_TEST(cell.overlappingTasks().empty());
}

BOOST_AUTO_TEST_CASE(lost_write_answer_creates_one_job)
{
    Cell cell({2, 3, 0});
    cell.awaitReady();
    cell.setStoreMode({{"lose_writes", true}});
    std::thread caller([&] { cell.submit(jobId(4000), 1, 10, false, {30000}); });
    sleepFor(1500);
    cell.setStoreMode({{"lose_writes", false}});
    caller.join();
    await("the job is completed", [&] {
        const auto answer = cell.call(0, "GET", jobId(4000));
        return answer && answer.value().body_.find("completed") != std::string::npos;
    });
    const auto completedRuns = cell.endedRuns("done");
    BOOST_TEST(completedRuns.at(jobId(4000) + ".0.0.0") == 1);
}

BOOST_AUTO_TEST_CASE(planned_stops_lose_no_answer)
{
    Cell cell({3, 4, 0});
    cell.awaitReady();
    CallerThreads callers(cell, 6, 25, 60);
    sleepFor(300);
    CellEntry &first = cell.entries()[cell.leader()];
    first.process_->signal(SIGTERM);
    cell.workerNodes()[0].agent_->signal(SIGTERM);
    BOOST_TEST(first.process_->wait() == 0);
    BOOST_TEST(cell.workerNodes()[0].agent_->wait() == 0);
    const auto answers = callers.join();
    checkAllCompleted(answers, cell);
}

BOOST_AUTO_TEST_CASE(repeated_stop_signals_abandon_no_job)
{
    Cell cell({1, 1, 0});
    cell.awaitReady();
    CellEntry &entry = cell.entries()[0];
    WorkerNode &node = cell.workerNodes()[0];
    SubmitResult answer;
    std::thread caller([&] { answer = cell.submit(jobId(4500), 2, 1000, true, {1}); });
    await("the job is running", [&] { return cell.starts(jobId(4500)) == 2; });
    for (int i = 0; i < 3; ++i) {
        entry.process_->signal(SIGTERM);
        node.agent_->signal(SIGTERM);
        sleepFor(50);
    }
    BOOST_TEST(entry.process_->wait() == 0);
    BOOST_TEST(node.agent_->wait() == 0);
    caller.join();
    BOOST_TEST(answer.state_ == "completed");
    BOOST_TEST(answer.status_ == 200);
    BOOST_TEST(answer.attempts_ == 1);
}

BOOST_AUTO_TEST_CASE(evacuated_failure_domain_gets_no_work_until_restored)
{
    Cell cell({2, 2, 0});
    cell.awaitReady();
    cell.putKey("op/evacuate/fd-1", Json::object());
    await("jobs are refused", [&] { return cell.submit(jobId(5000), 1, 1, true, {1}).status_ == 503 || cell.endedRuns("done").empty(); });
    const auto before = cell.endedRuns("done").size();
    BOOST_TEST(cell.submit(jobId(5001), 1, 1, true, {1}).status_ != 200);
    BOOST_TEST(cell.endedRuns("done").size() == before);
    cell.deleteKey("op/evacuate/fd-1");
    cell.awaitReady();
}

BOOST_AUTO_TEST_CASE(cancelled_jobs_are_reported_as_cancelled)
{
    Cell cell({2, 2, 0});
    cell.awaitReady();
    BOOST_REQUIRE(cell.submit(jobId(6000), 2, 20000, false, {20000}).status_ == 200);
    await("the job is cancelled", [&] {
        const auto answer = cell.call(0, "DELETE", jobId(6000));
        return answer && answer.value().status_ == 200;
    });
    BOOST_TEST(cell.call(0, "GET", jobId(6000)).value().body_.find("cancelled") != std::string::npos);
    BOOST_TEST(cell.call(1, "DELETE", jobId(6001)).value().status_ == 410);
    BOOST_TEST(cell.call(1, "GET", jobId(6001)).value().status_ == 410);
}

BOOST_AUTO_TEST_CASE(records_of_ended_jobs_are_deleted_after_their_retention)
{
    CellConfig config{2, 1, 0};
    config.stateRetention_ = {500};
    Cell cell(config);
    cell.awaitReady();
    BOOST_REQUIRE(cell.submit(jobId(7000), 2, 1, false, {20000}).status_ == 200);
    // An entry without the job in memory reads it from the store.
    await("the record of the job is deleted", [&] { return cell.call(1, "GET", jobId(7000)).value().status_ == 410; });
}

BOOST_AUTO_TEST_CASE(invalid_input_gets_a_numbered_error)
{
    Cell cell({1, 1, 0});
    cell.awaitReady();
    const auto status = [&](const std::string &method, const std::string &path, const std::string &body) {
        const auto answer = cell.call(0, method, path, body);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer.value().body_.find("\"code\":") != std::string::npos);
        return answer.value().status_;
    };
    BOOST_TEST(status("POST", "nothex", "{}") == 400);
    BOOST_TEST(status("POST", jobId(1), "{") == 400);
    BOOST_TEST(status("POST", jobId(1), R"({"spec":"x","steps":[{"count":-1}]})") == 400);
    BOOST_TEST(status("PATCH", jobId(1), "{}") == 405);
    BOOST_TEST(status("POST", jobId(1), std::string(300000, 'x')) == 413);
    // The count may be as old as the last heartbeat of the leader.
    await("no job is waiting", [&] { return cell.call(0, "GET", "").value().body_ == R"({"waiting":0})"; });
}

// Calls that were sent during a silent outage of the store are never answered, the waiting read of the configuration among them.
BOOST_AUTO_TEST_CASE(configuration_is_read_again_after_a_silent_outage)
{
    Cell cell({2, 2, 0});
    cell.awaitReady();
    cell.setStoreMode({{"silent", true}});
    // Longer than a waiting read, so that each entry sends one into the outage.
    sleepFor(1500);
    BOOST_TEST(cell.submit(jobId(8000), 1, 1, true, {20000}).status_ == 200);
    cell.setStoreMode({{"silent", false}});
    cell.putKey("op/evacuate/fd-1", Json::object());
    await("the evacuation is in force", [&] { return cell.submit(jobId(8001), 1, 1, true, {1}).status_ == 503; });
    cell.deleteKey("op/evacuate/fd-1");
    cell.awaitReady();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
