// Clients that send anything: processes keep running within their memory and descriptors, and ordinary jobs are answered.
// Guards against input that is buffered without limit, which ended an entry before it was bounded.

#include "../environment.hpp"
#include "cell.hpp"
#include "cluster.hpp"
#include "crowd.hpp"
#include "outcomecheck.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::system {

namespace {

// Half of the memory of the smallest entry, as a limit of each process.
constexpr std::size_t memoryMb = 64;
constexpr std::size_t maxDescriptors = 256;
constexpr std::size_t kilobytesPerMb = 1024;
// More connections than a process has descriptors.
constexpr std::size_t manyClients = 300;
// What each of 8 clients sends: twice the memory of the process in all.
constexpr std::size_t endlessBytes = 16U << 20U;
constexpr std::size_t partBytes = 16384;

CellConfig smallCell()
{
    CellConfig config;
    config.entries_ = 1;
    config.workers_ = 1;
    config.entrySettings_ = {{"memory_mb", memoryMb}, {"max_descriptors", maxDescriptors}};
    config.agentSettings_ = config.entrySettings_;
    return config;
}

std::string post(std::size_t number, const std::string &fields)
{
    return requestHead("POST /jobs/" + jobId(static_cast<int>(0x20000 + number)), fields);
}

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string out;
    while (out.size() < bytes) {
        out += text;
    }
    return out;
}

auto always(const std::string &text)
{
    return [text](std::size_t, std::size_t) {
        return text;
    };
}

std::string jobBody(std::size_t tasks, bool bestEffort)
{
    // Needs more than any target has, so that its tasks stay with the leader.
    return R"({"spec":"x","best_effort":)" + std::string(bestEffort ? "true" : "false") + R"(,"steps":[{"count":)" + std::to_string(tasks)
        + R"(,"cpu":1000000000}]})";
}

constexpr const char *chunked = "Transfer-Encoding: chunked\r\n\r\n";

Attack endless(const std::string &start, const std::string &part)
{
    return {8, [start](std::size_t number) { return post(number, start); }, always(repeat(part, partBytes)), endlessBytes};
}

void checkUse(const Process &process, pid_t before, const Use &use)
{
    BOOST_TEST(process.isRunning());
    BOOST_TEST(process.pid() == before);
    BOOST_TEST(use.rssKilobytes_ < memoryMb * kilobytesPerMb);
    BOOST_TEST(use.descriptors_ < maxDescriptors);
}

void checkAnswersJob(const Cell &cell)
{
    static int number = 0x70000;
    await("an ordinary job is answered", [&] { return cell.submit(jobId(number++), 1, 1, true, {2000}).status_ == 200; });
}

void attackEntry(const Attack &attack, std::uint16_t CellEntry::*port = &CellEntry::callersPort_)
{
    Cell cell(smallCell());
    cell.awaitReady();
    const CellEntry &entry = cell.entries().front();
    const pid_t pid = entry.process_->pid();
    const Use use = runAttack(entry.*port, pid, attack);
    checkUse(*entry.process_, pid, use);
    checkAnswersJob(cell);
}

void attackAgent(const Attack &attack, std::uint16_t WorkerNode::*port)
{
    Cell cell(smallCell());
    cell.awaitReady();
    const WorkerNode &node = cell.workerNodes().front();
    const pid_t pid = node.agent_->pid();
    const Use use = runAttack(node.*port, pid, attack);
    checkUse(*node.agent_, pid, use);
    checkAnswersJob(cell);
}

} // namespace

BOOST_AUTO_TEST_SUITE(hostile_clients)

BOOST_AUTO_TEST_CASE(endless_trailers)
{
    attackEntry(endless(std::string(chunked) + "0\r\n", "X-T: aaaaaaaaaaaaaaaa\r\n"));
}

BOOST_AUTO_TEST_CASE(endless_trailers_on_other_ports)
{
    const Attack attack = endless(std::string(chunked) + "0\r\n", "X-T: aaaaaaaaaaaaaaaa\r\n");
    attackEntry(attack, &CellEntry::readyPort_);
    attackEntry(attack, &CellEntry::metricsPort_);
    attackAgent(attack, &WorkerNode::agentPort_);
    attackAgent(attack, &WorkerNode::metricsPort_);
}

BOOST_AUTO_TEST_CASE(endless_chunk_extension)
{
    attackEntry(endless(std::string(chunked) + "1;x=", "aaaaaaaaaaaaaaaa"));
}

BOOST_AUTO_TEST_CASE(tiny_chunks_with_extensions)
{
    attackEntry(endless(chunked, "1;aaaaaaaa=bbbbbbbb\r\nx\r\n"));
}

BOOST_AUTO_TEST_CASE(endless_header)
{
    attackEntry(endless("", "X-H: aaaaaaaaaaaaaaaa\r\n"));
}

BOOST_AUTO_TEST_CASE(large_bodies_that_never_end)
{
    attackEntry({manyClients / 2, [](std::size_t number) { return post(number, "Content-Length: 1000000\r\n\r\n"); },
                 always(std::string(partBytes, ' ')), 983040});
}

BOOST_AUTO_TEST_CASE(idle_connections)
{
    Cell cell(smallCell());
    cell.awaitReady();
    const CellEntry &entry = cell.entries().front();
    const pid_t pid = entry.process_->pid();
    for (const std::string &start : {std::string(), std::string("POST /jobs/0000"), post(0, "Content-Length: 100\r\n\r\n{")}) {
        const Attack attack{manyClients, [start](std::size_t) { return start; }, {}, 0};
        const Use use = runAttack(entry.callersPort_, pid, attack, [&] { checkAnswersJob(cell); });
        checkUse(*entry.process_, pid, use);
    }
}

