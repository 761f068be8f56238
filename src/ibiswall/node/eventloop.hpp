// Runs the event loop of a process.

#pragma once

#include <boost/asio/io_context.hpp>
#include <string_view>

namespace ibiswall::node {

/// Runs handlers until the event loop is stopped or has no work left. An exception ends the handler that threw it, not the
/// process: it is logged and counted, and the loop continues.
void runEventLoop(boost::asio::io_context &io);

/// Logs and counts an exception that ended a handler.
void reportHandlerFailure(std::string_view reason);

} // namespace ibiswall::node
