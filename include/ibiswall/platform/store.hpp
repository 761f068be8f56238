// Client of the platform's key-value store over the etcd v3 JSON gateway.

#pragma once

#include <ibiswall/net.hpp>
#include <string>
#include <vector>

namespace ibiswall {

/// A stored key and value.
struct KeyValue
{
    std::string key_;
    std::string value_;
};

/// Addresses and timeout of the key-value store.
struct Store
{
    /// Tried in order until a connection succeeds.
    std::vector<Address> addresses_;
    /// Limit of a call to one address.
    Millis timeout_{1000};
};

/// Reads the values of the key range [from, to) in key order.
/// @param limit maximum number of values to return
/// @return PlatformDown for any failure
Result<std::vector<KeyValue>> readRange(const Store &store, std::string_view from, std::string_view to, std::size_t limit);

/// Creates a key unless it exists.
/// @return whether it was created; after an error the key may or may not have been created
Result<bool> createValue(const Store &store, std::string_view key, std::string_view value);

} // namespace ibiswall
