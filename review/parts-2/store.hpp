// Stand-in for the platform's store: items with revisions, ranges, watches and conditional transactions.

#pragma once

#include "http.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

class Store
{
public:
    /// Answers a call after the usual latency.
    std::optional<Reply> handle(const Request &request);

    /// Writes a key as the operator does.
    void put(const std::string &key, const std::string &value);

private:
    struct Item
    {
        std::string value_;
        std::int64_t revision_ = 0;
        std::int64_t createdRevision_ = 0;
    };

    static nlohmann::json format(const std::string &key, const Item &item);
    Reply get(const std::string &key);
    Reply range(const std::string &prefix, const std::string &after);
    Reply watch(const std::string &prefix, std::int64_t after, std::int64_t waitMillis);
    Reply commit(const std::string &body);
    void apply(const nlohmann::json &transaction);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    /// Revision and event.
    std::deque<std::pair<std::int64_t, nlohmann::json>> events_;
    std::int64_t revision_ = 1;
};

} // namespace review
