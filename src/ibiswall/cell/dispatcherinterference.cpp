// Learns from ended runs which kinds of tasks interfere, and keeps such kinds apart.

#include <ibiswall/cell/dispatcher.hpp>

namespace ibiswall::cell {

PlacedRun Dispatcher::describeRun(const Job &job, std::uint32_t step, Millis now)
{
    const JobSpec &spec = job.record_.spec_;
    PlacedRun run;
    run.need_ = spec.steps_[step].need_;
    run.kind_
        = scheduling_.separateInterfering_ ? findKind(interference_, kindOf(spec.queue_, step, spec.steps_[step]), now) : untrackedKind;
    return run;
}

void Dispatcher::learnFromRun(Target &target, const PlacedRun &run, const Job &job, const TaskId &id, Millis runTime, Millis now)
{
    if (!scheduling_.separateInterfering_ || !run.measured_) {
        return;
    }
    const Step &step = job.record_.spec_.steps_[id.step_];
    recordResidual(interference_, target.pace_, {run.kind_, run.beside_, runTime, step.estimate_, step.count_}, now);
}

void Dispatcher::avoidInterference(Placement &placement, const std::string &kind, SchedulingPass &pass, Millis now)
{
    if (!scheduling_.separateInterfering_ || interference_.believed_.empty()) {
        return;
    }
    placement.kind_ = findKind(interference_, kind, now);
    if (interference_.kinds_[placement.kind_].partners_.empty()) {
        return;
    }
    auto used = pass.utilization_.find(placement.service_);
    if (used == pass.utilization_.end()) {
        used = pass.utilization_.emplace(placement.service_, utilizationOf(targets_, placement.service_)).first;
    }
    placement.interference_ = &interference_;
    placement.separation_ = separationWeight(used->second);
}

void Dispatcher::adoptInterference(Span<const InterferingPair> pairs, Millis now)
{
    for (const InterferingPair &pair : pairs) {
        adoptPair(interference_, pair, now);
    }
}

std::vector<InterferingPair> Dispatcher::interferingPairs(std::size_t most) const
{
    return strongestPairs(interference_, most);
}

std::size_t Dispatcher::interferingPairCount() const
{
    return scheduling_.separateInterfering_ ? interference_.believed_.size() : 0;
}

std::vector<InterferenceChange> Dispatcher::takeInterferenceChanges()
{
    return std::exchange(interference_.changes_, {});
}

} // namespace ibiswall::cell
