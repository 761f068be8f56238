// Notices that the settings file has changed, by a signal or without one, and reads it again.

#pragma once

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <ibiswall/settings.hpp>

namespace ibiswall::node {

/// Reads the file again on SIGHUP and when its time of change differs. Settings with an error change nothing.
class SettingsWatch
{
public:
    /// @param changed called with settings that are good
    SettingsWatch(boost::asio::io_context &io, std::string file, std::function<void(const Settings &)> changed);

    void start();

private:
    void awaitSignal();
    void look();
    void read(const char *reason);

    std::string file_;
    std::function<void(const Settings &)> changed_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    std::int64_t changedAt_ = 0;
};

} // namespace ibiswall::node
