// Callers that submit what fills a cell: processes keep running within their memory and descriptors, and ordinary jobs are answered.
// Guards against state that grows with what callers submit at all entries, and against jobs that keep others from being accepted.

#include "cell.hpp"
#include "cluster.hpp"
#include "crowd.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::system {

namespace {

constexpr std::size_t smallMemoryMb = 32;
constexpr std::size_t memoryMb = 64;
constexpr std::size_t largeMemoryMb = 256;
constexpr std::size_t maxDescriptors = 256;
constexpr std::size_t kilobytesPerMb = 1024;
constexpr std::size_t maxSpec = 4000;
// Lowers the largest value of the store from 1 MB, to just over the record of a job with the longest spec.
constexpr std::size_t valueBytes = 4300;

CellConfig cellOf(int entries, std::size_t memory)
{
    CellConfig config;
    config.entries_ = entries;
    config.workers_ = 1;
    config.entrySettings_ = {{"memory_mb", memory}, {"max_descriptors", maxDescriptors}};
    config.agentSettings_ = config.entrySettings_;
    return config;
}

// A stored job that needs more than any target has, so that its tasks stay with the leader.
std::string waitingJob(std::size_t number, std::size_t tasks, std::size_t specBytes)
{
    return withBody(requestHead("POST /jobs/" + jobId(static_cast<int>(0x20000 + number)), ""),
                    R"({"spec":")" + std::string(specBytes, 's') + R"(","steps":[{"count":)" + std::to_string(tasks)
                        + R"(,"cpu":1000000000}]})");
}

// Each client submits jobs one after the other.
Attack waitingJobs(std::size_t clients, std::size_t jobsPerClient, std::size_t tasks, std::size_t specBytes)
{
    const auto part = [=](std::size_t client, std::size_t index) {
        return waitingJob(client * jobsPerClient + index, tasks, specBytes);
    };
    return {clients, {}, part, jobsPerClient * waitingJob(0, tasks, specBytes).size(), true, 1};
}

std::vector<std::uint16_t> callersPorts(Cell &cell)
{
    std::vector<std::uint16_t> ports;
    for (const CellEntry &entry : cell.entries()) {
        ports.push_back(entry.callersPort_);
    }
    return ports;
}

std::vector<pid_t> entryPids(Cell &cell)
{
    std::vector<pid_t> pids;
    for (const CellEntry &entry : cell.entries()) {
        pids.push_back(entry.process_->pid());
    }
    return pids;
}

void checkUse(const CellEntry &entry, const Use &use, std::size_t memory)
{
    BOOST_TEST_CONTEXT(entry.name_)
    {
        BOOST_TEST(entry.process_->isRunning());
        BOOST_TEST(use.rssKilobytes_ < memory * kilobytesPerMb);
        BOOST_TEST(use.descriptors_ < maxDescriptors);
    }
}

void checkUses(Cell &cell, const std::vector<Use> &uses, std::size_t memory)
{
    for (std::size_t i = 0; i < uses.size(); ++i) {
        checkUse(cell.entries()[i], uses[i], memory);
    }
}

std::string endedJobId(std::size_t number)
{
    return jobId(static_cast<int>(0x100000 + number));
}

// Copies the record of a job that has ended, so that the test need not run so many.
void storeEndedJobs(Cell &cell, std::size_t jobs)
{
    const std::string ended = jobId(0x10);
    BOOST_REQUIRE(cell.submit(ended, 1, 1, false, {5000}).status_ == 200);
    await("the job ends", [&] { return cell.state(ended) == "completed"; });
    const std::string record = cell.bytesOf("ibiswall/jobs/" + ended);
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < jobs; ++i) {
        keys.push_back("ibiswall/jobs/" + endedJobId(i));
    }
    cell.createKeys(keys, record);
}

