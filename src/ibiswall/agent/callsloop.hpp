// The duty that calls the target.

#pragma once

#include "messages.hpp"

#include <ibiswall/net.hpp>
#include <ibiswall/settings.hpp>

namespace ibiswall {

/// Sends tasks to the target by HTTP, on its own event loop.
class CallsLoop
{
public:
    CallsLoop(boost::asio::io_context &io, const AgentSettings &settings, std::function<void(CallEnd)> report);

    /// Calls the target; the end is reported once.
    void start(StartCall &&call);

private:
    HttpPool pool_;
    Millis timeout_;
    std::function<void(CallEnd)> report_;
};

} // namespace ibiswall
