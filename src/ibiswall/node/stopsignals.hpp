// Stop signals of a process of a cell.

#pragma once

#include <boost/asio/signal_set.hpp>
#include <functional>

namespace ibiswall::node {

/// Begins a graceful stop at the first SIGTERM or SIGINT. Further SIGTERMs change nothing, since a supervisor that stops
/// several processes may send more than one; SIGINT during a stop ends the event loop at once.
class StopSignals
{
public:
    StopSignals(boost::asio::io_context &io, std::function<void()> beginStop);

    void start();

private:
    void onSignal(int number);

    boost::asio::io_context &io_;
    boost::asio::signal_set signals_;
    std::function<void()> beginStop_;
    bool stopping_ = false;
};

} // namespace ibiswall::node
