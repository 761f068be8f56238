// Settings of the scheduling decisions of a cell.

#pragma once

namespace ibiswall::cell {

/// Switches and figures of scheduling. The defaults place tasks by priority and free capacity alone.
struct SchedulingSettings
{
    /// Whether jobs that cannot be served in time are refused when they arrive.
    bool admission_ = false;
    /// Minimum share of the cores in use that each queue with waiting jobs gets, from 0 to maxQueueFloor; 0 for strict priority.
    double queueFloor_ = 0;
    /// Whether targets are chosen by when a task would end on them, and stalled targets are taken out of use.
    bool placeByEnd_ = false;
    /// Whether kinds of tasks that slow each other down are kept on different targets while there is capacity.
    bool separateInterfering_ = true;
};

/// Minimum shares of several queues have to leave room for placement by priority.
constexpr double maxQueueFloor = 0.25;

} // namespace ibiswall::cell
