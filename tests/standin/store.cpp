// Stand-in for the users' store: items with revisions, conditional transactions, ranges, and watches over a history
// that can be dropped; with fault modes for outages, delays, lost answers and a limited rate of writes.

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <ibiswall/base/base64.hpp>
#include <ibiswall/net.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

enum HttpStatus {
    Ok = 200,
    MalformedRequest = 400,
    NotFound = 404,
    Gone = 410,
    PreconditionFailed = 412,
    TooManyRequests = 429,
    ServiceUnavailable = 503
};

constexpr std::size_t maxPageItems = 500;
constexpr std::size_t maxTransactionItems = 32;

struct StoredItem
{
    std::string value_;
    std::int64_t revision_ = 0;
    std::int64_t createdRevision_ = 0;
};

struct Event
{
    std::string key_;
    std::string value_;
    std::int64_t revision_ = 0;
    std::int64_t createdRevision_ = 0;
    bool deleted_ = false;
};

// Fault modes that a test sets with POST /standin/mode.
struct Mode
{
    /// Answers every call with status 503.
    bool down_ = false;
    /// Neither executes nor answers any call.
    bool silent_ = false;
    /// Executes writes but never answers them.
    bool dropWriteAnswers_ = false;
    /// Delay before a call is executed.
    std::int64_t delayMillis_ = 0;
    /// Writes per second beyond which writes get status 429; 0 for no limit.
    std::int64_t writesPerSecond_ = 0;
    /// Largest value of a key.
    std::size_t valueBytes_ = 1U << 20U;
};

std::string percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::map<std::string, std::string> parseQuery(const std::string &query)
{
    std::map<std::string, std::string> out;
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string pair = query.substr(begin, end - begin);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            out[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
        }
        begin = end + 1;
    }
    return out;
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

class Store
{
public:
    explicit Store(boost::asio::io_context &io)
        : io_(io)
    {
    }

    void handle(const HttpRequest &request, const Respond &respond)
    {
        if (request.path_ == "/standin/mode") {
            setMode(request.body_);
            respond(jsonReply(Ok, "{}"));
        } else if (request.path_ == "/standin/writes") {
            respond(jsonReply(Ok, Json(writes_).dump()));
        } else if (mode_.down_) {
            respond(jsonReply(ServiceUnavailable, "{}"));
        } else if (mode_.silent_) {
            // The connection stays open, and the call unanswered also after the end of this mode.
            unanswered_.push_back(respond);
        } else if (mode_.delayMillis_ > 0) {
            auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(mode_.delayMillis_));
            timer->async_wait([this, timer, request, respond](boost::system::error_code) { answerCall(request, respond); });
        } else {
            answerCall(request, respond);
        }
    }

