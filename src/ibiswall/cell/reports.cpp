// Classifies reports by their numbers.

#include <ibiswall/cell/reports.hpp>

namespace ibiswall::cell {

ReportVerdict ReportOrder::classify(const AgentReport &report)
{
    const bool older = report.number_ < accepted_.number_ || (report.number_ == accepted_.number_ && report.part_ <= accepted_.part_);
    if (older) {
        return ReportVerdict::Stale;
    }
    if (!report.full_ && !complete_) {
        earlyPosition_ = {report.number_, report.part_};
        return ReportVerdict::TooEarly;
    }
    const bool next = report.full_ || (report.number_ == accepted_.number_ && report.part_ == accepted_.part_ + 1);
    if (!next || (report.full_ && earlyPosition_.number_ == report.number_)) {
        complete_ = false;
        return ReportVerdict::Incomplete;
    }
    accepted_ = {report.number_, report.part_};
    complete_ = true;
    return ReportVerdict::Accept;
}

void ReportOrder::expectFullReport()
{
    complete_ = false;
}

bool ReportOrder::isComplete() const
{
    return complete_;
}

const ReportPosition &ReportOrder::lastAccepted() const
{
    return accepted_;
}

} // namespace ibiswall::cell
