// Typed access to the fields of a JSON object, with errors that name the field.

#pragma once

#include <ibiswall/base.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall {

/// Reads text as one JSON object.
/// @param what names the text in errors
Result<nlohmann::json> parseObject(std::string_view text, std::string_view what, Code code);

/// Reads a required string.
Result<std::string> stringField(const nlohmann::json &object, const char *key, Code code);

/// Reads a required whole number.
Result<std::int64_t> numberField(const nlohmann::json &object, const char *key, Code code);

/// Refuses any key that is not in a list.
Result<void> allowKeys(const nlohmann::json &object, std::initializer_list<const char *> keys, Code code);

} // namespace ibiswall
