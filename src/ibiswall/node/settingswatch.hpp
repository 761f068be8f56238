// Reloads the settings file on a signal or when the file has changed.

#pragma once

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <ibiswall/settings.hpp>

namespace ibiswall::node {

/// Reloads the file on SIGHUP and when its modification time has changed. Invalid settings are logged and ignored.
class SettingsWatch
{
public:
    /// @param onChange called with valid settings
    SettingsWatch(boost::asio::io_context &io, std::string file, std::function<void(const Settings &)> onChange);

    void start();

private:
    void awaitSignal();
    void checkFile();
    void reload(const char *reason);

    std::string file_;
    std::function<void(const Settings &)> onChange_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    std::int64_t modifiedAt_ = 0;
};

} // namespace ibiswall::node
