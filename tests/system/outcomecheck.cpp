// Counts recorded starts by job and task and compares them with the reported outcomes.

#include "outcomecheck.hpp"

#include <map>
#include <sstream>

namespace ibiswall::system {

namespace {

using StartCounts = std::map<std::pair<std::string, std::size_t>, std::size_t>;

StartCounts countStarts(const std::vector<Start> &starts)
{
    StartCounts counts;
    for (const Start &start : starts) {
        ++counts[{start.job_, start.task_}];
    }
    return counts;
}

std::size_t startCount(const StartCounts &counts, const std::string &job, std::size_t task)
{
    const auto found = counts.find({job, task});
    return found == counts.end() ? 0 : found->second;
}

// Returns whether a reported outcome is consistent with the number of recorded starts, and counts the outcome.
bool isConsistent(const std::string &outcome, std::size_t starts, OutcomeSummary &summary)
{
    if (outcome == "done") {
        ++summary.done_;
        return starts == 1;
    }
    if (outcome == "failed") {
        ++summary.failed_;
        return starts == 1;
    }
    if (outcome == "not-run") {
        ++summary.notRun_;
        return starts == 0;
    }
    ++summary.mayHaveRun_;
    return outcome == "may-have-run" && starts <= 1;
}

std::string describeContradiction(const std::string &id, std::size_t task, const std::string &outcome, std::size_t starts)
{
    std::ostringstream text;
    text << id << '/' << task << " is " << outcome << " with " << starts << " starts";
    return text.str();
}

void checkRefusal(const Json &answer, const StartCounts &counts, OutcomeSummary &summary)
{
    const std::string id = answer.value("id", "");
    const auto first = counts.lower_bound({id, 0});
    const bool started = first != counts.end() && first->first.first == id;
    if (meansNotRun(static_cast<Code>(answer.value("code", 0))) && started) {
        summary.contradictions_.push_back(id + " was refused as not run but has recorded starts");
    }
}

} // namespace

std::vector<Start> allStarts(const Cluster &cluster)
{
    std::vector<Start> starts;
    for (std::size_t target = 0; target < cluster.targetNodes_.size(); ++target) {
        for (const Json &start : cluster.starts(target)) {
            starts.push_back({start["job"], start["task"], {start["at_ms"].get<std::int64_t>()}, target});
        }
    }
    return starts;
}

std::vector<std::string> tasksStartedTwice(const std::vector<Start> &starts)
{
    std::vector<std::string> repeated;
    for (const auto &[key, count] : countStarts(starts)) {
        if (count > 1) {
            repeated.push_back(key.first + '/' + std::to_string(key.second));
        }
    }
    return repeated;
}

std::size_t countStartsAfter(const std::vector<Start> &starts, std::size_t target, Millis time)
{
    std::size_t count = 0;
    for (const Start &start : starts) {
        count += start.target_ == target && start.at_ > time ? 1 : 0;
    }
    return count;
}

OutcomeSummary compareWithRecords(const std::vector<Json> &answers, std::size_t tasks, const std::vector<Start> &starts)
{
    const StartCounts counts = countStarts(starts);
    OutcomeSummary summary;
    for (const Json &answer : answers) {
        if (!answer.contains("tasks") || answer["tasks"].empty()) {
            checkRefusal(answer, counts, summary);
            continue;
        }
        const std::string id = answer.value("id", "");
        bool allDone = true;
        for (std::size_t i = 0; i < answer["tasks"].size(); ++i) {
            const std::string outcome = answer["tasks"][i].value("outcome", "");
            const std::size_t count = startCount(counts, id, i);
            allDone = allDone && outcome == "done";
            if (!isConsistent(outcome, count, summary)) {
                summary.contradictions_.push_back(describeContradiction(id, i, outcome, count));
            }
        }
        if (answer["tasks"].size() != tasks) {
            summary.contradictions_.push_back(id + " has " + std::to_string(answer["tasks"].size()) + " outcomes");
        }
        if (allDone != (answer.value("state", "") == "complete")) {
            summary.contradictions_.push_back(id + " is " + answer.value("state", ""));
        }
    }
    return summary;
}

std::string describe(const OutcomeSummary &summary)
{
    std::string text = std::to_string(summary.done_) + " done, " + std::to_string(summary.failed_) + " failed, "
        + std::to_string(summary.notRun_) + " not run, " + std::to_string(summary.mayHaveRun_) + " may have run";
    for (const std::string &contradiction : summary.contradictions_) {
        text += "; " + contradiction;
    }
    return text;
}

std::string jobBody(std::size_t tasks)
{
    Json body = {{"kind", "note"}, {"tasks", Json::array()}};
    for (std::size_t i = 0; i < tasks; ++i) {
        body["tasks"].push_back("task " + std::to_string(i));
    }
    return body.dump();
}

void setNoteKind(const Cluster &cluster, Millis deadline)
{
    cluster.planAndConfirm(0,
                           {{"op", "set-kind"}, {"name", "note"}, {"value", 1}, {"repeatable", false}, {"deadline_ms", deadline.count_}});
    for (std::size_t i = 0; i < cluster.entries_.size(); ++i) {
        await("every entry accepts jobs of the kind", [&] { return cluster.submit(i, "note", 1).value("state", "") == "complete"; });
    }
}

} // namespace ibiswall::system
