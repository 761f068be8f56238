// The store turns away the leader and one agent, while entries that had lost power come back: do two leaders act at once?

#include "../common/deployment.hpp"

namespace ibiswall::review {

namespace {

// Largest doses of the site: power off for 9.5 s, the store turns a third of the machines away for 9 s.
constexpr std::int64_t powerOffMillis = 9300;
constexpr std::int64_t turnedAwayMillis = 9000;

CaseResult play(Deployment &cell)
{
    cell.startStore();
    std::vector<Entry *> entries;
    for (const char *zone : {"z1", "z2", "z3"}) {
        entries.push_back(&cell.addEntry(std::string("front-") + zone, zone));
        cell.addSide(std::string("side-") + zone, {zone, {"a", std::string("r-") + zone}, 32000});
    }
    cell.startAll();
    if (cell.leader() != entries[0]->name_) {
        cell.note("another leader than expected");
        return CannotRun;
    }
    const std::string id = jobId(1);
    // Three tasks, of which the leader places one on each worker.
    if (cell.submit(entries, id, makeJob(3, 10000, 40000)).status_ != 200) {
        return CannotRun;
    }
    cell.sleep(500);
    Side &side = *cell.sides_.at("side-z1");
    if (isWithoutTrouble()) {
        cell.sleep(powerOffMillis + turnedAwayMillis);
    } else {
        cell.note("front-z2 and front-z3 lose power");
        entries[1]->process_->kill();
        entries[2]->process_->kill();
        constexpr std::int64_t overlapMillis = 300;
        cell.sleep(powerOffMillis - overlapMillis);
        cell.note("the store resets the connections of front-z1 and side-z1");
        entries[0]->storePath_->disconnect();
        side.storePath_->disconnect();
        cell.sleep(overlapMillis);
        cell.start(*entries[1]);
        cell.start(*entries[2]);
        cell.sleep(turnedAwayMillis - overlapMillis);
        cell.note("leader according to the store: " + cell.leader());
        cell.note("the store serves front-z1 and side-z1 again");
        entries[0]->storePath_->allowConnections();
        side.storePath_->allowConnections();
    }
    cell.sleep(3000);
    const std::vector<std::string> broken = findDoubleRuns(cell.events());
    for (const std::string &each : broken) {
        cell.note("TWICE: " + each);
    }
    cell.note(std::to_string(broken.size()) + " breaks of TWICE");
    return broken.empty() ? Held : Broken;
}

} // namespace

} // namespace ibiswall::review

int main(int argc, char **argv)
{
    return ibiswall::review::runCase(argc, argv, ibiswall::review::play);
}
