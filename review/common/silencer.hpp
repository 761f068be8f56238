// A TCP relay whose open connections can go silent for good, while new ones work.

#pragma once

#include <cstdint>
#include <memory>

namespace ibiswall::review {

/// Forwards connections to one server on loopback. Runs in its own thread.
class Silencer
{
public:
    /// Listens on a free port.
    explicit Silencer(std::uint16_t serverPort);
    ~Silencer();
    Silencer(const Silencer &) = delete;
    Silencer &operator=(const Silencer &) = delete;

    /// The port that clients connect to.
    std::uint16_t port() const;

    /// Forwards nothing any more on the connections that are open now, and doesn't close them either.
    void silenceOpen();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace ibiswall::review
