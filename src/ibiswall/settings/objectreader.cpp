// Validates single values and formats the problems.

#include "objectreader.hpp"

#include <algorithm>
#include <limits>
#include <sstream>

namespace ibiswall {

ObjectReader::ObjectReader(const nlohmann::json &object, std::string prefix, std::vector<std::string> &problems)
    : object_(object)
    , prefix_(std::move(prefix))
    , problems_(problems)
{
}

void ObjectReader::problem(const std::string &key, const std::string &reason)
{
    problems_.push_back(prefix_ + key + ": " + reason);
}

const nlohmann::json *ObjectReader::find(const char *key, bool required)
{
    readKeys_.insert(key);
    const auto found = object_.find(key);
    if (found != object_.end()) {
        return &*found;
    }
    if (required) {
        problem(key, "is missing");
    }
    return nullptr;
}

bool ObjectReader::checkArray(const char *key, const nlohmann::json &value)
{
    if (!value.is_array()) {
        problem(key, "an array is required");
        return false;
    }
    return true;
}

std::string ObjectReader::text(const char *key)
{
    const nlohmann::json *value = find(key, true);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        problem(key, "a string that is not empty is required");
        return {};
    }
    return value->get<std::string>();
}

std::string ObjectReader::name(const char *key)
{
    std::string value = text(key);
    if (!value.empty() && !isName(value)) {
        problem(key, "\"" + value + "\" is not a name: use 1 to 64 of a-z, 0-9 and '-'");
    }
    return value;
}

Address ObjectReader::readAddress(const std::string &key, const nlohmann::json &value)
{
    if (!value.is_string()) {
        problem(key, "a string IP:PORT is required");
        return {};
    }
    auto parsed = parseAddress(value.get_ref<const std::string &>());
    if (parsed.has_error()) {
        problem(key, parsed.error().text_);
        return {};
    }
    return std::move(parsed).value();
}

Address ObjectReader::address(const char *key)
{
    const nlohmann::json *value = find(key, true);
    return value == nullptr ? Address{} : readAddress(key, *value);
}

std::vector<Address> ObjectReader::addresses(const char *key)
{
    std::vector<Address> out;
    const nlohmann::json *array = find(key, true);
    if (array == nullptr || !checkArray(key, *array)) {
        return out;
    }
    if (array->empty()) {
        problem(key, "at least one address is required");
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        out.push_back(readAddress(std::string(key) + '[' + std::to_string(i) + ']', (*array)[i]));
    }
    return out;
}

std::int64_t ObjectReader::integer(const char *key, std::int64_t minValue, std::int64_t maxValue, std::int64_t fallback)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    constexpr std::uint64_t largest = std::numeric_limits<std::int64_t>::max();
    const bool overflows = value->is_number_unsigned() && value->get<std::uint64_t>() > largest;
    if (!value->is_number_integer() || overflows || value->get<std::int64_t>() < minValue || value->get<std::int64_t>() > maxValue) {
        problem(key, "a whole number from " + std::to_string(minValue) + " to " + std::to_string(maxValue) + " is required");
        return fallback;
    }
    return value->get<std::int64_t>();
}

double ObjectReader::realNumber(const char *key, double minValue, double maxValue, double fallback)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    // The negated comparison also rejects NaN.
    if (!value->is_number() || !(value->get<double>() >= minValue && value->get<double>() <= maxValue)) {
        std::ostringstream bounds;
        bounds << "a number from " << minValue << " to " << maxValue << " is required";
        problem(key, bounds.str());
        return fallback;
    }
    return value->get<double>();
}

bool ObjectReader::boolean(const char *key, bool fallback)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        problem(key, "true or false is required");
        return fallback;
    }
    return value->get<bool>();
}

std::int64_t ObjectReader::requiredInteger(const char *key, std::int64_t minValue, std::int64_t maxValue)
{
    find(key, true);
    return integer(key, minValue, maxValue, minValue);
}

std::string ObjectReader::choice(const char *key, std::initializer_list<const char *> choices, const char *fallback)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    const bool isChoice
        = value->is_string() && std::find(choices.begin(), choices.end(), value->get_ref<const std::string &>()) != choices.end();
    if (isChoice) {
        return value->get<std::string>();
    }
    std::string list;
    for (const char *each : choices) {
        list += (list.empty() ? "" : ", ") + std::string(each);
    }
    problem(key, "one of " + list + " is required");
    return fallback;
}

void ObjectReader::reportUnknownKeys()
{
    for (const auto &item : object_.items()) {
        if (readKeys_.count(item.key()) == 0) {
            problem(item.key(), "unknown key");
        }
    }
}

} // namespace ibiswall
