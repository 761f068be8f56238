// Decides which reports of an agent a dispatcher may apply when reports are lost or arrive out of order.

#pragma once

#include <ibiswall/cell/targetsupervisor.hpp>

namespace ibiswall::cell {

enum class ReportVerdict : std::uint8_t {
    Accept,
    /// Older than an accepted report, for example because it took a slower path. Applying it would mark runs lost that
    /// were started since.
    Stale,
    /// Cannot be interpreted before the next full report.
    TooEarly,
    /// A report is missing and the agent must send a full report. Otherwise a result that was never received could be
    /// acknowledged, because an acknowledgement covers all lower numbers.
    Incomplete,
};

/// Position of a report in an agent's sequence: the number of the latest full report, and the count of reports that
/// added to it.
struct ReportPosition
{
    std::int64_t number_ = 0;
    std::uint32_t part_ = 0;
};

/// Tracks the sequence of one agent's reports at one dispatcher.
class ReportOrder
{
public:
    /// Classifies a report and records its position.
    ReportVerdict classify(const AgentReport &report);

    /// Reports may have been lost: only a full report shows the agent's state.
    void expectFullReport();

    /// Whether a full report has been accepted and no report has been missed since.
    bool isComplete() const;

    /// Position of the latest accepted report.
    const ReportPosition &lastAccepted() const;

private:
    ReportPosition accepted_;
    /// Position of an incremental report that arrived before its full report.
    ReportPosition earlyPosition_;
    bool complete_ = false;
};

} // namespace ibiswall::cell
