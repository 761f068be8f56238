// Callers of a cell that submit best-effort jobs for as long as a test goes on.

#pragma once

#include "cell.hpp"

#include <thread>

namespace ibiswall::system {

/// Submits jobs from several threads, each sending one job after the other.
class CallerThreads
{
public:
    CallerThreads(const Cell &cell, int threads, int jobs, int runMillis)
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

    ~CallerThreads()
    {
        join();
    }

    CallerThreads(const CallerThreads &) = delete;
    CallerThreads &operator=(const CallerThreads &) = delete;

    std::vector<SubmitResult> join()
    {
        for (std::thread &each : threads_) {
            if (each.joinable()) {
                each.join();
            }
        }
        return answers_;
    }

private:
    std::vector<SubmitResult> answers_;
    std::vector<std::thread> threads_;
};

} // namespace ibiswall::system
