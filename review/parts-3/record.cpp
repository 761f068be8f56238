// Writes the record of a case.

#include "record.hpp"

#include <chrono>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace review {

namespace {

struct Record
{
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t startedAt_ = 0;
};

Record &record()
{
    static Record instance;
    return instance;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t duration)
{
    if (duration > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(duration));
    }
}

void openRecord(const std::string &file)
{
    record().file_.open(file, std::ios::trunc);
    record().startedAt_ = nowMs();
}

std::int64_t sinceStart()
{
    return nowMs() - record().startedAt_;
}

void note(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(record().mutex_);
    record().file_ << sinceStart() << ' ' << line << '\n';
    record().file_.flush();
}

void headline(const std::string &line)
{
    note("# " + line);
    std::cout << sinceStart() << " ms: " << line << std::endl;
}

} // namespace review
