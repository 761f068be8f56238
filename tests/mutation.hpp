// Random changes to valid messages, for tests of parsers.

#pragma once

#include <random>
#include <string>

namespace ibiswall {

/// Changes a few bytes, removes some or repeats some.
inline std::string mutate(std::string bytes, std::minstd_rand &random)
{
    const auto below = [&random](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    for (std::size_t changes = 1 + below(4); changes > 0 && !bytes.empty(); --changes) {
        const std::size_t at = below(bytes.size());
        switch (below(4)) {
        case 0:
            bytes[at] = static_cast<char>(below(256));
            break;
        case 1:
            bytes[at] = static_cast<char>(static_cast<unsigned char>(bytes[at]) ^ (1U << below(8)));
            break;
        case 2:
            bytes.erase(at, 1 + below(4));
            break;
        default:
            bytes.insert(at, bytes.substr(below(bytes.size()), 1 + below(8)));
            break;
        }
    }
    return bytes;
}

} // namespace ibiswall
