// Base64, as the JSON gateway writes keys and values.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ibiswall {

/// Encodes bytes.
std::string toBase64(std::string_view bytes);

/// Decodes text.
/// @return nothing when the text is malformed
std::optional<std::string> fromBase64(std::string_view text);

} // namespace ibiswall
