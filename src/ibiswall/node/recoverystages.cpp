// Stages of a recovery.

#include "recoverystages.hpp"

namespace ibiswall::node {

namespace {

// An entry that becomes the leader later than this after its start takes over from another one. Longer than an outage of the store that
// the cell has to tolerate while all processes start.
constexpr Millis recoveryLimit{60000};

} // namespace

const char *stageName(RecoveryStage stage)
{
    constexpr std::array<const char *, recoveryStages> names{"configuration", "leader", "first_target", "first_start", "all_targets"};
    return names.at(static_cast<std::size_t>(stage));
}

RecoveryStages::RecoveryStages(Millis startedAt)
    : startedAt_(startedAt)
{
}

std::optional<Millis> RecoveryStages::reach(RecoveryStage stage, Millis now)
{
    bool &reached = reached_.at(static_cast<std::size_t>(stage));
    if (reached || now > startedAt_ + recoveryLimit) {
        return std::nullopt;
    }
    reached = true;
    return now - startedAt_;
}

} // namespace ibiswall::node
