// Base64 encoding, which the store APIs use for binary data in JSON.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ibiswall {

/// Encodes bytes as base64 with padding.
std::string toBase64(std::string_view bytes);

/// Decodes base64 with padding.
/// @return nothing if the text is malformed
std::optional<std::string> fromBase64(std::string_view text);

} // namespace ibiswall
