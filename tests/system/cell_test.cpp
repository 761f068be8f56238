// The path of a cell as processes: service, kills, outages of the store, stops, evacuations, and bad input.

#include "cell.hpp"
#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

namespace ibiswall::system {

namespace {

// Callers who submit jobs one after the other, in threads of their own.
class Callers
{
public:
    Callers(const Cell &cell, int threads, int jobs, int runMillis)
        : answers_(static_cast<std::size_t>(threads * jobs))
    {
        for (int thread = 0; thread < threads; ++thread) {
            threads_.emplace_back([this, &cell, thread, jobs, runMillis] {
                for (int i = 0; i < jobs; ++i) {
                    const int number = thread * jobs + i;
                    answers_[static_cast<std::size_t>(number)] = cell.submit(jobId(number + 1), 3, runMillis, true, {60000});
                }
            });
        }
    }

    std::vector<JobAnswer> join()
    {
        for (std::thread &each : threads_) {
            each.join();
        }
        return answers_;
    }

private:
    std::vector<JobAnswer> answers_;
    std::vector<std::thread> threads_;
};

void checkAll(const std::vector<JobAnswer> &answers, const Cell &cell)
{
    for (const JobAnswer &answer : answers) {
        BOOST_TEST(answer.state_ == "completed");
    }
    BOOST_TEST(cell.overlaps().empty());
}

void pauseFor(int millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell)

BOOST_AUTO_TEST_CASE(jobs_run_to_their_end_and_each_task_once)
{
    Cell cell({2, 4, 0});
    cell.awaitService();
    Callers callers(cell, 6, 20, 20);
    checkAll(callers.join(), cell);
    for (const auto &[task, times] : cell.done()) {
        BOOST_TEST(times == 1, task);
    }
}

BOOST_AUTO_TEST_CASE(callers_are_served_across_the_loss_of_the_leader)
{
    Cell cell({3, 4, 0});
    cell.awaitService();
    const std::size_t leader = cell.leader();
    Callers callers(cell, 6, 30, 60);
    pauseFor(500);
    cell.entries()[leader].process_->kill();
    checkAll(callers.join(), cell);
}

BOOST_AUTO_TEST_CASE(callers_are_served_while_agents_and_workers_are_killed)
{
    Cell cell({2, 5, 0});
    cell.awaitService();
    Callers callers(cell, 6, 30, 60);
    pauseFor(300);
    cell.places()[0].agent_->kill();
    cell.places()[1].worker_->kill();
    pauseFor(300);
    cell.startAgent(0);
    cell.startWorker(1);
    checkAll(callers.join(), cell);
}

BOOST_AUTO_TEST_CASE(orders_without_an_answer_that_are_carried_out_late_run_nothing_twice)
{
    Cell cell({2, 4, 0.2});
    cell.awaitService();
    Callers callers(cell, 4, 15, 40);
    checkAll(callers.join(), cell);
}

BOOST_AUTO_TEST_CASE(a_frozen_leader_is_replaced_and_harms_nothing_when_it_wakes)
{
    Cell cell({3, 4, 0});
    cell.awaitService();
    const std::size_t leader = cell.leader();
    Callers callers(cell, 6, 30, 60);
    pauseFor(300);
    cell.entries()[leader].process_->signal(SIGSTOP);
    pauseFor(2500);
    cell.entries()[leader].process_->signal(SIGCONT);
    checkAll(callers.join(), cell);
}

BOOST_AUTO_TEST_CASE(service_goes_on_while_the_store_is_down)
{
    Cell cell({2, 4, 0});
    cell.awaitService();
    cell.setStore({{"down", true}});
    pauseFor(5000);
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(cell.submit(jobId(1000 + i), 2, 10, true, {5000}).state_ == "completed");
    }
    // A job that has to be stored is refused at once, and truthfully.
    const JobAnswer refused = cell.submit(jobId(2000), 1, 10, false, {1});
    BOOST_TEST(refused.status_ == 503);
    cell.setStore({{"down", false}});
    BOOST_TEST(cell.submit(jobId(2001), 1, 10, false, {20000}).status_ == 200);
}

BOOST_AUTO_TEST_CASE(an_accepted_job_outlives_the_loss_of_every_process)
{
    Cell cell({2, 3, 0});
    cell.awaitService();
    std::vector<std::string> ids;
    for (int i = 0; i < 8; ++i) {
        ids.push_back(jobId(3000 + i));
        BOOST_REQUIRE(cell.submit(ids.back(), 2, 200, false, {20000}).status_ == 200);
    }
    for (CellEntry &entry : cell.entries()) {
        entry.process_->kill();
    }
    for (CellPlace &place : cell.places()) {
        place.agent_->kill();
        place.worker_->kill();
    }
    for (std::size_t i = 0; i < cell.entries().size(); ++i) {
        cell.startEntry(i);
    }
    for (std::size_t i = 0; i < cell.places().size(); ++i) {
        cell.startWorker(i);
        cell.startAgent(i);
    }
    for (const std::string &id : ids) {
        await("the job is completed", [&] {
            const auto answer = cell.call(1, "GET", id);
            return answer && answer.value().status_ == 200 && answer.value().body_.find("completed") != std::string::npos;
        });
    }
    BOOST_TEST(cell.overlaps().empty());
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_is_lost_makes_one_job)
{
    Cell cell({2, 3, 0});
    cell.awaitService();
    cell.setStore({{"lose_writes", true}});
    std::thread caller([&] { cell.submit(jobId(4000), 1, 10, false, {30000}); });
    pauseFor(1500);
    cell.setStore({{"lose_writes", false}});
    caller.join();
    await("the job is completed", [&] {
        const auto answer = cell.call(0, "GET", jobId(4000));
        return answer && answer.value().body_.find("completed") != std::string::npos;
    });
    const auto done = cell.done();
    BOOST_TEST(done.at(jobId(4000) + ".0.0.0") == 1);
}

BOOST_AUTO_TEST_CASE(planned_stops_lose_no_answer)
{
    Cell cell({3, 4, 0});
    cell.awaitService();
    Callers callers(cell, 6, 25, 60);
    pauseFor(300);
    CellEntry &first = cell.entries()[cell.leader()];
    first.process_->signal(SIGTERM);
    cell.places()[0].agent_->signal(SIGTERM);
    BOOST_TEST(first.process_->wait() == 0);
    BOOST_TEST(cell.places()[0].agent_->wait() == 0);
    const auto answers = callers.join();
    checkAll(answers, cell);
}

BOOST_AUTO_TEST_CASE(an_evacuated_failure_domain_gets_nothing_until_it_is_taken_back)
{
    Cell cell({2, 2, 0});
    cell.awaitService();
    cell.write("op/evacuate/fd-1", Json::object());
    await("jobs are refused", [&] { return cell.submit(jobId(5000), 1, 1, true, {1}).status_ == 503 || cell.done().empty(); });
    const auto before = cell.done().size();
    BOOST_TEST(cell.submit(jobId(5001), 1, 1, true, {1}).status_ != 200);
    BOOST_TEST(cell.done().size() == before);
    cell.remove("op/evacuate/fd-1");
    cell.awaitService();
}

BOOST_AUTO_TEST_CASE(cancelled_jobs_are_shown_as_cancelled_and_stop)
{
    Cell cell({2, 2, 0});
    cell.awaitService();
    BOOST_REQUIRE(cell.submit(jobId(6000), 2, 20000, false, {20000}).status_ == 200);
    await("the job is cancelled", [&] {
        const auto answer = cell.call(0, "DELETE", jobId(6000));
        return answer && answer.value().status_ == 200;
    });
    BOOST_TEST(cell.call(0, "GET", jobId(6000)).value().body_.find("cancelled") != std::string::npos);
    BOOST_TEST(cell.call(1, "DELETE", jobId(6001)).value().status_ == 410);
    BOOST_TEST(cell.call(1, "GET", jobId(6001)).value().status_ == 410);
}

BOOST_AUTO_TEST_CASE(records_of_ended_jobs_leave_the_store_when_their_time_is_over)
{
    CellShape shape{2, 1, 0};
    shape.keepStates_ = {500};
    Cell cell(shape);
    cell.awaitService();
    BOOST_REQUIRE(cell.submit(jobId(7000), 2, 1, false, {20000}).status_ == 200);
    // An entry that does not know the job any more asks the store.
    await("the job is gone", [&] { return cell.call(1, "GET", jobId(7000)).value().status_ == 410; });
}

BOOST_AUTO_TEST_CASE(bad_input_is_refused_with_a_number_and_a_reason)
{
    Cell cell({1, 1, 0});
    cell.awaitService();
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
    // The count may be as old as the leader's latest beat.
    await("no job waits", [&] { return cell.call(0, "GET", "").value().body_ == R"({"waiting":0})"; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
