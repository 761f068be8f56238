// Measures the memory of an entry per completed job, with the answers retained and with the answers discarded.

#include <ibiswall/core.hpp>
#include <iostream>
#include <malloc.h>

namespace ibiswall {

namespace {

constexpr Now startTime{{1000}, {1000000}};
constexpr std::size_t answerBytes = 64;

std::vector<TaskReport> reportAllDone(const DispatchActions &actions)
{
    std::vector<TaskReport> reports;
    for (const SendOrders &send : actions.orders_) {
        for (const Order &order : send.orders_) {
            TaskReport report;
            report.key_ = order.key_;
            report.outcome_ = {TaskState::Done, Code::Ok, std::string(answerBytes, 'a')};
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

// Runs jobs with the given number of tasks to completion, one after the other.
void runJobs(Dispatcher &entry, std::size_t jobs, std::size_t tasks)
{
    for (std::size_t i = 0; i < jobs; ++i) {
        DispatchActions actions;
        Submission job;
        job.id_ = issueId(entry, startTime);
        job.member_ = "studio";
        job.kind_ = "note";
        job.payloads_.assign(tasks, std::string(answerBytes, 'p'));
        submit(entry, startTime, job, 1, actions);
        while (!actions.orders_.empty()) {
            const auto reports = reportAllDone(actions);
            actions = {};
            applyReports(entry, startTime, 1, reports, actions);
        }
    }
}

void measure(std::size_t jobs, std::size_t tasks, std::size_t maxAnswerBytes)
{
    const std::size_t before = mallinfo2().uordblks;
    Dispatcher entry;
    entry.self_ = {"entry-1", 7};
    entry.configuration_.kinds_["note"] = Kind{1, false, {1000}};
    entry.limits_.maxAnswerBytes_ = maxAnswerBytes;
    entry.limits_.maxJobs_ = jobs;
    DispatchActions actions;
    const int slots = static_cast<int>(tasks);
    joinAgent(entry, startTime, 1, AgentInfo{{"a", 1}, {"a", "w", "east"}, slots, slots}, actions);
    runJobs(entry, jobs, tasks);
    const std::size_t used = mallinfo2().uordblks - before;
    std::cout << jobs << " jobs of " << tasks << ", " << entry.jobs_.size() << " answers kept, " << entry.tombstones_.size()
              << " ended: " << used / jobs << " B a job\n";
}

} // namespace

} // namespace ibiswall

int main()
{
    constexpr std::size_t unbounded = std::size_t{1} << 40U;
    for (const std::size_t jobs : {5000U, 10000U, 20000U}) {
        for (const std::size_t tasks : {1U, 100U}) {
            ibiswall::measure(jobs, tasks, unbounded);
            ibiswall::measure(jobs, tasks, 0);
        }
    }
}
