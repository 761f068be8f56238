// Base64 encoding based on Boost.Beast.

#include <ibiswall/base/base64.hpp>

#include <boost/beast/core/detail/base64.hpp>

namespace ibiswall {

namespace base64 = boost::beast::detail::base64;

std::string toBase64(std::string_view bytes)
{
    std::string out(base64::encoded_size(bytes.size()), '\0');
    out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
    return out;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    constexpr std::size_t groupSize = 4;
    if (text.size() % groupSize != 0) {
        return std::nullopt;
    }
    std::string out(base64::decoded_size(text.size()), '\0');
    const auto [written, read] = base64::decode(out.data(), text.data(), text.size());
    const std::size_t padding = text.size() - std::min(text.size(), text.find_last_not_of('=') + 1);
    if (read + padding < text.size()) {
        return std::nullopt;
    }
    out.resize(written);
    return out;
}

} // namespace ibiswall
