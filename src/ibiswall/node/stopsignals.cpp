// Stop signals of a process of a cell.

#include "stopsignals.hpp"

#include <csignal>
#include <ibiswall/log/eventlog.hpp>
#include <utility>

namespace ibiswall::node {

StopSignals::StopSignals(boost::asio::io_context &io, std::function<void()> beginStop)
    : io_(io)
    , signals_(io, SIGTERM, SIGINT)
    , beginStop_(std::move(beginStop))
{
}

void StopSignals::start()
{
    signals_.async_wait([this](boost::system::error_code error, int number) {
        if (!error) {
            onSignal(number);
            start();
        }
    });
}

void StopSignals::onSignal(int number)
{
    if (!stopping_) {
        stopping_ = true;
        beginStop_();
        return;
    }
    logEvent("process.signal_repeated", {{"signal", number}, {"aborting", number == SIGINT ? 1 : 0}});
    if (number == SIGINT) {
        io_.stop();
    }
}

} // namespace ibiswall::node
