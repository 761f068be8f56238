// Where a process listens.

#pragma once

#include <cstdint>
#include <ibiswall/base/result.hpp>
#include <string>
#include <string_view>

namespace ibiswall {

/// An IP number and a port.
struct Address
{
    std::string host_;
    std::uint16_t port_ = 0;
};

bool operator==(const Address &a, const Address &b);

/// Writes an address as `host:port`.
std::string format(const Address &address);

/// Reads `host:port`, where host is an IP number.
Result<Address> parseAddress(std::string_view text);

} // namespace ibiswall
