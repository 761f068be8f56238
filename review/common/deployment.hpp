// A small deployment as real processes on loopback: the programs of the deploy file with settings rendered from its templates, a
// stand-in store behind one relay for each process, and stand-in workers.

#pragma once

#include "../../tests/system/process.hpp"
#include "../../tests/system/relay.hpp"

#include "silencer.hpp"
#include <filesystem>
#include <fstream>
#include <ibiswall/base.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

namespace ibiswall::review {

using Json = nlohmann::json;

/// Exit codes of a case.
enum CaseResult { Held = 0, Broken = 1, CannotRun = 2 };

/// A child process whose output goes to a file. Killed on destruction.
class Child
{
public:
    /// @param settings value of IBISWALL_SETTINGS; empty for none
    Child(const std::vector<std::string> &command, const std::string &output, const std::string &settings = {});
    ~Child();
    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;

    void signal(int number) const;

    /// Sends SIGKILL and waits for the end.
    void kill();

private:
    pid_t pid_ = -1;
};

struct Entry
{
    std::string name_;
    std::string zone_;
    std::uint16_t callers_ = 0;
    std::string settings_;
    std::unique_ptr<system::Relay> storePath_;
    /// On the path to the store as well.
    std::unique_ptr<Silencer> silencer_;
    std::unique_ptr<Child> process_;
};

struct WorkerPlan
{
    std::string zone_;
    std::vector<std::string> labels_;
    std::int64_t cpu_ = 32000;
};

/// A worker and its agent.
struct Side
{
    std::string name_;
    WorkerPlan plan_;
    std::uint16_t app_ = 0;
    std::uint16_t control_ = 0;
    std::string settings_;
    std::string recordFile_;
    std::unique_ptr<system::Relay> storePath_;
    std::unique_ptr<Child> worker_;
    std::unique_ptr<Child> agent_;
};

struct Answer
{
    /// HTTP status, 0 without an answer.
    int status_ = 0;
    std::string body_;

    /// Field "state" of the body.
    std::string state() const;
};

/// A line of a worker's record.
struct Event
{
    std::int64_t at_ = 0;
    std::string worker_;
    std::string what_;
    std::string task_;
    std::uint64_t run_ = 0;
};

class Deployment
{
public:
    /// @param record file that receives what was sent, answered and run
    explicit Deployment(const std::string &record);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Writes the settings of a process. It is started separately.
    Entry &addEntry(const std::string &name, const std::string &zone);
    Side &addSide(const std::string &name, const WorkerPlan &plan);

    void start(Entry &entry);
    void startWorker(Side &side);
    void startAgent(Side &side);

    /// Kills a worker and records that its runs have ended.
    void killWorker(Side &side);

    /// Starts all that were added and waits until a job completes at each entry.
    void startAll();

    /// Starts the store with one queue, whose tasks run on the service "desk".
    void startStore(bool admissionControl = true);

    /// Writes the configuration with one queue at each of the prefixes.
    bool putConfig(int version, const std::vector<std::string> &prefixes, bool admissionControl = true);

    /// Makes the store answer 503 to everyone, or serve everyone again.
    void setStoreDown(bool down);

    /// Calls the stand-in store.
    /// @return the body of a 200 answer, or null
    Json callStore(const std::string &method, const std::string &path, const Json &body);

    /// Calls an entry as a client does, and records the call and the answer.
    /// @param quiet whether to leave it out of the record
    /// @param id path after the prefix of the first queue; a whole path if it begins with a slash
    Answer call(const Entry &entry,
                const std::string &method,
                const std::string &id,
                const std::string &body = {},
                Millis deadline = {5000},
                bool quiet = false);

    /// Submits the same job again, every 1.3 s, until an entry answers with a code other than 502 and 504.
    Answer submit(const std::vector<Entry *> &entries, const std::string &id, const Json &job, bool quiet = false);

    /// Name of the entry that leads according to the store; empty if there is none.
    std::string leader();

    void note(const std::string &text);
    void sleep(std::int64_t millis) const;

    /// What the workers have recorded so far, in order of time; ends come before starts of the same millisecond.
    std::vector<Event> events() const;

    /// Writes the events to the record.
    void recordEvents();

    std::int64_t elapsed() const;

    std::map<std::string, std::unique_ptr<Entry>> entries_;
    std::map<std::string, std::unique_ptr<Side>> sides_;
    std::filesystem::path folder_;

private:
    std::string render(const std::string &file, const std::map<std::string, std::string> &values) const;

    std::uint16_t storePort_ = 0;
    std::unique_ptr<Child> store_;
    std::int64_t startedAt_ = 0;
    std::mutex mutex_;
    std::ofstream record_;
};

/// A job of one step.
Json makeJob(int count, std::int64_t cpu, std::int64_t millis, const std::string &label = {});

/// Formats a job id of 16 hexadecimal digits.
std::string jobId(int number);

/// Whether the disruption is to be left out.
bool isWithoutTrouble();

/// Breaks of TWICE: two runs of a task at the same time, or a start after a run has ended as done, if that end was taken note of and
/// the lease of its worker did not lapse between the two.
std::vector<std::string> findDoubleRuns(const std::vector<Event> &events);

/// Runs a case and turns its exceptions into CannotRun.
int runCase(int argc, char **argv, CaseResult (*play)(Deployment &));

} // namespace ibiswall::review
