// Group commit of new jobs.

#include "acceptor.hpp"

#include "keys.hpp"

namespace ibiswall::node {

namespace {

// A transaction holds a condition and a write for each job.
constexpr std::size_t maxBatch = platform::maxTransactionSize / 2;
// Least time between two transactions, so that jobs are batched: a call to the store takes longer than this wait.
constexpr Millis batchInterval{12};
// Delay before a transaction whose outcome is unknown is retried.
constexpr Millis retryDelay{50};

} // namespace

Acceptor::Acceptor(boost::asio::io_context &io, platform::StoreClient &store, AcceptHandler handler)
    : store_(store)
    , handler_(std::move(handler))
    , timer_(io)
{
}

void Acceptor::submit(const std::string &id, cell::JobRecord record)
{
    const auto [entry, added] = pending_.try_emplace(id);
    if (!added) {
        return;
    }
    entry->second.bytes_ = formatRecord(record);
    entry->second.record_ = std::move(record);
    entry->second.since_ = bootClock();
    queue_.push_back(id);
    scheduleCommit();
}

bool Acceptor::isPending(const std::string &id) const
{
    return pending_.count(id) != 0;
}

std::size_t Acceptor::pending() const
{
    return pending_.size();
}

void Acceptor::scheduleCommit()
{
    if (busy_ || (batch_.empty() && queue_.empty())) {
        return;
    }
    busy_ = true;
    const Millis now = bootClock();
    const bool reading = uncertain_ && !batch_.empty() && isTooOld(batch_.front());
    const Millis due = reading ? std::max(lastCommit_ + platform::lateWriteDelay, lastRead_ + retryDelay)
                               : lastCommit_ + (batch_.empty() ? batchInterval : retryDelay);
    if (now >= due) {
        commit();
        return;
    }
    timer_.expires_after(std::chrono::milliseconds((due - now).count_));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            commit();
        }
    });
}

bool Acceptor::isTooOld(const std::string &id) const
{
    return bootClock() > pending_.at(id).since_ + maxSubmissionAge;
}

// Ends submissions for which no transaction was sent in time.
void Acceptor::expireQueue()
{
    while (!queue_.empty() && isTooOld(queue_.front())) {
        const std::string id = std::move(queue_.front());
        queue_.pop_front();
        finish(id, {});
    }
}

// Reads the first submission of a transaction whose outcome is unknown, which is too old to be sent again.
void Acceptor::readOldest()
{
    lastRead_ = bootClock();
    store_.get(keys::job(batch_.front()), [this](const platform::StoreResult &answer) {
        busy_ = false;
        const bool found = answer.outcome_ == platform::StoreOutcome::Ok && !answer.items_.empty();
        if (found || answer.outcome_ == platform::StoreOutcome::NotFound) {
            const std::string id = std::move(batch_.front());
            batch_.erase(batch_.begin());
            lastRead_ = {};
            uncertain_ = !batch_.empty();
            if (found) {
                resolveExisting(id, answer.items_.front());
            } else {
                finish(id, {});
            }
        }
        scheduleCommit();
    });
}

void Acceptor::commit()
{
    if (uncertain_ && !batch_.empty() && isTooOld(batch_.front())) {
        if (bootClock() < lastCommit_ + platform::lateWriteDelay) {
            busy_ = false;
            scheduleCommit();
        } else {
            readOldest();
        }
        return;
    }
    expireQueue();
    if (batch_.empty() && queue_.empty()) {
        busy_ = false;
        return;
    }
    std::size_t bytes = 0;
    for (const std::string &id : batch_) {
        bytes += pending_.at(id).bytes_.size();
    }
    const std::size_t most = separate_ > 0 ? 1 : maxBatch;
    while (batch_.size() < most && !queue_.empty() && !uncertain_) {
        bytes += pending_.at(queue_.front()).bytes_.size();
        if (!batch_.empty() && bytes > platform::maxBatchBytes) {
            break;
        }
        batch_.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    platform::Transaction transaction;
    for (const std::string &id : batch_) {
        transaction.conditions_.push_back({keys::job(id), 0});
        transaction.writes_.push_back({keys::job(id), pending_.at(id).bytes_});
    }
    lastCommit_ = bootClock();
    store_.commit(transaction, [this](const platform::StoreResult &answer) { onAnswer(answer); });
}

void Acceptor::onAnswer(const platform::StoreResult &answer)
{
    using platform::StoreOutcome;
    busy_ = false;
    if (answer.outcome_ == StoreOutcome::Ok) {
        uncertain_ = false;
        for (const std::string &id : std::exchange(batch_, {})) {
            finish(id, {Acceptance::Created, {}, answer.revision_});
        }
    } else if (answer.outcome_ == StoreOutcome::Conflict) {
        resolveConflict(answer);
    } else if (answer.outcome_ == StoreOutcome::Rejected) {
        resolveRejection();
    } else if (answer.outcome_ == StoreOutcome::Unknown) {
        uncertain_ = true;
    } else if (!uncertain_) {
        for (const std::string &id : std::exchange(batch_, {})) {
            finish(id, {});
        }
    }
    scheduleCommit();
}

// Some ids exist already. Those with the same record were stored by an earlier attempt. Ids that do not exist are retried.
void Acceptor::resolveConflict(const platform::StoreResult &conflict)
{
    uncertain_ = false;
    std::vector<std::string> remaining;
    for (const std::string &id : std::exchange(batch_, {})) {
        const platform::Item *existing = nullptr;
        for (const platform::Item &item : conflict.items_) {
            if (item.key_ == keys::job(id) && item.revision_ != 0 && !item.deleted_) {
                existing = &item;
            }
        }
        if (existing == nullptr) {
            remaining.push_back(id);
            continue;
        }
        resolveExisting(id, *existing);
    }
    batch_ = std::move(remaining);
}

void Acceptor::resolveExisting(const std::string &id, const platform::Item &existing)
{
    if (existing.value_ == pending_.at(id).bytes_) {
        finish(id, {Acceptance::Created, {}, existing.revision_});
        return;
    }
    auto record = cell::parseRecord(existing.value_);
    finish(id, {Acceptance::Existing, record ? std::move(record.value()) : cell::JobRecord{}, existing.revision_});
}

// Finds the records that the store does not take by storing each job of the transaction alone. Earlier attempts at it were rejected too.
void Acceptor::resolveRejection()
{
    uncertain_ = false;
    std::vector<std::string> rejected = std::exchange(batch_, {});
    if (rejected.size() == 1) {
        finish(rejected.front(), {Acceptance::Rejected, {}, 0});
        return;
    }
    separate_ = rejected.size();
    queue_.insert(queue_.begin(), std::make_move_iterator(rejected.begin()), std::make_move_iterator(rejected.end()));
}

void Acceptor::finish(const std::string &id, AcceptedJob job)
{
    separate_ -= separate_ > 0 ? 1 : 0;
    const auto found = pending_.find(id);
    if (job.acceptance_ != Acceptance::Existing) {
        job.record_ = std::move(found->second.record_);
    }
    pending_.erase(found);
    handler_(id, job);
}

} // namespace ibiswall::node
