// Calls the etcd v3 JSON gateway.

#include <ibiswall/platform/store.hpp>

#include <ibiswall/base/base64.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

constexpr int httpOk = 200;

Result<Json> callAddress(const Address &address, const char *path, const Json &body, Millis timeout)
{
    HttpCall call;
    call.method_ = "POST";
    call.target_ = path;
    call.body_ = body.dump();
    call.timeout_ = timeout;
    BOOST_OUTCOME_TRY(const auto answer, callHttp(address, call));
    if (answer.status_ != httpOk) {
        return Error{Code::PlatformDown, format(address) + path + ": status " + std::to_string(answer.status_)};
    }
    Json parsed = Json::parse(answer.body_, nullptr, false);
    if (!parsed.is_object()) {
        return Error{Code::PlatformDown, format(address) + path + ": not a JSON object"};
    }
    return parsed;
}

// Tries the addresses in order. Moves on to the next only if no connection was made, so that the call had no effect.
Result<Json> call(const Store &store, const char *path, const Json &body)
{
    Error lastError{Code::PlatformDown, "no platform address"};
    for (const Address &address : store.addresses_) {
        auto answer = callAddress(address, path, body, store.timeout_);
        if (answer.has_value()) {
            return answer;
        }
        lastError = answer.error();
        if (lastError.code_ != Code::CannotConnect) {
            break;
        }
    }
    return Error{Code::PlatformDown, lastError.text_};
}

Result<std::string> bytesField(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return std::string();
    }
    auto bytes = found->is_string() ? fromBase64(found->get_ref<const std::string &>()) : std::nullopt;
    if (!bytes) {
        return Error{Code::PlatformDown, std::string(key) + ": not base64"};
    }
    return std::move(*bytes);
}

} // namespace

Result<std::vector<KeyValue>> readRange(const Store &store, std::string_view from, std::string_view to, std::size_t limit)
{
    const Json request = {{"key", toBase64(from)}, {"range_end", toBase64(to)}, {"limit", limit}};
    BOOST_OUTCOME_TRY(const auto answer, call(store, "/v3/kv/range", request));
    std::vector<KeyValue> out;
    const auto values = answer.find("kvs");
    if (values == answer.end()) {
        return out;
    }
    for (const Json &value : *values) {
        BOOST_OUTCOME_TRY(auto key, bytesField(value, "key"));
        BOOST_OUTCOME_TRY(auto bytes, bytesField(value, "value"));
        out.push_back({std::move(key), std::move(bytes)});
    }
    return out;
}

Result<bool> createValue(const Store &store, std::string_view key, std::string_view value)
{
    const std::string encodedKey = toBase64(key);
    const Json absent = {{"key", encodedKey}, {"target", "CREATE"}, {"result", "EQUAL"}, {"create_revision", "0"}};
    const Json put = {{"request_put", {{"key", encodedKey}, {"value", toBase64(value)}}}};
    const Json request = {{"compare", Json::array({absent})}, {"success", Json::array({put})}};
    BOOST_OUTCOME_TRY(const auto answer, call(store, "/v3/kv/txn", request));
    return answer.value("succeeded", false);
}

} // namespace ibiswall
