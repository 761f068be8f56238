// Writes the record of a case and searches it for runs that overlap.

#include "record.hpp"

#include "http.hpp"

#include <algorithm>

namespace review {

namespace {

// A worker ends runs in steps of this length, so that shorter overlaps say nothing.
constexpr std::int64_t resolutionMillis = 5;

} // namespace

Record::Record(const std::string &file)
    : file_(file, std::ios::trunc)
    , begin_(nowMillis())
{
}

std::int64_t Record::now() const
{
    return nowMillis() - begin_;
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << now() << " ms  " << text << std::endl;
}

void Record::started(const std::string &worker, const std::string &task, std::uint64_t run)
{
    line(worker + " starts " + task + " run " + std::to_string(run));
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({task, run, worker, now(), 0, {}, false});
}

void Record::ended(const std::string &worker, const std::string &task, std::uint64_t run, const std::string &how)
{
    line(worker + " ends " + task + " run " + std::to_string(run) + ": " + how);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (RecordedRun &each : runs_) {
        if (each.worker_ == worker && each.task_ == task && each.run_ == run && each.endedAt_ == 0) {
            each.endedAt_ = now();
            each.how_ = how;
        }
    }
}

void Record::noted(const std::string &worker, const std::string &task, std::uint64_t run)
{
    line("the end of " + task + " run " + std::to_string(run) + " on " + worker + " is taken note of");
    const std::lock_guard<std::mutex> lock(mutex_);
    for (RecordedRun &each : runs_) {
        each.noted_ = each.noted_ || (each.worker_ == worker && each.task_ == task && each.run_ == run);
    }
}

std::vector<std::pair<RecordedRun, RecordedRun>> Record::repetitions() const
{
    const std::vector<RecordedRun> runs = this->runs();
    std::vector<std::pair<RecordedRun, RecordedRun>> out;
    for (const RecordedRun &first : runs) {
        for (const RecordedRun &second : runs) {
            if (first.task_ == second.task_ && first.how_ == "done" && first.noted_ && second.startedAt_ > first.endedAt_) {
                out.emplace_back(first, second);
            }
        }
    }
    return out;
}

std::vector<RecordedRun> Record::runs() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
}

std::vector<Overlap> Record::overlaps() const
{
    const std::vector<RecordedRun> runs = this->runs();
    const std::int64_t until = now();
    std::vector<Overlap> out;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
            if (runs[i].task_ != runs[j].task_) {
                continue;
            }
            const std::int64_t firstEnd = runs[i].endedAt_ == 0 ? until : runs[i].endedAt_;
            const std::int64_t secondEnd = runs[j].endedAt_ == 0 ? until : runs[j].endedAt_;
            const std::int64_t millis = std::min(firstEnd, secondEnd) - std::max(runs[i].startedAt_, runs[j].startedAt_);
            if (millis > resolutionMillis) {
                out.push_back({runs[i], runs[j], millis});
            }
        }
    }
    return out;
}

} // namespace review
