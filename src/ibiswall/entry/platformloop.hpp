// The duty that talks to the platform: follows the change log and writes confirmed changes.

#pragma once

#include "messages.hpp"

#include <boost/asio/steady_timer.hpp>

namespace ibiswall {

/// Runs on its own event loop; calls to the platform block that loop only.
class PlatformLoop
{
public:
    /// @param report receives everything read and written, in order
    PlatformLoop(boost::asio::io_context &io, Store store, std::function<void(PlatformMessage)> report);

    /// Starts to follow the change log.
    void start();

    /// Writes a change, and reports the outcome after every change up to it.
    void write(const WriteRequest &request);

private:
    void poll();
    void read();

    Store store_;
    std::function<void(PlatformMessage)> report_;
    boost::asio::steady_timer timer_;
    /// Version of the last change reported.
    std::uint64_t version_ = 0;
    /// Whether the last read succeeded, to log changes of that only.
    bool reachable_ = true;
};

} // namespace ibiswall
