// Stand-in for the key-value service of the platform: the subset of the etcd v3 JSON gateway that the system
// uses, with fault modes for outages, delays and answers lost after the call took effect.

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

constexpr int httpOk = 200;
constexpr int httpUnavailable = 503;

// Fault modes that a test sets with POST /standin/mode.
struct Mode
{
    /// Answers every call with status 503.
    bool down_ = false;
    /// Executes calls but never answers them.
    bool dropAnswers_ = false;
    /// Executes writes but never answers them; reads are answered.
    bool dropWriteAnswers_ = false;
    /// Delay before a call is executed.
    std::int64_t delayMillis_ = 0;
};

struct StoredItem
{
    std::string value_;
    std::int64_t createRevision_ = 0;
    std::int64_t modRevision_ = 0;
    std::int64_t lease_ = 0;
};

struct Lease
{
    Millis duration_;
    Millis expiresAt_;
};

class Platform
{
public:
    explicit Platform(boost::asio::io_context &io)
        : io_(io)
    {
    }

    void handle(const HttpRequest &request, const Respond &respond)
    {
        if (request.path_ == "/standin/mode") {
            setMode(Json::parse(request.body_));
            respond(jsonReply(httpOk, "{}"));
            return;
        }
        if (request.path_ == "/standin/stats") {
            respond(jsonReply(httpOk, Json({{"reads", reads_}, {"writes", writes_}, {"keys", store_.size()}}).dump()));
            return;
        }
        if (mode_.down_) {
            respond(jsonReply(httpUnavailable, "{}"));
            return;
        }
        if (mode_.delayMillis_ == 0) {
            answerCall(request, respond);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(mode_.delayMillis_));
        timer->async_wait([this, timer, request, respond](boost::system::error_code /*error*/) { answerCall(request, respond); });
    }

private:
    void setMode(const Json &json)
    {
        mode_.down_ = json.value("down", false);
        mode_.dropAnswers_ = json.value("lose_answers", false);
        mode_.dropWriteAnswers_ = json.value("lose_write_answers", false);
        mode_.delayMillis_ = json.value("slow_ms", 0);
    }

    void answerCall(const HttpRequest &request, const Respond &respond)
    {
        expireLeases();
        const Json body = Json::parse(request.body_, nullptr, false);
        const Json answer = body.is_object() ? executeCall(request.path_, body) : Json();
        if (mode_.dropAnswers_ || (mode_.dropWriteAnswers_ && request.path_ != "/v3/kv/range")) {
            unansweredCalls_.push_back(respond);
            return;
        }
        respond(answer.is_null() ? jsonReply(400, "{}") : jsonReply(httpOk, answer.dump()));
    }

    Json executeCall(const std::string &path, const Json &body)
    {
        if (path == "/v3/kv/range") {
            ++reads_;
            return range(body);
        }
        ++writes_;
        if (path == "/v3/kv/put") {
            return put(body);
        }
        if (path == "/v3/kv/deleterange") {
            return erase(body);
        }
        if (path == "/v3/kv/txn") {
            return executeTransaction(body);
        }
        if (path == "/v3/lease/grant") {
            return grantLease(body);
        }
        if (path == "/v3/lease/keepalive") {
            return renewLease(body);
        }
        return {};
    }

    static std::string bytesField(const Json &body, const char *key)
    {
        return fromBase64(body.value(key, "")).value_or("");
    }

    static std::int64_t numberField(const Json &body, const char *key)
    {
        const auto found = body.find(key);
        if (found == body.end()) {
            return 0;
        }
        return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
    }

    std::pair<std::map<std::string, StoredItem>::iterator, std::map<std::string, StoredItem>::iterator> findRange(const Json &body)
    {
        const std::string from = bytesField(body, "key");
        const std::string to = bytesField(body, "range_end");
        if (to.empty()) {
            const auto found = store_.find(from);
            return {found, found == store_.end() ? found : std::next(found)};
        }
        return {store_.lower_bound(from), store_.lower_bound(to)};
    }

    Json range(const Json &body)
    {
        const auto [from, to] = findRange(body);
        const std::int64_t limit = numberField(body, "limit");
        Json values = Json::array();
        for (auto it = from; it != to && (limit == 0 || static_cast<std::int64_t>(values.size()) < limit); ++it) {
            values.push_back({{"key", toBase64(it->first)},
                              {"value", toBase64(it->second.value_)},
                              {"create_revision", std::to_string(it->second.createRevision_)},
                              {"mod_revision", std::to_string(it->second.modRevision_)},
                              {"lease", std::to_string(it->second.lease_)}});
        }
        return {{"header", {{"revision", std::to_string(revision_)}}}, {"kvs", values}, {"count", std::to_string(values.size())}};
    }

