// Four accepted jobs need a label that only a crashed worker had: are the jobs behind them still run?

#include "../common/deployment.hpp"

#include <algorithm>

namespace ibiswall::review {

namespace {

constexpr int labelJobs = 4;
constexpr int plainJobs = 4;
// Bound "finish_s" of the users' pages: jobs are asked for this long after the end of the traffic.
constexpr std::int64_t finishMillis = 14000;
// A job may have nothing running for this long while its turn has come.
constexpr std::int64_t idleMillis = 3000;

bool hasStarted(const Deployment &cell, const std::string &id)
{
    const std::vector<Event> events = cell.events();
    return std::any_of(events.begin(), events.end(),
                       [&id](const Event &each) { return each.what_ == "start" && each.task_.substr(0, id.size()) == id; });
}

CaseResult play(Deployment &cell)
{
    cell.startStore();
    std::vector<Entry *> entries;
    for (const char *zone : {"z1", "z2", "z3"}) {
        entries.push_back(&cell.addEntry(std::string("front-") + zone, zone));
        cell.addSide(std::string("side-") + zone, {zone, {"a", std::string("r-") + zone}, 32000});
        cell.addSide(std::string("side-") + zone + "-a2", {zone, {"a", std::string("r-") + zone}, 32000});
    }
    Side &special = cell.addSide("side-z3-b", {"z3", {"b", "r-z3"}, 32000});
    cell.startAll();
    for (int i = 1; i <= labelJobs; ++i) {
        if (cell.submit(entries, jobId(i), makeJob(1, 1000, 1500, "b")).status_ != 200) {
            return CannotRun;
        }
    }
    cell.sleep(500);
    if (!isWithoutTrouble()) {
        // It is lost for good.
        cell.killWorker(special);
    }
    cell.sleep(2000);
    std::vector<std::string> plain;
    for (int i = 1; i <= plainJobs; ++i) {
        plain.push_back(jobId(0x100 + i));
        if (cell.submit(entries, plain.back(), makeJob(2, 1000, 200)).status_ != 200) {
            return CannotRun;
        }
    }
    cell.note("end of the traffic");
    cell.sleep(finishMillis + idleMillis);
    int broken = 0;
    for (const std::string &id : plain) {
        cell.call(*entries[0], "GET", id);
        if (!hasStarted(cell, id)) {
            ++broken;
            cell.note("LOST: nothing of this job has run since the end of the traffic: " + id);
        }
    }
    cell.note(std::to_string(broken) + " breaks of LOST");
    return broken == 0 ? Held : Broken;
}

} // namespace

} // namespace ibiswall::review

int main(int argc, char **argv)
{
    return ibiswall::review::runCase(argc, argv, ibiswall::review::play);
}
