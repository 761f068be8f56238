// Tests the handling of lost reports and of reports that arrive out of order.

#include <boost/test/unit_test.hpp>
#include <ibiswall/cell/reports.hpp>

namespace ibiswall::cell {

namespace {

ReportVerdict classify(ReportOrder &order, std::int64_t number, std::uint32_t part)
{
    AgentReport report;
    report.full_ = part == 0;
    report.number_ = number;
    report.part_ = part;
    return order.classify(report);
}

} // namespace

BOOST_AUTO_TEST_SUITE(reports)

BOOST_AUTO_TEST_CASE(accepts_reports_in_order)
{
    ReportOrder order;
    BOOST_TEST((classify(order, 7, 0) == ReportVerdict::Accept));
    BOOST_TEST((classify(order, 7, 1) == ReportVerdict::Accept));
    BOOST_TEST((classify(order, 7, 2) == ReportVerdict::Accept));
    BOOST_TEST((classify(order, 8, 0) == ReportVerdict::Accept));
    BOOST_TEST(order.isComplete());
}

BOOST_AUTO_TEST_CASE(lost_report_requires_full_report)
{
    ReportOrder order;
    classify(order, 7, 0);
    BOOST_TEST((classify(order, 7, 2) == ReportVerdict::Incomplete));
    BOOST_TEST(!order.isComplete());
    BOOST_TEST((classify(order, 7, 3) == ReportVerdict::TooEarly));
    BOOST_TEST((classify(order, 8, 0) == ReportVerdict::Accept));
}

BOOST_AUTO_TEST_CASE(ignores_older_report)
{
    ReportOrder order;
    classify(order, 8, 0);
    classify(order, 8, 1);
    BOOST_TEST((classify(order, 7, 0) == ReportVerdict::Stale));
    BOOST_TEST((classify(order, 8, 0) == ReportVerdict::Stale));
    BOOST_TEST((classify(order, 8, 1) == ReportVerdict::Stale));
    BOOST_TEST(order.isComplete());
    BOOST_TEST((classify(order, 8, 2) == ReportVerdict::Accept));
}

// Guards against waiting for a report that never comes: when an incremental report arrived before its full report and
// was dropped, no further report followed and a job never ended (simulation seed 22088).
BOOST_AUTO_TEST_CASE(detects_report_that_overtook_its_full_report)
{
    ReportOrder order;
    classify(order, 7, 0);
    order.expectFullReport();
    BOOST_TEST((classify(order, 8, 1) == ReportVerdict::TooEarly));
    BOOST_TEST((classify(order, 8, 0) == ReportVerdict::Incomplete));
    BOOST_TEST((classify(order, 9, 0) == ReportVerdict::Accept));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
