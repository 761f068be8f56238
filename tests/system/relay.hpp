// A TCP relay between two processes under test that simulates network faults.

#pragma once

#include <cstdint>
#include <memory>

namespace ibiswall::system {

/// A direction through a relay.
enum class Direction {
    ToServer,
    ToClient,
};

/// Forwards connections to one server on loopback. Runs in its own thread.
class Relay
{
public:
    /// Listens on a free port.
    explicit Relay(std::uint16_t serverPort);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// The port that clients connect to.
    std::uint16_t port() const;

    /// Delays all bytes of one direction until unfreeze(), as a network that drops every packet.
    void freeze(Direction direction);

    /// Resumes both directions.
    void unfreeze();

    /// Closes all connections, and every new one immediately.
    void disconnect();

    /// Accepts connections again after disconnect().
    void allowConnections();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace ibiswall::system
