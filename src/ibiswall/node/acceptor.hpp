// Makes submitted jobs durable: several in one transaction, one transaction at a time.

#pragma once

#include "../../../platform/store.hpp"
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <ibiswall/cell/record.hpp>
#include <unordered_map>

namespace ibiswall::node {

/// How a submission ended.
enum class Acceptance : std::uint8_t {
    /// Stored now; it is new.
    Created,
    /// Stored before, by this or another entry.
    Present,
    /// Surely not stored, and will not be by this attempt.
    NotStored,
};

/// A stored job, new or present.
struct AcceptedJob
{
    Acceptance acceptance_ = Acceptance::NotStored;
    cell::JobRecord record_;
    std::int64_t revision_ = 0;
};

using AcceptHandler = std::function<void(const std::string &id, const AcceptedJob &job)>;

/// Stores jobs in groups. Whatever the store leaves open is asked again until it is known.
class Acceptor
{
public:
    /// @param handle called once for each submission, unless the process ends first
    Acceptor(boost::asio::io_context &io, platform::StoreClient &store, AcceptHandler handle);

    /// Takes a job. An id that is under way already is not taken twice.
    void submit(const std::string &id, cell::JobRecord record);

    bool isPending(const std::string &id) const;

    std::size_t pending() const;

private:
    struct Pending
    {
        cell::JobRecord record_;
        std::string bytes_;
    };

    void pump();
    void commit();
    void onAnswer(const platform::StoreResult &answer);
    void settle(const platform::StoreResult &conflict);
    void finish(const std::string &id, AcceptedJob job);

    platform::StoreClient &store_;
    AcceptHandler handle_;
    boost::asio::steady_timer timer_;
    std::unordered_map<std::string, Pending> pending_;
    /// Ids not in a transaction yet, in order; all are in pending_.
    std::deque<std::string> queue_;
    /// Ids of the transaction in progress or to be repeated; all are in pending_.
    std::vector<std::string> batch_;
    bool busy_ = false;
    /// Whether an earlier attempt of the batch may have been carried out, or may be yet.
    bool uncertain_ = false;
    Millis lastCommit_;
};

} // namespace ibiswall::node
