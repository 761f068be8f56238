// Event loop that calls the target.

#pragma once

#include "messages.hpp"

#include <ibiswall/net.hpp>
#include <ibiswall/settings.hpp>

namespace ibiswall {

/// Sends tasks to the target by HTTP, on its own event loop.
class CallsLoop
{
public:
    /// @param report receives the result of each call
    CallsLoop(boost::asio::io_context &io, const AgentSettings &settings, std::function<void(CallResult)> report);

    /// Starts a call to the target; its result is reported exactly once.
    void start(StartCall &&call);

private:
    HttpPool pool_;
    Millis timeout_;
    std::function<void(CallResult)> report_;
};

} // namespace ibiswall
