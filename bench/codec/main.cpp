// Benchmarks encoding and decoding of link messages: orders and reports with several numbers of tasks per frame.

#include <chrono>
#include <ibiswall/codec.hpp>
#include <iomanip>
#include <iostream>

namespace ibiswall::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t timedTasks = 400000;
constexpr std::size_t payloadBytes = 64;

Message makeOrders(std::size_t count)
{
    Orders orders;
    for (std::uint32_t i = 0; i < count; ++i) {
        orders.orders_.push_back(
            {{"entry-1.19adf8c0c1b5a2.19adf8c0d00.1f4.9c81d2e4a7b35f60", i}, "note", std::string(payloadBytes, 'x'), {500}});
    }
    return orders;
}

Message makeReports(std::size_t count)
{
    TaskReports reports;
    for (std::uint32_t i = 0; i < count; ++i) {
        reports.reports_.push_back(
            {{"entry-1.19adf8c0c1b5a2.19adf8c0d00.1f4.9c81d2e4a7b35f60", i}, {TaskState::Done, Code::Ok, std::string(payloadBytes, 'x')}});
    }
    return reports;
}

// Average time in nanoseconds per task of a function that handles a frame of frameTasks tasks.
template<typename Function>
double nanosecondsPerTask(std::size_t frameTasks, const Function &function)
{
    const auto startedAt = Clock::now();
    for (std::size_t done = 0; done < timedTasks; done += frameTasks) {
        function();
    }
    return std::chrono::duration<double, std::nano>(Clock::now() - startedAt).count() / timedTasks;
}

void measure(const std::string &name, std::size_t count, const Message &message)
{
    const std::string frame = encode(message);
    std::size_t bytes = 0;
    const double encodeNanos = nanosecondsPerTask(count, [&] { bytes += encode(message).size(); });
    const double decodeNanos = nanosecondsPerTask(count, [&] { bytes += decode(frame).has_value() ? 1 : 0; });
    std::cout << std::setw(8) << name << std::setw(6) << count << std::fixed << std::setprecision(0) << std::setw(10) << encodeNanos
              << std::setw(10) << decodeNanos << std::setw(10) << frame.size() / count << (bytes > 0 ? "" : " empty") << '\n';
}

} // namespace

} // namespace ibiswall::bench

int main()
{
    using namespace ibiswall::bench;
    std::cout << " message tasks encode/ns decode/ns   bytes, each per task\n";
    for (const std::size_t count : {1U, 8U, 64U}) {
        measure("orders", count, makeOrders(count));
        measure("reports", count, makeReports(count));
    }
}