    Json put(const Json &body)
    {
        StoredItem &item = store_[bytesField(body, "key")];
        ++revision_;
        item.value_ = bytesField(body, "value");
        item.modRevision_ = revision_;
        item.createRevision_ = item.createRevision_ == 0 ? revision_ : item.createRevision_;
        item.lease_ = numberField(body, "lease");
        return {{"header", {{"revision", std::to_string(revision_)}}}};
    }

    Json erase(const Json &body)
    {
        const auto [from, to] = findRange(body);
        const auto count = std::distance(from, to);
        store_.erase(from, to);
        ++revision_;
        return {{"deleted", std::to_string(count)}};
    }

    bool conditionHolds(const Json &compare)
    {
        const auto found = store_.find(bytesField(compare, "key"));
        const StoredItem item = found == store_.end() ? StoredItem{} : found->second;
        const std::string target = compare.value("target", "");
        if (target == "CREATE") {
            return item.createRevision_ == numberField(compare, "create_revision");
        }
        if (target == "MOD") {
            return item.modRevision_ == numberField(compare, "mod_revision");
        }
        return target == "VALUE" && found != store_.end() && item.value_ == bytesField(compare, "value");
    }

    Json executeTransaction(const Json &body)
    {
        bool succeeded = true;
        for (const Json &compare : body.value("compare", Json::array())) {
            succeeded = succeeded && conditionHolds(compare);
        }
        Json responses = Json::array();
        for (const Json &operation : body.value(succeeded ? "success" : "failure", Json::array())) {
            if (operation.contains("request_put")) {
                responses.push_back({{"response_put", put(operation["request_put"])}});
            } else if (operation.contains("request_range")) {
                responses.push_back({{"response_range", range(operation["request_range"])}});
            } else if (operation.contains("request_delete_range")) {
                responses.push_back({{"response_delete_range", erase(operation["request_delete_range"])}});
            }
        }
        return {{"succeeded", succeeded}, {"responses", responses}};
    }

    Json grantLease(const Json &body)
    {
        constexpr std::int64_t millisPerSecond = 1000;
        const std::int64_t id = ++lastLease_;
        const std::int64_t seconds = numberField(body, "TTL");
        leases_[id] = {{seconds * millisPerSecond}, bootClock() + Millis{seconds * millisPerSecond}};
        return {{"ID", std::to_string(id)}, {"TTL", std::to_string(seconds)}};
    }

    Json renewLease(const Json &body)
    {
        const auto found = leases_.find(numberField(body, "ID"));
        if (found == leases_.end()) {
            return {{"result", {{"ID", body.value("ID", "")}, {"TTL", "0"}}}};
        }
        found->second.expiresAt_ = bootClock() + found->second.duration_;
        return {{"result", {{"ID", std::to_string(found->first)}, {"TTL", std::to_string(found->second.duration_.count_ / 1000)}}}};
    }

    void expireLeases()
    {
        const Millis now = bootClock();
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (lease->second.expiresAt_ > now) {
                ++lease;
                continue;
            }
            for (auto it = store_.begin(); it != store_.end();) {
                it = it->second.lease_ == lease->first ? store_.erase(it) : std::next(it);
            }
            lease = leases_.erase(lease);
        }
    }

    boost::asio::io_context &io_;
    Mode mode_;
    std::map<std::string, StoredItem> store_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t lastLease_ = 0;
    std::int64_t revision_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    /// Calls that are never answered; kept so that their connections stay open.
    std::vector<Respond> unansweredCalls_;
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
    ibiswall::Platform platform(io);
    ibiswall::HttpServer server(
        io, {}, [&platform](const ibiswall::HttpRequest &request, const ibiswall::Respond &respond) { platform.handle(request, respond); });
    const auto address = ibiswall::parseAddress(values["listen"].as<std::string>());
    const auto port = server.listen(address.value());
    if (port.has_error()) {
        std::cerr << port.error().text_ << '\n';
        return 1;
    }
    std::cout << "port " << port.value() << std::endl;
    io.run();
}
