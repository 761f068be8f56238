// Stand-in for the users' store: items with revisions, transactions with conditions, ranges, and watches over a history
// that can be dropped; with switches for outage, slowness, lost answers and callers that are turned away.

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

enum Status { Fine = 200, Malformed = 400, NotFound = 404, Gone = 410, Conflict = 412, TooMany = 429, Unavailable = 503 };

constexpr std::size_t pageItems = 500;
constexpr std::size_t maxEntries = 32;

struct Stored
{
    std::string value_;
    std::int64_t revision_ = 0;
    std::int64_t created_ = 0;
};

struct Event
{
    std::string key_;
    std::string value_;
    std::int64_t revision_ = 0;
    std::int64_t created_ = 0;
    bool deleted_ = false;
};

// What a test may switch with POST /standin/mode.
struct Mode
{
    /// Every call is refused.
    bool down_ = false;
    /// Writes take effect, but their answers never come.
    bool loseWrites_ = false;
    /// Calls are answered only after this time.
    std::int64_t slowMillis_ = 0;
    /// Writes beyond this many a second are refused; 0 for no limit.
    std::int64_t writesPerSecond_ = 0;
};

std::string unescape(std::string_view text)
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
            out[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
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
            respond(jsonReply(Fine, "{}"));
        } else if (mode_.down_) {
            respond(jsonReply(Unavailable, "{}"));
        } else if (mode_.slowMillis_ > 0) {
            auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(mode_.slowMillis_));
            timer->async_wait([this, timer, request, respond](boost::system::error_code) { serve(request, respond); });
        } else {
            serve(request, respond);
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
        mode_.loseWrites_ = json.value("lose_writes", mode_.loseWrites_);
        mode_.slowMillis_ = json.value("slow_ms", mode_.slowMillis_);
        mode_.writesPerSecond_ = json.value("writes_per_s", mode_.writesPerSecond_);
        if (json.value("drop_history", false)) {
            events_.clear();
            historyFrom_ = revision_;
            for (Watch &watch : std::exchange(watches_, {})) {
                watch.timer_->cancel();
                watch.respond_(jsonReply(Gone, "{}"));
            }
        }
    }

    void serve(const HttpRequest &request, const Respond &respond)
    {
        const auto query = parseQuery(request.query_);
        const auto field = [&query](const char *name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        if (request.method_ == "GET" && request.path_ == "/kv-key") {
            get(field("key"), respond);
        } else if (request.method_ == "GET" && request.path_ == "/kv-range") {
            range(field("prefix"), field("after"), respond);
        } else if (request.method_ == "GET" && request.path_ == "/kv-watch") {
            watch(field("prefix"), std::stoll(field("after")), std::stoll(field("wait_ms")), respond);
        } else if (request.method_ == "POST" && request.path_ == "/kv-txn") {
            commit(request.body_, respond);
        } else {
            respond(jsonReply(NotFound, "{}"));
        }
    }

    static Json itemOf(const std::string &key, const Stored &stored)
    {
        return {
            {"key", key}, {"value", toBase64(stored.value_)}, {"rev", stored.revision_}, {"created_rev", stored.created_}, {"lease", 0}};
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
        respond(jsonReply(Fine, item.dump()));
    }

    void range(const std::string &prefix, const std::string &after, const Respond &respond)
    {
        Json items = Json::array();
        bool truncated = false;
        for (auto each = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
             each != items_.end() && startsWith(each->first, prefix); ++each) {
            if (items.size() == pageItems) {
                truncated = true;
                break;
            }
            items.push_back(itemOf(each->first, each->second));
        }
        respond(jsonReply(Fine, Json{{"items", std::move(items)}, {"truncated", truncated}, {"at", revision_}}.dump()));
    }

    bool answerWatch(const std::string &prefix, std::int64_t after, const Respond &respond, bool empty)
    {
        Json events = Json::array();
        for (const Event &event : events_) {
            if (event.revision_ <= after || !startsWith(event.key_, prefix)) {
                continue;
            }
            if (event.deleted_) {
                events.push_back({{"key", event.key_}, {"rev", event.revision_}, {"deleted", true}});
            } else {
                events.push_back(itemOf(event.key_, {event.value_, event.revision_, event.created_}));
            }
        }
        if (events.empty() && !empty) {
            return false;
        }
        respond(jsonReply(Fine, Json{{"events", std::move(events)}, {"at", revision_}}.dump()));
        return true;
    }

    void watch(const std::string &prefix, std::int64_t after, std::int64_t waitMillis, const Respond &respond)
    {
        if (after < historyFrom_) {
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

    bool overRate()
    {
        const Millis now = bootClock();
        if (now >= secondBegan_ + Millis{1000}) {
            secondBegan_ = now;
            writes_ = 0;
        }
        return mode_.writesPerSecond_ > 0 && ++writes_ > mode_.writesPerSecond_;
    }

    void commit(const std::string &body, const Respond &respond)
    {
        const Json json = Json::parse(body, nullptr, false);
        if (!json.is_object() || json["expected"].size() + json["writes"].size() + json["deletes"].size() > maxEntries) {
            respond(jsonReply(Malformed, "{}"));
            return;
        }
        if (overRate()) {
            respond(jsonReply(TooMany, "{}"));
            return;
        }
        bool holds = true;
        Json present = Json::array();
        for (const Json &expected : json["expected"]) {
            const auto key = expected.at("key").get<std::string>();
            const auto found = items_.find(key);
            const std::int64_t revision = found == items_.end() ? 0 : found->second.revision_;
            holds = holds && revision == expected.at("rev").get<std::int64_t>();
            present.push_back(found == items_.end() ? Json::object({{"key", key}, {"rev", 0}}) : itemOf(key, found->second));
        }
        if (!holds) {
            respond(jsonReply(Conflict, Json{{"items", std::move(present)}, {"at", revision_}}.dump()));
            return;
        }
        apply(json);
        if (mode_.loseWrites_) {
            lost_.push_back(respond);
            return;
        }
        respond(jsonReply(Fine, Json::object({{"rev", revision_}}).dump()));
    }

    void apply(const Json &json)
    {
        ++revision_;
        for (const Json &write : json["writes"]) {
            const auto key = write.at("key").get<std::string>();
            Stored &stored = items_[key];
            stored.value_ = fromBase64(write.at("value").get<std::string>()).value();
            stored.revision_ = revision_;
            stored.created_ = stored.created_ == 0 ? revision_ : stored.created_;
            events_.push_back({key, stored.value_, revision_, stored.created_, false});
        }
        for (const Json &removal : json["deletes"]) {
            const auto key = removal.get<std::string>();
            if (items_.erase(key) > 0) {
                events_.push_back({key, {}, revision_, 0, true});
            }
        }
        for (auto each = watches_.begin(); each != watches_.end();) {
            const Watch waiting = *each;
            if (answerWatch(waiting.prefix_, waiting.after_, waiting.respond_, false)) {
                waiting.timer_->cancel();
                each = watches_.erase(each);
            } else {
                ++each;
            }
        }
    }

    boost::asio::io_context &io_;
    Mode mode_;
    std::map<std::string, Stored> items_;
    std::vector<Event> events_;
    std::vector<Watch> watches_;
    /// Answers that never go out; kept so that their connections stay open.
    std::vector<Respond> lost_;
    std::int64_t revision_ = 1;
    std::int64_t historyFrom_ = 0;
    Millis secondBegan_;
    std::int64_t writes_ = 0;
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
