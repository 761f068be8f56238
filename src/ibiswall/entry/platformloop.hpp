// Event loop that accesses the platform: follows the change log and writes confirmed changes.

#pragma once

#include "messages.hpp"

#include <boost/asio/steady_timer.hpp>

namespace ibiswall {

/// Runs on its own event loop, since calls to the platform block it.
class PlatformLoop
{
public:
    /// @param report receives the result of every read and write, in order
    PlatformLoop(boost::asio::io_context &io, Store store, std::function<void(PlatformMessage)> report);

    /// Starts to follow the change log.
    void start();

    /// Writes a change. Reports the outcome after the changes that precede it in the log.
    void write(const WriteRequest &request);

private:
    void poll();
    void read();

    Store store_;
    std::function<void(PlatformMessage)> report_;
    boost::asio::steady_timer timer_;
    /// Version of the last reported change.
    std::uint64_t version_ = 0;
    /// Whether the last read succeeded; only a transition is logged.
    bool reachable_ = true;
};

} // namespace ibiswall
