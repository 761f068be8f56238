// Stand-in for the platform's store: items with revisions, transactions, ranges and watches.

#include "store.hpp"

#include "record.hpp"
#include <boost/beast/core/detail/base64.hpp>
#include <chrono>
#include <thread>

namespace review {

using Json = nlohmann::json;

namespace {

namespace base64 = boost::beast::detail::base64;

constexpr std::size_t maxPage = 500;
constexpr std::size_t maxEntries = 32;
// The time of the site's store to answer.
constexpr std::int64_t answerMs = 4;
constexpr std::int64_t slowAnswerMs = 200;
constexpr double lostShare = 0.3;
constexpr std::int64_t minLateMs = 1000;
constexpr std::int64_t maxLateMs = 6000;

enum Status { Ok = 200, Malformed = 400, Forbidden = 403, NotFound = 404, Conflict = 412, Unavailable = 503 };

std::string encode(const std::string &bytes)
{
    std::string out(base64::encoded_size(bytes.size()), '\0');
    out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
    return out;
}

std::string decode(const std::string &text)
{
    std::string out(base64::decoded_size(text.size()), '\0');
    out.resize(base64::decode(out.data(), text.data(), text.size()).first);
    return out;
}

bool hasPrefix(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string parameter(const Request &request, const char *name)
{
    const auto found = request.query_.find(name);
    return found == request.query_.end() ? std::string() : found->second;
}

} // namespace

void Store::serveAt(std::uint16_t port)
{
    modes_[port] = Mode::Serve;
    servers_[port] = std::make_unique<Server>(port, [this, port](const Request &request) { return handle(port, request); });
}

void Store::setMode(std::uint16_t port, Mode mode)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    modes_.at(port) = mode;
}

Server &Store::serverAt(std::uint16_t port)
{
    return *servers_.at(port);
}

void Store::put(const std::string &key, const Json &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++revision_;
    write(key, value.dump());
    note("operator writes " + key + " at revision " + std::to_string(revision_));
    changed_.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++revision_;
    erase(key);
    changed_.notify_all();
}

std::string Store::valueOf(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? std::string() : found->second.value_;
}

std::vector<std::string> Store::keysWith(const std::string &prefix)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> keys;
    for (const auto &[key, item] : items_) {
        if (hasPrefix(key, prefix)) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::optional<Reply> Store::handle(std::uint16_t port, const Request &request)
{
    Mode mode = Mode::Serve;
    bool loses = false;
    std::int64_t lateBy = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        mode = modes_.at(port);
        loses = request.method_ == "POST" && std::uniform_real_distribution<>(0, 1)(random_) < lostShare;
        lateBy = std::uniform_int_distribution<std::int64_t>(minLateMs, maxLateMs)(random_);
    }
    sleepMs(mode == Mode::Slow ? slowAnswerMs : answerMs);
    if (mode == Mode::Silent) {
        return std::nullopt;
    }
    if (mode == Mode::Busy) {
        return Reply{Unavailable, "{}"};
    }
    if (mode == Mode::LateWrites && loses) {
        std::thread([this, request, lateBy] {
            sleepMs(lateBy);
            execute(request);
        }).detach();
        return std::nullopt;
    }
    Reply reply = execute(request);
    if (mode == Mode::LoseWrites && loses) {
        return std::nullopt;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    return modes_.at(port) == Mode::Silent ? std::nullopt : std::optional(std::move(reply));
}

Reply Store::execute(const Request &request)
{
    if (request.method_ == "GET" && request.path_ == "/kv-key") {
        return get(request);
    }
    if (request.method_ == "GET" && request.path_ == "/kv-range") {
        return range(request);
    }
    if (request.method_ == "GET" && request.path_ == "/kv-watch") {
        return watch(request);
    }
    if (request.method_ == "POST" && request.path_ == "/kv-txn") {
        return commit(request);
    }
    return {NotFound, "{}"};
}

Json Store::toJson(const std::string &key, const Item &item)
{
    return {{"key", key}, {"value", encode(item.value_)}, {"rev", item.revision_}, {"created_rev", item.created_}, {"lease", 0}};
}

void Store::write(const std::string &key, const std::string &value)
{
    Item &item = items_[key];
    item.value_ = value;
    item.revision_ = revision_;
    item.created_ = item.created_ == 0 ? revision_ : item.created_;
    events_.push_back({revision_, key, toJson(key, item)});
}

void Store::erase(const std::string &key)
{
    if (items_.erase(key) > 0) {
        events_.push_back({revision_, key, {{"key", key}, {"rev", revision_}, {"deleted", true}}});
    }
}

Reply Store::get(const Request &request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string key = parameter(request, "key");
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return {NotFound, Json{{"at", revision_}}.dump()};
    }
    Json item = toJson(key, found->second);
    item["at"] = revision_;
    return {Ok, item.dump()};
}

Reply Store::range(const Request &request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string prefix = parameter(request, "prefix");
    const std::string after = parameter(request, "after");
    Json items = Json::array();
    bool truncated = false;
    for (auto each = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
         each != items_.end() && hasPrefix(each->first, prefix); ++each) {
        if (items.size() == maxPage) {
            truncated = true;
            break;
        }
        items.push_back(toJson(each->first, each->second));
    }
    return {Ok, Json{{"items", std::move(items)}, {"truncated", truncated}, {"at", revision_}}.dump()};
}

Reply Store::watch(const Request &request)
{
    const std::string prefix = parameter(request, "prefix");
    const std::int64_t after = std::stoll(parameter(request, "after"));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(parameter(request, "wait_ms")));
    std::unique_lock<std::mutex> lock(mutex_);
    Json events = Json::array();
    const auto collect = [&] {
        for (const Event &event : events_) {
            if (event.revision_ > after && hasPrefix(event.key_, prefix)) {
                events.push_back(event.item_);
            }
        }
        return !events.empty();
    };
    changed_.wait_until(lock, until, collect);
    return {Ok, Json{{"events", std::move(events)}, {"at", revision_}}.dump()};
}

Reply Store::commit(const Request &request)
{
    const Json body = Json::parse(request.body_, nullptr, false);
    if (!body.is_object() || body.at("expected").size() + body.at("writes").size() + body.at("deletes").size() > maxEntries) {
        return {Malformed, "{}"};
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    bool holds = true;
    Json current = Json::array();
    for (const Json &expected : body.at("expected")) {
        const auto key = expected.at("key").get<std::string>();
        const auto found = items_.find(key);
        const std::int64_t revision = found == items_.end() ? 0 : found->second.revision_;
        holds = holds && revision == expected.at("rev").get<std::int64_t>();
        current.push_back(found == items_.end() ? Json{{"key", key}, {"rev", 0}} : toJson(key, found->second));
    }
    if (!holds) {
        return {Conflict, Json{{"items", std::move(current)}, {"at", revision_}}.dump()};
    }
    for (const Json &each : body.at("writes")) {
        const auto key = each.at("key").get<std::string>();
        if (hasPrefix(key, "op/") || hasPrefix(key, "servers/")) {
            return {Forbidden, "{}"};
        }
    }
    ++revision_;
    for (const Json &each : body.at("writes")) {
        write(each.at("key").get<std::string>(), decode(each.at("value").get<std::string>()));
    }
    for (const Json &each : body.at("deletes")) {
        erase(each.get<std::string>());
    }
    changed_.notify_all();
    return {Ok, Json{{"rev", revision_}}.dump()};
}

} // namespace review
