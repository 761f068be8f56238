// Runs the event loop of a process.

#include "eventloop.hpp"

#include "metrics.hpp"
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

void runEventLoop(boost::asio::io_context &io)
{
    for (;;) {
        try {
            io.run();
            return;
        } catch (const std::exception &error) {
            reportHandlerFailure(error.what());
        }
    }
}

void reportHandlerFailure(std::string_view reason)
{
    count("ibiswall_handler_failures_total");
    logEvent("handler.failed", {{"reason", reason}});
}

} // namespace ibiswall::node
