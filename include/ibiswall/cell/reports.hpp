// Which reports of an agent a dispatcher may take in, when some are lost or overtake others on their way.

#pragma once

#include <ibiswall/cell/targetsupervisor.hpp>

namespace ibiswall::cell {

enum class ReportVerdict : std::uint8_t {
    Accept,
    /// Older than what was taken in: it came over a slower path. Taken in, it would make runs that were started since
    /// seem lost.
    Stale,
    /// Nothing can be concluded from it before the next whole report.
    TooEarly,
    /// A report is missing, and the agent has to report all anew. Otherwise an end could be acknowledged unseen, since
    /// acknowledging one end covers all with lower numbers.
    Incomplete,
};

/// Names a report of an agent: the number of the latest whole one, and the count of those that added to it.
struct ReportPosition
{
    std::int64_t number_ = 0;
    std::uint32_t part_ = 0;
};

/// The order of one agent's reports at one dispatcher.
class ReportOrder
{
public:
    /// Judges a report, and takes note of it.
    ReportVerdict classify(const AgentReport &report);

    /// Frames may have been lost: only a whole report tells where the agent stands.
    void expectFullReport();

    /// Whether all that the agent has told is known.
    bool isComplete() const;

    /// The latest report that was taken in.
    const ReportPosition &lastAccepted() const;

private:
    ReportPosition accepted_;
    /// A report that came before the whole one that it adds to.
    ReportPosition early_;
    bool complete_ = false;
};

} // namespace ibiswall::cell
