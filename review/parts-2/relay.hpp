// A proxy between two processes that can withhold all bytes, as a network that drops every packet.

#pragma once

#include <atomic>
#include <cstdint>

namespace review {

class Relay
{
public:
    /// Forwards connections to a port of this machine from now on.
    explicit Relay(std::uint16_t target);

    std::uint16_t port() const;

    /// While cut, no bytes pass in either direction, and no end of a connection is passed on.
    void cut(bool cut);

private:
    void serve(int listener);
    void forward(int from, int to) const;

    std::uint16_t target_;
    std::uint16_t port_ = 0;
    std::atomic<bool> cut_{false};
};

} // namespace review
