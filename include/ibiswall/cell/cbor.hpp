// Decodes CBOR from other processes and from the store.

#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace ibiswall::cell {

/// Decodes one CBOR value. Unlike nlohmann::json::from_cbor it bounds the depth of nested values, whose decoder calls itself for
/// each level.
/// @throw std::out_of_range if the bytes are malformed or nested too deeply
nlohmann::json parseCbor(std::string_view bytes);

} // namespace ibiswall::cell
