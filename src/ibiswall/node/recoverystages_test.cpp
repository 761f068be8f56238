// Tests that each stage of a recovery is reported once, and takeovers long after the start are not.

#include "recoverystages.hpp"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

namespace ibiswall::node {

BOOST_AUTO_TEST_SUITE(recovery_stages)

BOOST_AUTO_TEST_CASE(each_stage_is_reported_once_with_the_time_since_the_start)
{
    RecoveryStages stages({1000});
    BOOST_REQUIRE(stages.reach(RecoveryStage::Leader, {1300}).has_value());
    BOOST_TEST(!stages.reach(RecoveryStage::Leader, {1400}).has_value());
    BOOST_TEST((stages.reach(RecoveryStage::FirstTarget, {1400}) == Millis{400}));
}

BOOST_AUTO_TEST_CASE(takeover_long_after_the_start_is_no_recovery)
{
    RecoveryStages stages({1000});
    BOOST_TEST(!stages.reach(RecoveryStage::FirstTarget, {3600000}).has_value());
}

BOOST_AUTO_TEST_CASE(stages_have_different_names)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < recoveryStages; ++i) {
        names.insert(stageName(static_cast<RecoveryStage>(i)));
    }
    BOOST_TEST(names.size() == recoveryStages);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
