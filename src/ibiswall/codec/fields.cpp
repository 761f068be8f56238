// Parses JSON objects and checks the types of their fields.

#include "fields.hpp"

#include <algorithm>
#include <limits>

namespace ibiswall {

namespace {

// At least twice the depth of every document of this project.
constexpr int maxDepth = 16;

// Stops as soon as the nesting is too deep, so that a run of opening brackets cannot exhaust memory.
nlohmann::json parseWithDepthLimit(std::string_view text)
{
    struct TooDeep
    {
    };
    const auto check = [](int depth, nlohmann::json::parse_event_t /*event*/, nlohmann::json & /*value*/) {
        if (depth > maxDepth) {
            throw TooDeep();
        }
        return true;
    };
    try {
        return nlohmann::json::parse(text, check, false);
    } catch (const TooDeep &) {
        return nlohmann::json::value_t::discarded;
    }
}

} // namespace

Result<nlohmann::json> parseObject(std::string_view text, std::string_view what, Code code)
{
    nlohmann::json parsed = parseWithDepthLimit(text);
    if (parsed.is_discarded() || !parsed.is_object()) {
        return Error{code, std::string(what) + ": not a JSON object"};
    }
    return parsed;
}

Result<std::string> stringField(const nlohmann::json &object, const char *key, Code code)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return Error{code, std::string(key) + ": a string is required"};
    }
    return found->get<std::string>();
}

Result<std::int64_t> numberField(const nlohmann::json &object, const char *key, Code code)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_integer()) {
        return Error{code, std::string(key) + ": a whole number is required"};
    }
    constexpr std::uint64_t maximum = std::numeric_limits<std::int64_t>::max();
    if (found->is_number_unsigned() && found->get<std::uint64_t>() > maximum) {
        return Error{code, std::string(key) + ": the number is too large"};
    }
    return found->get<std::int64_t>();
}

Result<void> allowKeys(const nlohmann::json &object, std::initializer_list<const char *> keys, Code code)
{
    for (const auto &item : object.items()) {
        if (std::find(keys.begin(), keys.end(), item.key()) == keys.end()) {
            return Error{code, item.key() + ": unknown key"};
        }
    }
    return boost::outcome_v2::success();
}

} // namespace ibiswall
