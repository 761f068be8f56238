// Checks the types of JSON fields.

#include "fields.hpp"

#include <algorithm>

namespace ibiswall {

Result<nlohmann::json> parseObject(std::string_view text, std::string_view what, Code code)
{
    nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
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
