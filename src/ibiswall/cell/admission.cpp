// Prediction of waits by fluid approximation: tasks are many and small compared with the capacity.

#include <ibiswall/cell/admission.hpp>

#include <algorithm>
#include <cmath>

namespace ibiswall::cell {

namespace {

// A target that is slower than this by its run times is expected to recover, or to be taken out of use.
constexpr double maxSlowness = 10;
// Higher speeds come from estimates that are too long rather than from targets.
constexpr double minSlowness = 0.5;
// Shortest time after which a caller should return: one round trip and the next pass.
constexpr Millis minRetryAfter{50};
// Longest one: callers give up after at most 10 s.
constexpr Millis maxRetryAfter{10000};

bool isUsable(const Target &target, std::string_view service, std::string_view label, const std::set<std::string> &domainsOut)
{
    const TargetInfo &info = target.info_;
    return target.present_ && info.responsive_ && !info.draining_ && !target.contained_ && !target.unlistedResults_
        && info.service_ == service && domainsOut.count(info.failureDomain_) == 0
        && (label.empty() || std::find(info.labels_.begin(), info.labels_.end(), label) != info.labels_.end());
}

// FNV-1a with a final mix: ids that differ in one digit get unrelated values.
std::uint64_t hashOf(std::string_view text)
{
    constexpr std::uint64_t basis = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    constexpr unsigned halfWidth = 32;
    std::uint64_t hash = basis;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    }
    hash ^= hash >> halfWidth;
    hash *= prime;
    return hash ^ (hash >> halfWidth);
}

Millis boundedWait(double millis)
{
    return millis < static_cast<double>(unboundedWait.count_) ? Millis{static_cast<std::int64_t>(std::ceil(millis))} : unboundedWait;
}

// Cores that are free of what runs now, as time passes.
class FreeCores
{
public:
    FreeCores(const Supply &supply, Millis now)
        : supply_(supply)
        , now_(now)
        , free_(supply.free_)
    {
        if (supply.ends_ != nullptr) {
            next_ = supply.ends_->begin();
            end_ = supply.ends_->end();
        }
    }

    /// Advances to the next end of running tasks.
    /// @return false if none is left; time_ and free_ are unchanged then
    bool advance()
    {
        if (next_ == end_ || free_ >= supply_.capacity_) {
            return false;
        }
        // A run that is overdue may end at any time.
        time_ = static_cast<double>(std::max(next_->first - now_.count_, backlogBucket.count_));
        free_ = std::min(supply_.capacity_, free_ + static_cast<double>(next_->second));
        ++next_;
        return true;
    }

    double time() const
    {
        return time_;
    }

    double free() const
    {
        return free_;
    }

private:
    const Supply &supply_;
    Millis now_;
    double time_ = 0;
    double free_;
    ExpectedEnds::const_iterator next_;
    ExpectedEnds::const_iterator end_;
};

} // namespace

Work operator+(const Work &a, const Work &b)
{
    return {a.cores_ + b.cores_, a.work_ + b.work_};
}

BacklogKey backlogKey(const std::string &name, std::uint32_t priority, bool late, Millis due)
{
    return {name, priority, late, due.count_ / backlogBucket.count_};
}

void addWork(Backlog &backlog, const BacklogKey &key, const Work &work)
{
    const auto entry = backlog.try_emplace(key).first;
    entry->second = entry->second + work;
    if (entry->second.cores_ == 0 && entry->second.work_ == 0) {
        backlog.erase(entry);
    }
}

Work workThrough(const Backlog &backlog, const BacklogKey &key)
{
    Work sum;
    const auto end = backlog.upper_bound(key);
    for (auto each = backlog.lower_bound({std::get<0>(key), 0, false, 0}); each != end; ++each) {
        sum = sum + each->second;
    }
    return sum;
}

void recordArrival(ArrivalRate &rate, const Work &work, Millis objective, Millis now)
{
    const double decay = std::exp(-static_cast<double>((now - rate.updatedAt_).count_) / static_cast<double>(arrivalWindow.count_));
    const auto added = static_cast<double>(work.work_);
    rate.work_ = rate.work_ * decay + added;
    rate.byObjective_ = rate.byObjective_ * decay + added * static_cast<double>(objective.count_);
    rate.updatedAt_ = now;
}

