// Refuses jobs when they arrive if they cannot be served in time, and waiting ones when their predicted wait has grown.

#include <ibiswall/cell/dispatcher.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// Factor of the run times until they are learned.
constexpr double runTimeFactor = 1;
// Most waiting jobs of a queue that are checked again at a time: those that are placed last, which a longer wait affects first.
constexpr std::size_t maxRechecks = 64;
// Agents that run renew their leases, which last 1 s, so a new leader knows the targets that can be reached after it. Until then the
// capacity is not known, and nothing is refused for lack of it.
constexpr Millis settleTime{1000};

std::string poolOf(const std::string &service, const std::string &label)
{
    return service + '\n' + label;
}

std::string labelOf(const JobSpec &spec)
{
    return spec.steps_.empty() ? std::string() : spec.steps_.front().requiredLabel_;
}

Work workOf(const JobSpec &spec)
{
    Work sum;
    for (const Step &step : spec.steps_) {
        const std::int64_t cores = step.need_.cpu_ * step.count_;
        sum = sum + Work{cores, cores * step.estimate_.count_};
    }
    return sum;
}

} // namespace

void Dispatcher::initAdmission(Job &job, Millis objective, bool fresh, Millis now)
{
    const JobSpec &spec = job.record_.spec_;
    const Work whole = workOf(spec);
    const std::int64_t tasks = std::max<std::int64_t>(taskCount(spec), 1);
    job.addedAt_ = now;
    job.taskWork_ = {whole.cores_ / tasks, whole.work_ / tasks};
    const Queue *queue = queueOf(job);
    if (!scheduling_.admission_ || queue == nullptr) {
        return;
    }
    // Jobs that were offered to an earlier leader do not arrive now.
    if (fresh) {
        recordArrival(arrivalRates_[{poolOf(queue->service_, labelOf(spec)), queue->name_}], whole, objective, now);
        arrivals_.push_back(job.id_);
    }
}

// Updates the share of a job in the waiting work.
void Dispatcher::countWaiting(Job &job)
{
    if (job.counted_ > 0) {
        const Work counted{-job.taskWork_.cores_ * job.counted_, -job.taskWork_.work_ * job.counted_};
        addWork(poolBacklog_, job.poolKey_, counted);
        addWork(queueBacklog_, job.queueKey_, counted);
        job.counted_ = 0;
    }
    const Queue *queue = scheduling_.admission_ && job.waiting_ > 0 ? queueOf(job) : nullptr;
    // Work that no target can take now, or that only contained targets may take, delays no other.
    if (queue == nullptr || job.unmatchedIn_ == targetsVersion_ || containment_.isContained(queue->name_)) {
        return;
    }
    job.counted_ = job.waiting_;
    job.poolKey_ = backlogKey(poolOf(queue->service_, labelOf(job.record_.spec_)), job.priority_, job.late_, job.due_);
    job.queueKey_ = backlogKey(queue->name_, job.priority_, job.late_, job.due_);
    const Work counted{job.taskWork_.cores_ * job.counted_, job.taskWork_.work_ * job.counted_};
    addWork(poolBacklog_, job.poolKey_, counted);
    addWork(queueBacklog_, job.queueKey_, counted);
}

const Supply &Dispatcher::supplyFor(Forecast &forecast, const Queue &queue, const std::string &label) const
{
    const auto [entry, added] = forecast.supplies_.try_emplace(poolOf(queue.service_, label));
    if (added) {
        entry->second = supplyOf(targets_, queue.service_, label, domainsOut_);
        const auto ends = usage_.ends_.find(queue.service_);
        entry->second.ends_ = ends == usage_.ends_.end() ? nullptr : &ends->second;
    }
    return entry->second;
}

// Time until the last task of the job starts. Work of more urgent queues that arrives meanwhile is placed before it, and that of its own
// priority if it is late; less urgent queues get their minimum share.
Millis Dispatcher::predict(Forecast &forecast, const Job &job, const Queue &queue, bool late) const
{
    const std::string label = labelOf(job.record_.spec_);
    const std::string pool = poolOf(queue.service_, label);
    const Supply &supply = supplyFor(forecast, queue, label);
    // Late jobs wait for the rates to fall, so these count by their least likely value.
    const double certainty = late ? 1 - predictionMargin : 1;
    double taken = 0;
    double ownRate = 0;
    Work overtakes;
    Work ownOvertakes;
    for (auto each = arrivalRates_.lower_bound({pool, {}}); each != arrivalRates_.end() && each->first.first == pool; ++each) {
        const auto other = config_.queues_.find(each->first.second);
        if (other == config_.queues_.end()) {
            continue;
        }
        const double rate = coresOf(each->second, forecast.now_);
        const bool before = other->second.priority_ < queue.priority_ || (late && other->second.priority_ == queue.priority_);
        if (!late && other->second.priority_ == queue.priority_) {
            // Jobs with shorter objectives that arrive later may be due before.
            const Work earlier = overtaking(each->second, job.taskWork_, job.due_, forecast.now_);
            overtakes = overtakes + earlier;
            ownOvertakes = other->first == queue.name_ ? earlier : ownOvertakes;
        }
        taken += before ? certainty * rate : 0;
        taken += other->second.priority_ > queue.priority_ ? std::min(rate, scheduling_.queueFloor_ * supply.capacity_) : 0;
        ownRate = other->first == queue.name_ && late ? certainty * rate : ownRate;
    }
    const double capacity = std::max(supply.capacity_, 1.0);
    const Work all = workThrough(poolBacklog_, backlogKey(pool, job.priority_, late, job.due_)) + overtakes;
    const Millis byOrder = predictWait(supply, all, job.taskWork_, 1 - taken / capacity, runTimeFactor, forecast.now_);
    const double ownShare = scheduling_.queueFloor_ - ownRate / capacity;
    if (ownShare <= 0) {
        return byOrder;
    }
    const Work own = workThrough(queueBacklog_, backlogKey(queue.name_, job.priority_, late, job.due_)) + ownOvertakes;
    return std::min(byOrder, predictWait(supply, own, job.taskWork_, ownShare, runTimeFactor, forecast.now_));
}

