// IPv4 address and port of a server.

#pragma once

#include <cstdint>
#include <ibiswall/base/result.hpp>
#include <string>
#include <string_view>

namespace ibiswall {

/// An IPv4 address and a port.
struct Address
{
    std::string host_;
    std::uint16_t port_ = 0;
};

bool operator==(const Address &a, const Address &b);

/// Formats an address as `host:port`.
std::string format(const Address &address);

/// Parses `host:port`, where host is an IPv4 address in dotted notation.
/// @return BadSettings for any other text
Result<Address> parseAddress(std::string_view text);

} // namespace ibiswall
