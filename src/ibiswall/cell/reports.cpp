// Judges reports by their numbers.

#include <ibiswall/cell/reports.hpp>

namespace ibiswall::cell {

ReportVerdict ReportOrder::judge(const AgentReport &report)
{
    const bool older = report.number_ < last_.number_ || (report.number_ == last_.number_ && report.part_ <= last_.part_);
    if (older) {
        return ReportVerdict::Stale;
    }
    if (!report.whole_ && !complete_) {
        early_ = {report.number_, report.part_};
        return ReportVerdict::TooEarly;
    }
    const bool next = report.whole_ || (report.number_ == last_.number_ && report.part_ == last_.part_ + 1);
    if (!next || (report.whole_ && early_.number_ == report.number_)) {
        complete_ = false;
        return ReportVerdict::Incomplete;
    }
    last_ = {report.number_, report.part_};
    complete_ = true;
    return ReportVerdict::TakeIn;
}

void ReportOrder::restart()
{
    complete_ = false;
}

bool ReportOrder::isComplete() const
{
    return complete_;
}

const ReportPlace &ReportOrder::last() const
{
    return last_;
}

} // namespace ibiswall::cell
