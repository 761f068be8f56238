// Withdraws jobs that are cancelled while neither the leader nor the store has them. A submission may still be on its way to the store,
// from any entry, also from one that has ended since. The store alone sees both, so a record under the id of the job makes it reject the
// submission.

#include "acceptor.hpp"
#include "keys.hpp"
#include "leadersession.hpp"
#include "metrics.hpp"
#include <algorithm>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

// Anybody may cancel ids that do not exist. Bounds the records that a new leader reads for them.
constexpr std::size_t maxWithdrawnJobs = 10000;
// Least time between two transactions, so that jobs have most of the writes.
constexpr Millis withdrawInterval{50};
// Clocks and timers of entries may be late by the rest of the retention.
static_assert(withdrawnRetention > maxSubmissionAge + platform::lateWriteDelay);

} // namespace

void LeaderSession::withdraw(const std::string &job, const std::string &entry)
{
    if (withdrawals_.count(job) == 0 && withdrawals_.size() + dispatcher_.withdrawnJobs() >= maxWithdrawnJobs) {
        hooks_.send_(entry, CancelRefusedFrame{job});
        return;
    }
    withdrawals_[job].insert(entry);
    scheduleWithdrawals(withdrawnAt_ + withdrawInterval);
}

void LeaderSession::scheduleWithdrawals(Millis due)
{
    if (withdrawing_ || withdrawals_.empty()) {
        return;
    }
    withdrawing_ = true;
    withdrawTimer_.expires_after(std::chrono::milliseconds(std::max<std::int64_t>((due - bootClock()).count_, 0)));
    withdrawTimer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped_) {
            self->storeWithdrawals();
        }
    });
}

void LeaderSession::storeWithdrawals()
{
    cell::JobRecord record;
    record.progress_.state_ = cell::JobState::Withdrawn;
    record.progress_.endedAt_ = wallClock().count_;
    const std::string value = formatRecord(record);
    platform::Transaction transaction = leaderTransaction();
    std::vector<std::string> jobs;
    for (auto each = withdrawals_.begin(); each != withdrawals_.end() && jobs.size() < maxRecords; ++each) {
        transaction.conditions_.push_back({keys::job(each->first), 0});
        transaction.writes_.push_back({keys::job(each->first), value});
        jobs.push_back(each->first);
    }
    withdrawnAt_ = bootClock();
    store_.commit(transaction, [self = shared_from_this(), jobs = std::move(jobs), sentAt = withdrawnAt_](const auto &answer) {
        if (self->stopped_) {
            return;
        }
        self->withdrawing_ = false;
        if (answer.outcome_ == platform::StoreOutcome::Ok) {
            self->recordConfirmation(sentAt);
        }
        self->onWithdrawn(jobs, answer);
        self->scheduleWithdrawals(self->withdrawnAt_ + withdrawInterval);
    });
}

// Jobs whose outcome is not known remain in withdrawals_ and are tried again: an earlier attempt that has taken effect shows as a conflict.
void LeaderSession::onWithdrawn(const std::vector<std::string> &jobs, const platform::StoreResult &answer)
{
    if (answer.outcome_ == platform::StoreOutcome::Ok) {
        for (const std::string &job : jobs) {
            count("ibiswall_withdrawn_total");
            logEvent("job.withdrawn", {{"job", std::string_view(job)}, {"revision", answer.revision_}});
            dispatcher_.withdraw(job, answer.revision_, bootClock());
            answerCancels(job);
        }
        scheduleDispatch();
    } else if (answer.outcome_ == platform::StoreOutcome::Conflict) {
        if (!isStillLeader(answer)) {
            loseLeadership();
            return;
        }
        for (const platform::Item &item : answer.items_) {
            const std::string job = item.key_ == keys::leader ? std::string() : keys::nameOf(item.key_, keys::jobs);
            if (withdrawals_.count(job) != 0 && item.revision_ != 0 && !item.deleted_) {
                addStored(item);
                answerCancels(job);
            }
        }
        scheduleDispatch();
    }
}

// Repeats the cancels of a job that the dispatcher knows now. A job whose record cannot be read is never run.
void LeaderSession::answerCancels(const std::string &job)
{
    const auto waiting = withdrawals_.extract(job);
    for (const std::string &entry : waiting.mapped()) {
        if (dispatcher_.hasJob(job)) {
            onCancel(entry, {job, false});
        } else {
            hooks_.send_(entry, UnknownJobFrame{job});
        }
    }
}

} // namespace ibiswall::node
