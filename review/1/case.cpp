// More than 500 ends pile up at each worker while the store is down: does a task that has ended as done run again?

#include "../common/deployment.hpp"

#include <thread>

namespace ibiswall::review {

namespace {

constexpr int clientCount = 6;
constexpr int jobsPerClient = 40;
constexpr int tasksPerJob = 32;
constexpr std::int64_t outageMillis = 3000;

// Submits jobs from several clients at once.
std::vector<std::string> submitJobs(Deployment &cell, const std::vector<Entry *> &entries)
{
    std::vector<std::string> accepted;
    std::mutex mutex;
    std::vector<std::thread> clients;
    clients.reserve(clientCount);
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] {
            for (int i = 1; i <= jobsPerClient; ++i) {
                const std::string id = jobId(client * jobsPerClient + i);
                if (cell.submit(entries, id, makeJob(tasksPerJob, 500, 200), true).status_ == 200) {
                    const std::lock_guard<std::mutex> lock(mutex);
                    accepted.push_back(id);
                }
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    return accepted;
}

CaseResult play(Deployment &cell)
{
    cell.startStore();
    std::vector<Entry *> entries;
    for (const char *zone : {"z1", "z2", "z3"}) {
        entries.push_back(&cell.addEntry(std::string("front-") + zone, zone));
        cell.addSide(std::string("side-") + zone, {zone, {"a", std::string("r-") + zone}, 32000});
    }
    cell.startAll();
    const std::vector<std::string> accepted = submitJobs(cell, entries);
    cell.note(std::to_string(accepted.size()) + " jobs of " + std::to_string(tasksPerJob) + " tasks accepted");
    if (accepted.empty()) {
        return CannotRun;
    }
    if (!isWithoutTrouble()) {
        cell.setStoreDown(true);
    }
    cell.sleep(outageMillis);
    if (!isWithoutTrouble()) {
        cell.setStoreDown(false);
    }
    constexpr std::int64_t endLimit = 40000;
    const std::int64_t until = cell.elapsed() + endLimit;
    std::size_t completed = 0;
    for (const std::string &id : accepted) {
        std::string state;
        while ((state = cell.call(*entries[0], "GET", id, {}, {1500}, true).state()) != "completed" && cell.elapsed() < until) {
            cell.sleep(100);
        }
        completed += state == "completed" ? 1 : 0;
    }
    cell.note(std::to_string(completed) + " jobs completed");
    // Until the workers have heard which ends were taken note of.
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
