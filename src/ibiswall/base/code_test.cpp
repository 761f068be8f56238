// Tests the classes and descriptions of the result codes.

#include <boost/test/unit_test.hpp>
#include <ibiswall/base.hpp>

namespace ibiswall {

BOOST_AUTO_TEST_SUITE(code)

BOOST_AUTO_TEST_CASE(only_not_run_class_means_not_run)
{
    BOOST_TEST(meansNotRun(Code::Overloaded));
    BOOST_TEST(meansNotRun(Code::NotReady));
    BOOST_TEST(!meansNotRun(Code::Ok));
    BOOST_TEST(!meansNotRun(Code::ConnectionLost));
    BOOST_TEST(!meansNotRun(Code::DuplicateStart));
    BOOST_TEST(!meansNotRun(Code::TargetFailed));
}

BOOST_AUTO_TEST_CASE(describes_known_and_unknown_codes)
{
    BOOST_TEST(describe(Code::StalePlan) == "plan is stale");
    BOOST_TEST(describe(static_cast<Code>(999)) == "unknown code");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
