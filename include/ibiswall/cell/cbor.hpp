// Decodes CBOR from other processes and from the store.

#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace ibiswall::cell {

/// Decodes one CBOR value. Unlike nlohmann::json::from_cbor, whose decoder calls itself for each level and for each chunk of a string of
/// indefinite length, it needs a bounded stack. Such strings are rejected; to_cbor does not write them.
/// @throw std::out_of_range if the bytes are malformed, nested too deeply, or would take more than about 32 MB beside those of strings
nlohmann::json parseCbor(std::string_view bytes);

} // namespace ibiswall::cell
