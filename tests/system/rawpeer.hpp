// Peers that send arbitrary bytes, to test the handling of invalid input.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibiswall::system {

/// State of the connection after a raw peer has sent its bytes.
enum class AfterSend {
    /// Stays open in both directions.
    KeepOpen,
    /// The sending direction is shut down.
    HalfClose,
};

/// Sends bytes to a port of 127.0.0.1 and reads until the peer closes the connection.
/// Throws std::runtime_error if the peer does not close it within 30 seconds.
/// @return the bytes received
std::string exchangeRaw(std::uint16_t port, std::string_view bytes, AfterSend afterSend = AfterSend::KeepOpen);

/// Opens a link, sends one frame unless it is empty, and reads until the peer closes the link.
/// Throws std::runtime_error if the peer does not close it within 30 seconds.
void sendFrame(std::uint16_t port, std::string_view frame);

} // namespace ibiswall::system
