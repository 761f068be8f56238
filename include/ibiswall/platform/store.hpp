// The few calls that the system makes on the platform's key-value service, over the etcd v3 JSON gateway.

#pragma once

#include <ibiswall/net.hpp>
#include <string>
#include <vector>

namespace ibiswall {

/// One stored value.
struct KeyValue
{
    std::string key_;
    std::string value_;
};

/// Where the service is, and how long a call may take.
struct Store
{
    /// Tried in order until one answers.
    std::vector<Address> addresses_;
    Millis timeout_{1000};
};

/// Reads the values with keys from one key up to, and without, another, in key order.
/// @param limit most values to return
Result<std::vector<KeyValue>> readRange(const Store &store, std::string_view from, std::string_view to, std::size_t limit);

/// Creates a value unless its key exists.
/// @return whether it was created; an error leaves open whether it was
Result<bool> createValue(const Store &store, std::string_view key, std::string_view value);

} // namespace ibiswall