Work overtaking(const ArrivalRate &rate, const Work &task, Millis due, Millis now)
{
    if (rate.work_ <= 0 || task.work_ <= 0) {
        return {};
    }
    const double time = static_cast<double>((due - now).count_) - rate.byObjective_ / rate.work_;
    const double work = std::max(time, 0.0) * coresOf(rate, now);
    const double duration = static_cast<double>(task.work_) / static_cast<double>(std::max<std::int64_t>(task.cores_, 1));
    return {static_cast<std::int64_t>(work / duration), static_cast<std::int64_t>(work)};
}

double coresOf(const ArrivalRate &rate, Millis now)
{
    const auto window = static_cast<double>(arrivalWindow.count_);
    return rate.work_ / window * std::exp(-static_cast<double>((now - rate.updatedAt_).count_) / window);
}

void addEnd(ExpectedEnds &ends, Millis end, std::int64_t cores)
{
    const std::int64_t bucket = (end.count_ / backlogBucket.count_ + 1) * backlogBucket.count_;
    const auto entry = ends.try_emplace(bucket, 0).first;
    entry->second += cores;
    if (entry->second == 0) {
        ends.erase(entry);
    }
}

Supply supplyOf(const Targets &targets, std::string_view service, std::string_view label, const std::set<std::string> &domainsOut)
{
    Supply supply;
    for (const auto &[agent, target] : targets) {
        if (isUsable(target, service, label, domainsOut)) {
            const double speed = 1 / std::clamp(target.slowness_, minSlowness, maxSlowness);
            const std::int64_t free = std::max<std::int64_t>(target.info_.capacity_.cpu_ - target.allocated_.cpu_, 0);
            supply.capacity_ += speed * static_cast<double>(target.info_.capacity_.cpu_);
            supply.free_ += speed * static_cast<double>(free);
        }
    }
    return supply;
}

bool isRoomFor(const Targets &targets, const Placement &placement, Millis now)
{
    return std::any_of(targets.begin(), targets.end(), [&placement, now](const auto &each) {
        const Target &target = each.second;
        return isUsable(target, placement.service_, placement.step_.requiredLabel_, placement.domainsOut_) && now >= target.pausedUntil_
            && fits(placement.step_.need_, target.info_.capacity_ - target.allocated_);
    });
}

Millis predictWait(const Supply &supply, const Work &work, const Work &task, double share, double factor, Millis now)
{
    const double net = std::clamp(share, 0.0, 1.0) * supply.capacity_;
    if (net <= 0 || work.cores_ <= 0) {
        return work.cores_ <= 0 ? Millis{0} : unboundedWait;
    }
    const double amount = factor * static_cast<double>(work.work_);
    const double duration = amount / static_cast<double>(work.cores_);
    // On average, half of what runs when the last task starts has yet to be done.
    double rest = amount - net * duration / 2;
    const double needed = std::min(static_cast<double>(task.cores_), supply.capacity_);
    FreeCores cores(supply, now);
    double at = 0;
    bool fitsOne = cores.free() >= needed;
    while (true) {
        const double rate = share * cores.free();
        const double from = cores.time();
        const bool more = cores.advance();
        if (fitsOne && rest <= 0) {
            return boundedWait(at);
        }
        if (fitsOne && rate > 0 && (!more || from + rest / rate <= cores.time())) {
            return boundedWait(from + rest / rate);
        }
        if (!more) {
            // The ends of some runs are not known, for example those of another leader.
            return boundedWait(from + std::max(rest, 0.0) / net);
        }
        rest -= rate * (cores.time() - from);
        at = cores.time();
        fitsOne = cores.free() >= needed;
    }
}

bool isServable(const AdmissionQuery &query, Millis now)
{
    const auto scaled = [](Millis wait, double factor) {
        return Millis{static_cast<std::int64_t>(static_cast<double>(wait.count_) * factor)};
    };
    if (!query.late_ && now + scaled(query.wait_, 1 + predictionMargin) <= query.latestStart_) {
        return true;
    }
    return now + scaled(query.waitIfLate_, 1 - predictionMargin) <= query.lastUsefulStart_;
}

Millis retryAfter(Millis wait, std::string_view job)
{
    const std::int64_t from = std::clamp(wait.count_, minRetryAfter.count_, maxRetryAfter.count_);
    return {from + static_cast<std::int64_t>(hashOf(job) % static_cast<std::uint64_t>(from))};
}

} // namespace ibiswall::cell
