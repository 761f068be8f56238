// A peer that sends whatever bytes a test wants.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibiswall::system {

/// What a raw peer does after it has sent its bytes.
enum class RawEnd {
    /// Waits for the other side to close.
    Listen,
    /// Closes its own sending side first.
    HalfClose,
};

/// Sends bytes to a port of 127.0.0.1 and reads until the other side closes.
/// @return what was received; throws when the other side never closes
std::string exchangeRaw(std::uint16_t port, std::string_view bytes, RawEnd end = RawEnd::Listen);

/// Opens a link, sends one frame unless it is empty, and reads until the other side closes.
/// Throws when the other side never closes.
void sendFrame(std::uint16_t port, std::string_view frame);

} // namespace ibiswall::system
