// Type-checked access to the fields of a JSON object; errors name the field.

#pragma once

#include <ibiswall/base.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall {

/// Parses text as one JSON object of limited depth.
/// @param what name of the document in errors
/// @param code code of the error
Result<nlohmann::json> parseObject(std::string_view text, std::string_view what, Code code);

/// Returns a required string.
Result<std::string> stringField(const nlohmann::json &object, const char *key, Code code);

/// Returns a required integer.
Result<std::int64_t> numberField(const nlohmann::json &object, const char *key, Code code);

/// Returns an error if the object has a key that is not listed.
Result<void> allowKeys(const nlohmann::json &object, std::initializer_list<const char *> keys, Code code);

} // namespace ibiswall
