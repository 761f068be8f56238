// Until when the work on a job is of use to its caller.

#include <ibiswall/cell/usefultime.hpp>

#include <algorithm>
#include <ibiswall/cell/dispatcher.hpp>

namespace ibiswall::cell {

namespace {

// Objective of a job whose queue is no longer configured.
constexpr Millis unknownObjective{1000};

Millis longestChain(const JobSpec &spec)
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (const Step &step : spec.steps_) {
        std::int64_t begin = 0;
        for (const std::uint32_t before : step.after_) {
            begin = std::max(begin, ends.at(before));
        }
        ends.push_back(begin + step.estimate_.count_);
        longest = std::max(longest, ends.back());
    }
    return {longest};
}

Millis objective(Millis chain, const Queue *queue)
{
    if (queue == nullptr) {
        return unknownObjective;
    }
    return {static_cast<std::int64_t>(static_cast<double>(chain.count_) * queue->stretch_) + queue->allowance_.count_};
}

} // namespace

UsefulTime usefulTime(const JobSpec &spec, const Queue *queue)
{
    UsefulTime out;
    out.chain_ = longestChain(spec);
    out.objective_ = objective(out.chain_, queue);
    out.lastStart_ = Millis{usefulObjectiveFactor * out.objective_.count_} - out.chain_;
    return out;
}

bool isTooLateToOffer(const UsefulTime &useful, Millis submittedAt, Millis deadline, Millis reserve, Millis now)
{
    return now + reserve > std::min(submittedAt + useful.lastStart_, deadline);
}

} // namespace ibiswall::cell
