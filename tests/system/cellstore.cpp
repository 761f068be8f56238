// Access of a test to the stand-in store of its cell, as an operator has it or beyond.

#include "cell.hpp"

#include "cluster.hpp"

#include <algorithm>
#include <ibiswall/base/base64.hpp>
#include <stdexcept>

namespace ibiswall::system {

void Cell::putKey(const std::string &key, const Json &value)
{
    putBytes(key, value.dump());
}

void Cell::putBytes(const std::string &key, const std::string &value)
{
    const auto existing = callHttp({"127.0.0.1", storePort_}, {"GET", "/kv-key?key=" + key, {}, {}, {5000}, {}});
    const bool exists = existing && existing.value().status_ == 200;
    const std::int64_t revision = exists ? Json::parse(existing.value().body_).at("rev").get<std::int64_t>() : 0;
    const Json body = {{"expected", Json::array({Json::object({{"key", key}, {"rev", revision}})})},
                       {"writes", Json::array({Json::object({{"key", key}, {"value", toBase64(value)}, {"lease", 0}})})},
                       {"deletes", Json::array()}};
    postToStore("/kv-txn", body);
}

void Cell::deleteKey(const std::string &key)
{
    const Json body = {{"expected", Json::array()}, {"writes", Json::array()}, {"deletes", Json::array({key})}};
    postToStore("/kv-txn", body);
}

std::string Cell::bytesOf(const std::string &key) const
{
    const auto answer = callHttp({"127.0.0.1", storePort_}, {"GET", "/kv-key?key=" + key, {}, {}, {5000}, {}});
    if (!answer || answer.value().status_ != 200) {
        return {};
    }
    return fromBase64(Json::parse(answer.value().body_).at("value").get<std::string>()).value_or(std::string());
}

int Cell::writesOf(const std::string &key) const
{
    const auto answer = callHttp({"127.0.0.1", storePort_}, {"GET", "/standin/writes", {}, {}, {5000}, {}});
    return answer ? Json::parse(answer.value().body_).value(key, 0) : 0;
}

void Cell::createKeys(const std::vector<std::string> &keys, const std::string &value)
{
    // Entries of one transaction.
    constexpr std::size_t maxBatch = 32;
    for (std::size_t first = 0; first < keys.size(); first += maxBatch) {
        Json writes = Json::array();
        for (std::size_t i = first; i < std::min(first + maxBatch, keys.size()); ++i) {
            writes.push_back({{"key", keys[i]}, {"value", toBase64(value)}, {"lease", 0}});
        }
        postToStore("/kv-txn", {{"expected", Json::array()}, {"writes", std::move(writes)}, {"deletes", Json::array()}});
    }
}

bool Cell::hasKey(const std::string &key) const
{
    const auto answer = callHttp({"127.0.0.1", storePort_}, {"GET", "/kv-key?key=" + key, {}, {}, {5000}, {}});
    return answer && answer.value().status_ == 200;
}

void Cell::setStoreMode(const Json &mode)
{
    postToStore("/standin/mode", mode);
}

void Cell::postToStore(const std::string &path, const Json &body) const
{
    const auto answer = callHttp({"127.0.0.1", storePort_}, {"POST", path, body.dump(), {}, {5000}, {}});
    if (answer.has_error()) {
        throw std::runtime_error(answer.error().text_);
    }
}

} // namespace ibiswall::system
