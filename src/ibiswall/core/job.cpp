// Names of task states.

#include <ibiswall/core/job.hpp>

#include <array>

namespace ibiswall {

std::string_view stateName(TaskState state)
{
    constexpr std::array<std::string_view, 6> names = {"queued", "placed", "done", "failed", "not-run", "may-have-run"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace ibiswall
