// Tests a cell whose leader loses the store while other entries come back.

#include "cell.hpp"
#include "cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace ibiswall::system {

namespace {

CellConfig threeEntries()
{
    CellConfig config;
    config.entries_ = 3;
    config.workers_ = 3;
    config.useStoreRelays_ = true;
    return config;
}

void sleepFor(int millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

// Ends all entries but the first, which leads then, and waits until it has removed the others from the registry. The first one cannot
// be reached by an entry that it does not know, since of two entries the first by name connects.
void leaveFirstAlone(Cell &cell)
{
    cell.entries()[1].process_->kill();
    cell.entries()[2].process_->kill();
    await("the first entry leads", [&] { return cell.leader() == 0; });
    for (std::size_t i = 1; i < cell.entries().size(); ++i) {
        await("the leader removes an entry", [&] { return !cell.hasKey("ibiswall/entries/" + cell.entries()[i].name_); });
    }
    // Until it has read the registry again and no longer tries to connect to them.
    sleepFor(1500);
}

} // namespace

BOOST_AUTO_TEST_SUITE(succession)

// Two leaders ran the tasks of one job: one that had lost the store and was alone in the registry, and its successor.
BOOST_AUTO_TEST_CASE(leader_without_the_store_does_not_act_beside_its_successor)
{
    Cell cell(threeEntries());
    cell.awaitReady();
    leaveFirstAlone(cell);
    constexpr int runMillis = 30000;
    BOOST_REQUIRE(cell.submit(jobId(1), 3, runMillis, false, {10000}).status_ == 200);
    await("all tasks run", [&] { return cell.starts(jobId(1)) == 3U; });
    cell.entries()[0].storePath_->disconnect();
    cell.workerNodes()[0].storePath_->disconnect();
    cell.startEntry(1);
    cell.startEntry(2);
    sleepFor(9000);
    cell.entries()[0].storePath_->allowConnections();
    cell.workerNodes()[0].storePath_->allowConnections();
    sleepFor(2000);
    constexpr bool countUnended = true;
    BOOST_TEST(cell.overlappingTasks(countUnended).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
