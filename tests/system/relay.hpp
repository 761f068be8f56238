// A TCP relay between two processes under test, by which their link can be frozen or cut.

#pragma once

#include <cstdint>
#include <memory>

namespace ibiswall::system {

/// A direction through a relay.
enum class Way {
    ToServer,
    ToClient,
};

/// Passes connections on to one server on loopback, on its own thread.
class Relay
{
public:
    /// Starts to listen on a free port.
    explicit Relay(std::uint16_t serverPort);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Where clients connect.
    std::uint16_t port() const;

    /// Holds back the bytes of one direction, as a network does that loses every packet.
    void freeze(Way way);

    /// Lets the bytes of both directions flow again.
    void thaw();

    /// Closes every connection, and each new one at once.
    void cut();

    /// Ends a cut.
    void mend();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace ibiswall::system
