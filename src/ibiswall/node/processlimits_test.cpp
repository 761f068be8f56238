// Tests that the limits of the smallest processes in use leave room for links, and are not met by ordinary callers.

#include "processlimits.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall::node {

BOOST_AUTO_TEST_SUITE(process_limits)

BOOST_AUTO_TEST_CASE(the_smallest_entry_keeps_descriptors_and_memory)
{
    constexpr std::size_t descriptors = 3075;
    constexpr std::size_t memoryMb = 120;
    const ProcessLimits limits = processLimits(memoryMb, descriptors);
    // 200 files and two links to each of 67 agents and 12 entries.
    BOOST_TEST(limits.maxConnections_ + 200 + 2 * (67 + 12) < descriptors);
    const std::size_t all = limits.connections_->limit() + limits.jobs_->limit() + limits.durableJobs_->limit()
        + limits.leaderJobs_->limit() + limits.links_->limit();
    BOOST_TEST(all < memoryMb << 20U);
    BOOST_TEST(limits.durableJobs_->limit() < limits.leaderJobs_->limit());
    // 1,000 callers at a time with jobs of 32 tasks and the longest payload.
    cell::JobSpec spec;
    spec.payload_.resize(4000);
    spec.steps_.resize(1);
    spec.steps_[0].count_ = 32;
    BOOST_TEST(1000 * recordBytes(spec) < limits.jobs_->limit());
    BOOST_TEST(1000 * jobBytes(spec) < limits.leaderJobs_->limit());
}

BOOST_AUTO_TEST_CASE(small_and_unknown_limits_have_defaults)
{
    BOOST_TEST(processLimits(64, 256).maxConnections_ == 128U);
    BOOST_TEST(processLimits(0, 0).maxConnections_ > 0U);
    BOOST_TEST(processLimits(0, 0).connections_->limit() == 64U << 20U);
}

BOOST_AUTO_TEST_CASE(unknown_methods_share_a_label)
{
    BOOST_TEST(methodLabel("GET") == "GET");
    BOOST_TEST(methodLabel("GETX") == "other");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
