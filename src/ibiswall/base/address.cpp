// Parses and formats addresses.

#include <ibiswall/base/address.hpp>

#include <arpa/inet.h>
#include <charconv>

namespace ibiswall {

namespace {

bool isIpv4Address(const std::string &host)
{
    in_addr out{};
    return inet_pton(AF_INET, host.c_str(), &out) == 1;
}

} // namespace

bool operator==(const Address &a, const Address &b)
{
    return a.port_ == b.port_ && a.host_ == b.host_;
}

std::string format(const Address &address)
{
    return address.host_ + ':' + std::to_string(address.port_);
}

Result<Address> parseAddress(std::string_view text)
{
    Error error{Code::BadSettings, "\"" + std::string(text) + "\" is not IP:PORT"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return error;
    }
    Address address{std::string(text.substr(0, colon)), 0};
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port_);
    if (!isIpv4Address(address.host_) || parsed.ec != std::errc() || parsed.ptr != end) {
        return error;
    }
    return address;
}

} // namespace ibiswall