BOOST_AUTO_TEST_CASE(idle_connections_to_an_agent)
{
    attackAgent({manyClients, [](std::size_t) { return std::string("POST /"); }, {}, 0}, &WorkerNode::agentPort_);
}

BOOST_AUTO_TEST_CASE(unknown_methods)
{
    const auto part = [](std::size_t number, std::size_t index) {
        return std::string(8000, 'M') + std::to_string(number) + "-" + std::to_string(index) + " / HTTP/1.1\r\n\r\n";
    };
    attackEntry({8, {}, part, 6U << 20U});
}

BOOST_AUTO_TEST_CASE(replies_that_nobody_reads)
{
    Attack attack{manyClients / 2, {}, always(repeat("GET /metrics HTTP/1.1\r\n\r\n", partBytes)), 262144, false};
    attackEntry(attack, &CellEntry::metricsPort_);
}

BOOST_AUTO_TEST_CASE(wide_ephemeral_jobs)
{
    attackEntry({40, [](std::size_t number) { return withBody(post(number, ""), jobBody(100000, true)); }, {}, 0});
}

BOOST_AUTO_TEST_CASE(wide_durable_jobs)
{
    attackEntry({40, [](std::size_t number) { return withBody(post(number, ""), jobBody(100000, false)); }, {}, 0});
}

BOOST_AUTO_TEST_CASE(cancels_and_states_of_unknown_jobs)
{
    const auto request = [](std::size_t number) {
        return requestHead((number % 2 == 0 ? "DELETE /jobs/" : "GET /jobs/") + jobId(static_cast<int>(0x30000 + number)), "\r\n");
    };
    attackEntry({manyClients, request, {}, 0});
}

BOOST_AUTO_TEST_CASE(nested_json)
{
    const std::string body = std::string(130000, '[') + std::string(130000, ']');
    attackEntry({manyClients / 2, [body](std::size_t number) { return withBody(post(number, ""), body); }, {}, 0});
}

BOOST_AUTO_TEST_CASE(tls_on_a_plain_port)
{
    attackEntry({8, {}, always(std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11)), partBytes});
}

// Several kinds of clients at a time, in rounds, of which the last must fit like the first. IBISWALL_ROUNDS sets their number.
BOOST_AUTO_TEST_CASE(rounds_of_mixed_clients)
{
    constexpr unsigned rounds = 5;
    constexpr std::size_t kinds = 8;
    Cell cell(smallCell());
    cell.awaitReady();
    const CellEntry &entry = cell.entries().front();
    const WorkerNode &node = cell.workerNodes().front();
    std::size_t round = 0;
    const auto start = [&round](std::size_t number) -> std::string {
        const std::size_t job = round * manyClients + number;
        switch (number % kinds) {
        case 0:
            return post(job, std::string(chunked) + "0\r\n" + repeat("X-T: aaaaaaaaaaaaaaaa\r\n", partBytes));
        case 1:
            return "POST /jobs/0000";
        case 2:
            return post(job, "Content-Length: 1000000\r\n\r\n") + std::string(partBytes, ' ');
        case 3:
            return withBody(post(job, ""), jobBody(10000, true));
        case 4:
            return withBody(post(job, ""), jobBody(100, false));
        case 5:
            return requestHead("DELETE /jobs/" + jobId(static_cast<int>(0x30000 + job)), "\r\n");
        case 6:
            return withBody(post(job, ""), std::string(10000, '[') + std::string(10000, ']'));
        default:
            return repeat("GET /jobs/ HTTP/1.1\r\nHost: desk.example\r\n\r\n", partBytes);
        }
    };
    const unsigned count = numberFromEnvironment("IBISWALL_ROUNDS", rounds);
    const std::vector<std::uint16_t> ports{entry.callersPort_, entry.callersPort_, entry.callersPort_, node.agentPort_};
    const std::vector<pid_t> pids{entry.process_->pid(), node.agent_->pid()};
    for (; round < count; ++round) {
        const std::vector<Use> uses = runAttack(ports, pids, {manyClients, start, {}, 0});
        BOOST_TEST_CONTEXT("round " << round)
        {
            checkUse(*entry.process_, pids[0], uses[0]);
            checkUse(*node.agent_, pids[1], uses[1]);
            checkAnswersJob(cell);
        }
    }
}

BOOST_AUTO_TEST_CASE(endless_trailers_to_an_own_entry)
{
    ClusterConfig config;
    config.entries_ = 1;
    config.targets_ = 1;
    config.domains_ = 1;
    Cluster cluster(config);
    cluster.awaitAgents(1);
    setNoteKind(cluster, {20000});
    const EntryNode &entry = cluster.entries_.front();
    const pid_t pid = entry.process_->pid();
    std::string start = std::string("POST /v1/ids HTTP/1.1\r\n") + chunked + "0\r\n";
    const Attack attack{8, [start = std::move(start)](std::size_t) { return start; },
                        always(repeat("X-T: aaaaaaaaaaaaaaaa\r\n", partBytes)), endlessBytes};
    const Use use = runAttack(entry.callersPort_, pid, attack);
    checkUse(*entry.process_, pid, use);
    Json answer;
    BOOST_CHECK_NO_THROW(await("an ordinary job is answered", [&] {
        answer = cluster.submit(0, "note", 1);
        return answer.value("state", "") == "complete";
    }));
    BOOST_TEST(answer.value("state", "") == "complete", answer.dump());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