private:
    struct Watch
    {
        std::string prefix_;
        std::int64_t after_ = 0;
        Respond respond_;
        std::shared_ptr<boost::asio::steady_timer> timer_;
    };

    void setMode(const std::string &body)
    {
        const Json json = Json::parse(body);
        mode_.down_ = json.value("down", mode_.down_);
        mode_.silent_ = json.value("silent", mode_.silent_);
        mode_.dropWriteAnswers_ = json.value("lose_writes", mode_.dropWriteAnswers_);
        mode_.delayMillis_ = json.value("slow_ms", mode_.delayMillis_);
        mode_.writesPerSecond_ = json.value("writes_per_s", mode_.writesPerSecond_);
        mode_.valueBytes_ = json.value("value_bytes", mode_.valueBytes_);
        if (json.value("drop_history", false)) {
            events_.clear();
            oldestWatchRevision_ = revision_;
            for (Watch &watch : std::exchange(watches_, {})) {
                watch.timer_->cancel();
                watch.respond_(jsonReply(Gone, "{}"));
            }
        }
    }

    void answerCall(const HttpRequest &request, const Respond &respond)
    {
        const auto query = parseQuery(request.query_);
        const auto parameter = [&query](const char *name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        if (request.method_ == "GET" && request.path_ == "/kv-key") {
            get(parameter("key"), respond);
        } else if (request.method_ == "GET" && request.path_ == "/kv-range") {
            range(parameter("prefix"), parameter("after"), respond);
        } else if (request.method_ == "GET" && request.path_ == "/kv-watch") {
            watch(parameter("prefix"), std::stoll(parameter("after")), std::stoll(parameter("wait_ms")), respond);
        } else if (request.method_ == "POST" && request.path_ == "/kv-txn") {
            commit(request.body_, respond);
        } else {
            respond(jsonReply(NotFound, "{}"));
        }
    }

    static Json itemOf(const std::string &key, const StoredItem &storedItem)
    {
        return {{"key", key},
                {"value", toBase64(storedItem.value_)},
                {"rev", storedItem.revision_},
                {"created_rev", storedItem.createdRevision_},
                {"lease", 0}};
    }

    void get(const std::string &key, const Respond &respond)
    {
        const auto found = items_.find(key);
        if (found == items_.end()) {
            respond(jsonReply(NotFound, Json::object({{"at", revision_}}).dump()));
            return;
        }
        Json item = itemOf(key, found->second);
        item["at"] = revision_;
        respond(jsonReply(Ok, item.dump()));
    }

    void range(const std::string &prefix, const std::string &after, const Respond &respond)
    {
        Json items = Json::array();
        bool truncated = false;
        for (auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
             it != items_.end() && startsWith(it->first, prefix); ++it) {
            if (items.size() == maxPageItems) {
                truncated = true;
                break;
            }
            items.push_back(itemOf(it->first, it->second));
        }
        respond(jsonReply(Ok, Json{{"items", std::move(items)}, {"truncated", truncated}, {"at", revision_}}.dump()));
    }

    bool answerWatch(const std::string &prefix, std::int64_t after, const Respond &respond, bool allowEmpty)
    {
        Json events = Json::array();
        for (const Event &event : events_) {
            if (event.revision_ <= after || !startsWith(event.key_, prefix)) {
                continue;
            }
            if (event.deleted_) {
                events.push_back({{"key", event.key_}, {"rev", event.revision_}, {"deleted", true}});
            } else {
                events.push_back(itemOf(event.key_, {event.value_, event.revision_, event.createdRevision_}));
            }
        }
        if (events.empty() && !allowEmpty) {
            return false;
        }
        respond(jsonReply(Ok, Json{{"events", std::move(events)}, {"at", revision_}}.dump()));
        return true;
    }

    void watch(const std::string &prefix, std::int64_t after, std::int64_t waitMillis, const Respond &respond)
    {
        if (after < oldestWatchRevision_) {
            respond(jsonReply(Gone, "{}"));
            return;
        }
        if (answerWatch(prefix, after, respond, false)) {
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(waitMillis));
        watches_.push_back({prefix, after, respond, timer});
        timer->async_wait([this, timer, prefix, after, respond](boost::system::error_code error) {
            if (!error) {
                watches_.erase(
                    std::remove_if(watches_.begin(), watches_.end(), [&timer](const Watch &each) { return each.timer_ == timer; }),
                    watches_.end());
                answerWatch(prefix, after, respond, true);
            }
        });
    }

    bool countWriteAndCheckRate()
    {
        const Millis now = bootClock();
        if (now >= rateWindowStart_ + Millis{1000}) {
            rateWindowStart_ = now;
            writesInWindow_ = 0;
        }
        return mode_.writesPerSecond_ > 0 && ++writesInWindow_ > mode_.writesPerSecond_;
    }

    bool hasTooLargeValue(const Json &writes) const
    {
        return std::any_of(writes.begin(), writes.end(), [this](const Json &write) {
            return fromBase64(write.at("value").get<std::string>()).value().size() > mode_.valueBytes_;
        });
    }

    void commit(const std::string &body, const Respond &respond)
    {
        const Json json = Json::parse(body, nullptr, false);
        if (!json.is_object() || json["expected"].size() + json["writes"].size() + json["deletes"].size() > maxTransactionItems
            || hasTooLargeValue(json["writes"])) {
            respond(jsonReply(MalformedRequest, "{}"));
            return;
        }
        if (countWriteAndCheckRate()) {
            respond(jsonReply(TooManyRequests, "{}"));
            return;
        }
        for (const Json &write : json["writes"]) {
            ++writes_[write.at("key").get<std::string>()];
        }
        bool conditionsHold = true;
        Json currentItems = Json::array();
        for (const Json &expected : json["expected"]) {
            const auto key = expected.at("key").get<std::string>();
            const auto found = items_.find(key);
            const std::int64_t revision = found == items_.end() ? 0 : found->second.revision_;
            conditionsHold = conditionsHold && revision == expected.at("rev").get<std::int64_t>();
            currentItems.push_back(found == items_.end() ? Json::object({{"key", key}, {"rev", 0}}) : itemOf(key, found->second));
        }
        if (!conditionsHold) {
            respond(jsonReply(PreconditionFailed, Json{{"items", std::move(currentItems)}, {"at", revision_}}.dump()));
            return;
        }
        apply(json);
        if (mode_.dropWriteAnswers_) {
            unansweredCalls_.push_back(respond);
            return;
        }
        respond(jsonReply(Ok, Json::object({{"rev", revision_}}).dump()));
    }

    void apply(const Json &json)
    {
        ++revision_;
        for (const Json &write : json["writes"]) {
            const auto key = write.at("key").get<std::string>();
            StoredItem &storedItem = items_[key];
            storedItem.value_ = fromBase64(write.at("value").get<std::string>()).value();
            storedItem.revision_ = revision_;
            storedItem.createdRevision_ = storedItem.createdRevision_ == 0 ? revision_ : storedItem.createdRevision_;
            events_.push_back({key, storedItem.value_, revision_, storedItem.createdRevision_, false});
        }
        for (const Json &removal : json["deletes"]) {
            const auto key = removal.get<std::string>();
            if (items_.erase(key) > 0) {
                events_.push_back({key, {}, revision_, 0, true});
            }
        }
        for (auto it = watches_.begin(); it != watches_.end();) {
            const Watch pendingWatch = *it;
            if (answerWatch(pendingWatch.prefix_, pendingWatch.after_, pendingWatch.respond_, false)) {
                pendingWatch.timer_->cancel();
                it = watches_.erase(it);
            } else {
                ++it;
            }
        }
    }

    boost::asio::io_context &io_;
    Mode mode_;
    /// Calls that arrived in silent mode.
    std::vector<Respond> unanswered_;
    /// Number of transactions by the keys that they write, whether or not their conditions held. GET /standin/writes returns it.
    std::map<std::string, int> writes_;
    std::map<std::string, StoredItem> items_;
    std::vector<Event> events_;
    std::vector<Watch> watches_;
    /// Calls that are never answered; kept so that their connections stay open.
    std::vector<Respond> unansweredCalls_;
    std::int64_t revision_ = 1;
    std::int64_t oldestWatchRevision_ = 0;
    Millis rateWindowStart_;
    std::int64_t writesInWindow_ = 0;
};

} // namespace

} // namespace ibiswall

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("options");
    options.add_options()("listen", po::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    boost::asio::io_context io(1);
    ibiswall::Store store(io);
    ibiswall::HttpServer server(
        io, {}, [&store](const ibiswall::HttpRequest &request, const ibiswall::Respond &respond) { store.handle(request, respond); });
    const auto port = server.listen(ibiswall::parseAddress(values["listen"].as<std::string>()).value());
    if (port.has_error()) {
        std::cerr << port.error().text_ << '\n';
        return 1;
    }
    std::cout << "port " << port.value() << std::endl;
    io.run();
}
