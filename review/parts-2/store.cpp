// Answers the calls of the platform's store from memory.

#include "store.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {

namespace {

using Json = nlohmann::json;

// As on the sheets of the users' deployments.
constexpr std::chrono::milliseconds latency(4);
constexpr std::size_t maxPageItems = 500;
constexpr std::size_t maxEvents = 2000;
constexpr std::size_t maxPageBytes = 1000000;
constexpr std::size_t maxEntries = 32;

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string parameter(const Request &request, const char *name)
{
    const auto found = request.query_.find(name);
    return found == request.query_.end() ? std::string() : found->second;
}

} // namespace

std::optional<Reply> Store::handle(const Request &request)
{
    std::this_thread::sleep_for(latency);
    if (request.path_ == "/kv-key") {
        return get(parameter(request, "key"));
    }
    if (request.path_ == "/kv-range") {
        return range(parameter(request, "prefix"), parameter(request, "after"));
    }
    if (request.path_ == "/kv-watch") {
        return watch(parameter(request, "prefix"), std::stoll(parameter(request, "after")), std::stoll(parameter(request, "wait_ms")));
    }
    if (request.path_ == "/kv-txn") {
        return commit(request.body_);
    }
    return Reply{404, "{}"};
}

Json Store::format(const std::string &key, const Item &item)
{
    return {{"key", key}, {"value", item.value_}, {"rev", item.revision_}, {"created_rev", item.createdRevision_}, {"lease", 0}};
}

Reply Store::get(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return {404, Json({{"at", revision_}}).dump()};
    }
    Json item = format(key, found->second);
    item["at"] = revision_;
    return {200, item.dump()};
}

Reply Store::range(const std::string &prefix, const std::string &after)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    Json items = Json::array();
    bool truncated = false;
    std::size_t bytes = 0;
    for (auto each = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
         each != items_.end() && startsWith(each->first, prefix); ++each) {
        const auto &[key, item] = *each;
        if (items.size() == maxPageItems || bytes > maxPageBytes) {
            truncated = true;
            break;
        }
        bytes += item.value_.size();
        items.push_back(format(key, item));
    }
    return {200, Json({{"items", std::move(items)}, {"truncated", truncated}, {"at", revision_}}).dump()};
}

Reply Store::watch(const std::string &prefix, std::int64_t after, std::int64_t waitMillis)
{
    std::unique_lock<std::mutex> lock(mutex_);
    Json events = Json::array();
    changed_.wait_for(lock, std::chrono::milliseconds(waitMillis), [&] {
        for (const auto &[revision, event] : events_) {
            if (revision > after && startsWith(event.at("key").get<std::string>(), prefix)) {
                events.push_back(event);
            }
        }
        return !events.empty();
    });
    return {200, Json({{"events", std::move(events)}, {"at", revision_}}).dump()};
}

Reply Store::commit(const std::string &body)
{
    const Json transaction = Json::parse(body, nullptr, false);
    if (!transaction.is_object()
        || transaction.at("expected").size() + transaction.at("writes").size() + transaction.at("deletes").size() > maxEntries) {
        return Reply{400, "{}"};
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    bool holds = true;
    Json current = Json::array();
    for (const Json &expected : transaction.at("expected")) {
        const auto key = expected.at("key").get<std::string>();
        const auto found = items_.find(key);
        holds = holds && expected.at("rev").get<std::int64_t>() == (found == items_.end() ? 0 : found->second.revision_);
        current.push_back(found == items_.end() ? Json({{"key", key}, {"rev", 0}}) : format(key, found->second));
    }
    if (!holds) {
        return Reply{412, Json({{"items", std::move(current)}, {"at", revision_}}).dump()};
    }
    apply(transaction);
    return Reply{200, Json({{"rev", revision_}}).dump()};
}

void Store::apply(const Json &transaction)
{
    ++revision_;
    for (const Json &write : transaction.at("writes")) {
        const auto key = write.at("key").get<std::string>();
        Item &item = items_[key];
        item.value_ = write.at("value").get<std::string>();
        item.revision_ = revision_;
        item.createdRevision_ = item.createdRevision_ == 0 ? revision_ : item.createdRevision_;
        events_.emplace_back(revision_, format(key, item));
    }
    for (const Json &removal : transaction.at("deletes")) {
        const auto key = removal.get<std::string>();
        if (items_.erase(key) > 0) {
            events_.emplace_back(revision_, Json({{"key", key}, {"rev", revision_}, {"deleted", true}}));
        }
    }
    // As many as matter: a watch begins at a recent revision.
    while (events_.size() > maxEvents) {
        events_.pop_front();
    }
    changed_.notify_all();
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    apply({{"writes", Json::array({Json({{"key", key}, {"value", toBase64(value)}})})}, {"deletes", Json::array()}});
}

} // namespace review
