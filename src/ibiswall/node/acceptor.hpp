// Stores submitted jobs: several in one transaction, one transaction at a time.

#pragma once

#include "../../../platform/store.hpp"
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <ibiswall/cell/record.hpp>
#include <unordered_map>

namespace ibiswall::node {

/// Outcome of a submission.
enum class Acceptance : std::uint8_t {
    /// Stored by this submission; the job is new.
    Created,
    /// Already stored, by this or another entry.
    Existing,
    /// Not stored, and this attempt can no longer take effect.
    NotStored,
    /// Not stored, since the store does not take such a record.
    Rejected,
};

/// Result of a submission, with the stored job if there is one.
struct AcceptedJob
{
    Acceptance acceptance_ = Acceptance::NotStored;
    cell::JobRecord record_;
    std::int64_t revision_ = 0;
};

using AcceptHandler = std::function<void(const std::string &id, const AcceptedJob &job)>;

/// No transaction is sent for a submission that is older than this. Longer than the deadline of any caller.
constexpr Millis maxSubmissionAge{15000};

/// Stores jobs in batches. A transaction whose outcome is unknown is retried until the outcome is known; a submission that has become too
/// old meanwhile is read instead, once the transactions sent for it can have no more effect.
class Acceptor
{
public:
    /// @param handler called once for each submission, unless the process exits first
    Acceptor(boost::asio::io_context &io, platform::StoreClient &store, AcceptHandler handler);

    /// Submits a job. Does nothing if a submission of the same id is pending.
    void submit(const std::string &id, cell::JobRecord record);

    bool isPending(const std::string &id) const;

    std::size_t pending() const;

private:
    struct Pending
    {
        cell::JobRecord record_;
        std::string bytes_;
        Millis since_;
    };

    void scheduleCommit();
    void commit();
    bool isTooOld(const std::string &id) const;
    void expireQueue();
    void readOldest();
    void onAnswer(const platform::StoreResult &answer);
    void resolveConflict(const platform::StoreResult &conflict);
    void resolveRejection();
    void resolveExisting(const std::string &id, const platform::Item &existing);
    void finish(const std::string &id, AcceptedJob job);

    platform::StoreClient &store_;
    AcceptHandler handler_;
    boost::asio::steady_timer timer_;
    std::unordered_map<std::string, Pending> pending_;
    /// Ids that are not in a transaction yet, in order of submission; all are in pending_.
    std::deque<std::string> queue_;
    /// Ids of the transaction in progress or to be retried; all are in pending_.
    std::vector<std::string> batch_;
    /// Number of jobs, from the first one on, that are stored in a transaction each, since the store has rejected one with all of them.
    std::size_t separate_ = 0;
    bool busy_ = false;
    /// Whether an earlier attempt at the batch may have taken effect or may still do so.
    bool uncertain_ = false;
    Millis lastCommit_;
    /// When the latest read was sent, 0 if its outcome is known.
    Millis lastRead_;
};

} // namespace ibiswall::node