void checkAnswersJob(const Cell &cell, bool bestEffort = true)
{
    static int number = 0x7000000;
    BOOST_CHECK_NO_THROW(
        await("an ordinary job is answered", [&] { return cell.submit(jobId(number++), 1, 1, bestEffort, {2000}).status_ == 200; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(hostile_jobs)

BOOST_AUTO_TEST_CASE(records_that_the_store_rejects)
{
    Cell cell(cellOf(1, memoryMb));
    cell.awaitReady();
    cell.setStoreMode({{"value_bytes", valueBytes}});
    const std::string body
        = R"({"spec":")" + std::string(maxSpec, 's') + R"(","steps":[{"count":1,"requires":")" + std::string(valueBytes, 'r') + R"("}]})";
    const auto request = [&body](std::size_t number) {
        return withBody(requestHead("POST /jobs/" + jobId(static_cast<int>(0x20000 + number)), ""), body);
    };
    const std::vector<Use> uses = runAttack(callersPorts(cell), entryPids(cell), {8, request, {}, 0});
    checkUses(cell, uses, memoryMb);
    checkAnswersJob(cell, false);
}

// The record of a job grows while its tasks end.
BOOST_AUTO_TEST_CASE(progress_that_the_store_rejects)
{
    Cell cell(cellOf(1, memoryMb));
    cell.awaitReady();
    cell.setStoreMode({{"value_bytes", valueBytes}});
    const std::string spec = "ms=1 " + std::string(maxSpec - 5, 's');
    const std::string body = R"({"spec":")" + spec + R"(","steps":[{"count":1,"cpu":500},{"count":4000,"cpu":1000000000,"after":[0]}]})";
    const auto request = [&body](std::size_t number) {
        return withBody(requestHead("POST /jobs/" + jobId(static_cast<int>(0x20000 + number)), ""), body);
    };
    const std::vector<Use> uses = runAttack(callersPorts(cell), entryPids(cell), {8, request, {}, 0});
    checkUses(cell, uses, memoryMb);
    await("the first step has run", [&] { return cell.state(jobId(0x20000)) == "running"; });
    const std::string ordinary = jobId(0x7000000);
    BOOST_TEST(cell.submit(ordinary, 1, 1, false, {5000}).status_ == 200);
    BOOST_CHECK_NO_THROW(await("an ordinary job ends", [&] { return cell.state(ordinary) == "completed"; }));
}

// The leader holds the jobs of all entries.
BOOST_AUTO_TEST_CASE(stored_jobs_of_all_entries)
{
    constexpr std::size_t entries = 8;
    Cell cell(cellOf(entries, memoryMb));
    cell.awaitReady();
    const std::vector<Use> uses = runAttack(callersPorts(cell), entryPids(cell), waitingJobs(entries * 4, 500, 1, maxSpec));
    checkUses(cell, uses, memoryMb);
    checkAnswersJob(cell);
}

BOOST_AUTO_TEST_CASE(stored_jobs_taken_over_by_an_entry_with_less_memory)
{
    CellConfig config = cellOf(2, largeMemoryMb);
    config.ownEntrySettings_ = {{{"cores", 1}}, {{"cores", 0.25}, {"memory_mb", smallMemoryMb}}};
    Cell cell(config);
    cell.awaitReady();
    CellEntry &large = cell.entries().front();
    CellEntry &small = cell.entries().back();
    runAttack(large.callersPort_, large.process_->pid(), waitingJobs(8, 50, 1000, 1));
    BOOST_TEST(large.process_->isRunning());
    large.process_->kill();
    await("the other entry leads", [&] { return cell.leader() == 1; });
    BOOST_CHECK_NO_THROW(await("an ordinary job is answered", [&] {
        const auto answer = cell.call(1, "POST", jobId(0x7100000), R"({"spec":"ms=1","best_effort":true,"steps":[{"count":1,"cpu":500}]})");
        return answer && answer.value().status_ == 200;
    }));
    checkUse(small, peakUse(small.process_->pid()), smallMemoryMb);
}

BOOST_AUTO_TEST_CASE(states_of_ended_jobs)
{
    constexpr std::size_t clients = 8;
    constexpr std::size_t jobs = 48000;
    constexpr std::size_t jobsPerPart = 100;
    Cell cell(cellOf(1, smallMemoryMb));
    cell.awaitReady();
    storeEndedJobs(cell, jobs);
    const auto reads = [&](std::size_t client, std::size_t index) {
        std::string part;
        for (std::size_t i = 0; i < jobsPerPart; ++i) {
            part += requestHead("GET /jobs/" + endedJobId(client * (jobs / clients) + index * jobsPerPart + i), "\r\n");
        }
        return part;
    };
    const Attack attack{clients, {}, reads, jobs / clients * requestHead("GET /jobs/" + endedJobId(0), "\r\n").size(), true, jobsPerPart};
    const std::vector<Use> uses = runAttack(callersPorts(cell), entryPids(cell), attack);
    checkUses(cell, uses, smallMemoryMb);
    BOOST_TEST(cell.state(endedJobId(0)) == "completed");
    checkAnswersJob(cell);
}

BOOST_AUTO_TEST_CASE(ended_jobs_read_by_a_new_leader)
{
    Cell cell(cellOf(2, smallMemoryMb));
    cell.awaitReady();
    storeEndedJobs(cell, 60000);
    const std::size_t former = cell.leader();
    const std::size_t next = 1 - former;
    cell.entries()[former].process_->kill();
    const CellEntry &entry = cell.entries()[next];
    await("the other entry leads", [&] { return cell.leader() == next; });
    checkAnswersJob(cell);
    // It answers a read of an ended job once it has read all.
    await("a job is cancelled", [&] {
        const auto answer = cell.call(next, "DELETE", endedJobId(0));
        return answer && answer.value().status_ == 200;
    });
    checkUse(entry, peakUse(entry.process_->pid()), smallMemoryMb);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
