// Lost and overtaking reports.

#include <boost/test/unit_test.hpp>
#include <ibiswall/cell/reports.hpp>

namespace ibiswall::cell {

namespace {

ReportVerdict judge(ReportOrder &order, std::int64_t number, std::uint32_t part)
{
    AgentReport report;
    report.whole_ = part == 0;
    report.number_ = number;
    report.part_ = part;
    return order.judge(report);
}

} // namespace

BOOST_AUTO_TEST_SUITE(reports)

BOOST_AUTO_TEST_CASE(reports_in_order_are_taken_in)
{
    ReportOrder order;
    BOOST_TEST((judge(order, 7, 0) == ReportVerdict::TakeIn));
    BOOST_TEST((judge(order, 7, 1) == ReportVerdict::TakeIn));
    BOOST_TEST((judge(order, 7, 2) == ReportVerdict::TakeIn));
    BOOST_TEST((judge(order, 8, 0) == ReportVerdict::TakeIn));
    BOOST_TEST(order.isComplete());
}

BOOST_AUTO_TEST_CASE(a_lost_report_asks_for_all_anew)
{
    ReportOrder order;
    judge(order, 7, 0);
    BOOST_TEST((judge(order, 7, 2) == ReportVerdict::Incomplete));
    BOOST_TEST(!order.isComplete());
    BOOST_TEST((judge(order, 7, 3) == ReportVerdict::TooEarly));
    BOOST_TEST((judge(order, 8, 0) == ReportVerdict::TakeIn));
}

BOOST_AUTO_TEST_CASE(an_older_report_changes_nothing)
{
    ReportOrder order;
    judge(order, 8, 0);
    judge(order, 8, 1);
    BOOST_TEST((judge(order, 7, 0) == ReportVerdict::Stale));
    BOOST_TEST((judge(order, 8, 0) == ReportVerdict::Stale));
    BOOST_TEST((judge(order, 8, 1) == ReportVerdict::Stale));
    BOOST_TEST(order.isComplete());
    BOOST_TEST((judge(order, 8, 2) == ReportVerdict::TakeIn));
}

// In history 22088 of the model no further report followed, and a job never ended.
BOOST_AUTO_TEST_CASE(a_report_that_overtook_its_whole_one_is_not_missed)
{
    ReportOrder order;
    judge(order, 7, 0);
    order.restart();
    BOOST_TEST((judge(order, 8, 1) == ReportVerdict::TooEarly));
    BOOST_TEST((judge(order, 8, 0) == ReportVerdict::Incomplete));
    BOOST_TEST((judge(order, 9, 0) == ReportVerdict::TakeIn));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
