// Tests that agents are used again after they were removed from the store.

#include "cell.hpp"
#include "cluster.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::system {

namespace {

constexpr Millis acceptTimeout{20000};
// More tasks than one worker takes at a time.
constexpr int tasks = 24;
constexpr int runMillis = 200;

} // namespace

BOOST_AUTO_TEST_SUITE(registration)

// The only attempt to register the agent of a returned worker fell into an outage of the store, and it got no starts any more.
BOOST_AUTO_TEST_CASE(worker_that_returns_during_an_outage_of_the_store_is_used_again)
{
    CellConfig config;
    config.workers_ = 2;
    Cell cell(config);
    cell.awaitReady();
    const std::size_t leader = cell.leader();
    const std::string key = "ibiswall/agents/" + cell.workerNodes()[0].name_;
    await("the agent is registered", [&] { return cell.hasKey(key); });
    // Its agent notices only while it runs something.
    BOOST_REQUIRE(cell.submit(jobId(1), tasks, runMillis, false, acceptTimeout).status_ == 200);
    await("it runs a task", [&] { return cell.starts(jobId(1)) > 0; });
    cell.silenceWorker(0, true);
    cell.holdOrders(0, true);
    await("the agent is removed", [&] { return !cell.hasKey(key); });
    cell.setStoreMode({{"down", true}});
    cell.holdOrders(0, false);
    cell.silenceWorker(0, false);
    await("its registration fails",
          [&] { return cell.metrics(leader).find("ibiswall_registrations_failed_total") != std::string::npos || cell.leader() != leader; });
    cell.setStoreMode({{"down", false}});
    await("the agent is registered again", [&] { return cell.hasKey(key); });
    BOOST_TEST(cell.leader() == leader);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::system