// Whether the job can still be served, as far as can be foreseen.
// @param wait predicted wait
bool Dispatcher::isAdmissible(Forecast &forecast, const Job &job, Millis &wait) const
{
    const Queue *queue = queueOf(job);
    // Contained queues have a rule of their own. Nothing is known about capacity that has not reported yet.
    if (queue == nullptr || !isRefusable(job) || job.counted_ == 0 || firstReportAt_ == Millis{0}
        || forecast.now_ < firstReportAt_ + settleTime) {
        return true;
    }
    const Supply &supply = supplyFor(forecast, *queue, labelOf(job.record_.spec_));
    if (supply.capacity_ <= 0) {
        return true;
    }
    const Millis chain = job.due_ - job.latestStart_;
    const Millis lastStart = std::min(job.lastUsefulStart_, job.callerTimeoutAt_ - chain);
    const Millis inOrder = predict(forecast, job, *queue, job.late_);
    const Millis ifLate = job.late_ ? inOrder : predict(forecast, job, *queue, true);
    wait = ifLate;
    if (isServable({std::min(job.latestStart_, lastStart), lastStart, inOrder, ifLate, job.late_}, forecast.now_)) {
        return true;
    }
    const JobSpec &spec = job.record_.spec_;
    return std::any_of(spec.steps_.begin(), spec.steps_.end(), [this, queue, &job, &forecast](const Step &step) {
        return step.after_.empty() && isRoomFor(targets_, {step, queue->service_, domainsOut_, nullptr, nullptr, job.id_}, forecast.now_);
    });
}

// Checks jobs that have arrived or become late, after everything that can be placed has been.
void Dispatcher::checkArrivals(Millis now)
{
    if (!scheduling_.admission_) {
        arrivals_.clear();
        return;
    }
    if (firstReportAt_ != Millis{0} && now < firstReportAt_ + settleTime) {
        return;
    }
    Forecast forecast{now, {}};
    for (const std::string &id : std::exchange(arrivals_, {})) {
        const auto found = jobs_.find(id);
        Millis wait;
        if (found != jobs_.end() && !isAdmissible(forecast, found->second, wait)) {
            refuse(found->second, found->second.late_ ? "growth" : "arrival", wait, now);
        }
    }
}

// Waiting jobs of queues whose predicted wait has grown, and late jobs.
std::vector<Dispatcher::Job *> Dispatcher::jobsToRecheck(Millis now)
{
    if (!scheduling_.admission_) {
        return {};
    }
    for (auto each = arrivalRates_.begin(); each != arrivalRates_.end();) {
        // Labels are chosen by callers, so their number is not bounded otherwise.
        each = coresOf(each->second, now) < 1 ? arrivalRates_.erase(each) : std::next(each);
    }
    std::map<std::string, std::size_t> left;
    std::map<std::string, Millis> waits = predictedWaits(now);
    for (const auto &[queue, wait] : waits) {
        Millis &checked = checkedWaits_[queue];
        if (wait > checked + backlogBucket) {
            left[queue] = maxRechecks;
        } else {
            checked = std::min(checked, wait);
        }
    }
    std::vector<Job *> jobs;
    // The time that late jobs have left shrinks although their wait may not grow.
    std::size_t late = maxRechecks;
    for (auto each = ready_.rbegin(); each != ready_.rend(); ++each) {
        Job *job = each->second;
        const auto found = left.find(job->record_.spec_.queue_);
        if (!isRefusable(*job)) {
            continue;
        }
        if (found != left.end() && found->second > 0) {
            jobs.push_back(job);
            --found->second;
        } else if (job->late_ && late > 0) {
            jobs.push_back(job);
            --late;
        }
    }
    for (const auto &[queue, rest] : left) {
        // Otherwise the remaining jobs are checked at the next time.
        if (rest > 0) {
            checkedWaits_[queue] = waits[queue];
        }
    }
    return jobs;
}

void Dispatcher::refuse(Job &job, const char *reason, Millis wait, Millis now)
{
    const Queue *queue = queueOf(job);
    if (queue != nullptr && job.counted_ > 0) {
        Forecast forecast{now, {}};
        // A wait without a bound ends with the present arrivals; the work that waits now is done before.
        const Supply &supply = supplyFor(forecast, *queue, labelOf(job.record_.spec_));
        const Work all = workThrough(poolBacklog_, job.poolKey_);
        const Millis drained = predictWait(supply, all, job.taskWork_, 1, runTimeFactor, now);
        job.retryAfter_ = retryAfter(wait > Millis{0} && wait < unboundedWait ? wait : drained, job.id_);
    }
    actions_.refusals_.push_back({job.id_, job.record_.spec_.queue_, reason, now - job.addedAt_, wait});
    finish(job, JobState::Refused, now);
}

std::map<std::string, Millis> Dispatcher::predictedWaits(Millis now) const
{
    std::map<std::string, Millis> waits;
    if (!scheduling_.admission_) {
        return waits;
    }
    Forecast forecast{now, {}};
    for (const auto &[name, queue] : config_.queues_) {
        Job last;
        last.priority_ = queue.priority_;
        last.due_ = now + unboundedWait;
        last.taskWork_.cores_ = 1;
        if (supplyFor(forecast, queue, {}).capacity_ > 0) {
            waits[name] = predict(forecast, last, queue, false);
        }
    }
    return waits;
}

} // namespace ibiswall::cell
