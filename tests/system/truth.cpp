// Counts starts by job and task.

#include "truth.hpp"

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

std::size_t countOf(const StartCounts &counts, const std::string &job, std::size_t task)
{
    const auto found = counts.find({job, task});
    return found == counts.end() ? 0 : found->second;
}

// Tells whether an outcome may stand beside a number of recorded starts, and counts it.
bool agrees(const std::string &outcome, std::size_t starts, Verdict &verdict)
{
    if (outcome == "done") {
        ++verdict.done_;
        return starts == 1;
    }
    if (outcome == "failed") {
        ++verdict.failed_;
        return starts == 1;
    }
    if (outcome == "not-run") {
        ++verdict.notRun_;
        return starts == 0;
    }
    ++verdict.mayHaveRun_;
    return outcome == "may-have-run" && starts <= 1;
}

std::string contradiction(const std::string &id, std::size_t task, const std::string &outcome, std::size_t starts)
{
    std::ostringstream text;
    text << id << '/' << task << " is " << outcome << " with " << starts << " starts";
    return text.str();
}

void judgeRefusal(const Json &answer, const StartCounts &counts, Verdict &verdict)
{
    const std::string id = answer.value("id", "");
    const auto first = counts.lower_bound({id, 0});
    const bool started = first != counts.end() && first->first.first == id;
    if (meansNotRun(static_cast<Code>(answer.value("code", 0))) && started) {
        verdict.lies_.push_back(id + " was refused as not run and has starts");
    }
}

} // namespace

std::vector<Start> allStarts(const Cluster &cluster)
{
    std::vector<Start> starts;
    for (std::size_t place = 0; place < cluster.places_.size(); ++place) {
        for (const Json &start : cluster.starts(place)) {
            starts.push_back({start["job"], start["task"], {start["at_ms"].get<std::int64_t>()}, place});
        }
    }
    return starts;
}

std::vector<std::string> startedTwice(const std::vector<Start> &starts)
{
    std::vector<std::string> twice;
    for (const auto &[key, count] : countStarts(starts)) {
        if (count > 1) {
            twice.push_back(key.first + '/' + std::to_string(key.second));
        }
    }
    return twice;
}

std::size_t startsAfter(const std::vector<Start> &starts, std::size_t place, Millis moment)
{
    std::size_t count = 0;
    for (const Start &start : starts) {
        count += start.place_ == place && start.at_ > moment ? 1 : 0;
    }
    return count;
}

Verdict judge(const std::vector<Json> &answers, std::size_t tasks, const std::vector<Start> &starts)
{
    const StartCounts counts = countStarts(starts);
    Verdict verdict;
    for (const Json &answer : answers) {
        if (!answer.contains("tasks") || answer["tasks"].empty()) {
            judgeRefusal(answer, counts, verdict);
            continue;
        }
        const std::string id = answer.value("id", "");
        bool allDone = true;
        for (std::size_t i = 0; i < answer["tasks"].size(); ++i) {
            const std::string outcome = answer["tasks"][i].value("outcome", "");
            const std::size_t count = countOf(counts, id, i);
            allDone = allDone && outcome == "done";
            if (!agrees(outcome, count, verdict)) {
                verdict.lies_.push_back(contradiction(id, i, outcome, count));
            }
        }
        if (answer["tasks"].size() != tasks) {
            verdict.lies_.push_back(id + " has " + std::to_string(answer["tasks"].size()) + " outcomes");
        }
        if (allDone != (answer.value("state", "") == "complete")) {
            verdict.lies_.push_back(id + " is " + answer.value("state", ""));
        }
    }
    return verdict;
}

std::string describe(const Verdict &verdict)
{
    std::string text = std::to_string(verdict.done_) + " done, " + std::to_string(verdict.failed_) + " failed, "
        + std::to_string(verdict.notRun_) + " not run, " + std::to_string(verdict.mayHaveRun_) + " may have run";
    for (const std::string &lie : verdict.lies_) {
        text += "; " + lie;
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
    cluster.change(0, {{"op", "set-kind"}, {"name", "note"}, {"value", 1}, {"repeatable", false}, {"deadline_ms", deadline.count_}});
    for (std::size_t i = 0; i < cluster.entries_.size(); ++i) {
        await("the kind is known to every entry", [&] { return cluster.submit(i, "note", 1).value("state", "") == "complete"; });
    }
}

} // namespace ibiswall::system
