// How long a process took from its start to each stage of a recovery, for the log and the metrics.

#pragma once

#include <array>
#include <ibiswall/base.hpp>
#include <optional>

namespace ibiswall::node {

/// Stages in the order in which a recovery passes them.
enum class RecoveryStage : std::uint8_t {
    /// The configuration has been read.
    Configuration,
    /// A leader is known.
    Leader,
    /// At the leader: the first target is known that takes starts.
    FirstTarget,
    /// At the leader: the first start has been ordered.
    FirstStart,
    /// At the leader: every registered agent has reported, or its lease has certainly expired.
    AllTargets,
};

constexpr std::size_t recoveryStages = 5;

/// Name in the log and the metrics.
const char *stageName(RecoveryStage stage);

/// The stages that a process has passed. Does no I/O.
class RecoveryStages
{
public:
    explicit RecoveryStages(Millis startedAt);

    /// @return the time since the start of the process, if it has reached the stage for the first time and as part of its recovery
    std::optional<Millis> reach(RecoveryStage stage, Millis now);

private:
    Millis startedAt_;
    std::array<bool, recoveryStages> reached_{};
};

} // namespace ibiswall::node
