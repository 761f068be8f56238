// Watches a file by its time of change.

#include "settingswatch.hpp"

#include <csignal>
#include <ibiswall/log/eventlog.hpp>
#include <sys/stat.h>

namespace ibiswall::node {

namespace {

constexpr std::chrono::milliseconds period(1000);

std::int64_t changeTime(const std::string &file)
{
    constexpr std::int64_t nanosPerSecond = 1000000000;
    struct stat status
    {
    };
    if (::stat(file.c_str(), &status) != 0) {
        return 0;
    }
    return status.st_mtim.tv_sec * nanosPerSecond + status.st_mtim.tv_nsec;
}

} // namespace

SettingsWatch::SettingsWatch(boost::asio::io_context &io, std::string file, std::function<void(const Settings &)> changed)
    : file_(std::move(file))
    , changed_(std::move(changed))
    , signals_(io, SIGHUP)
    , timer_(io)
    , changedAt_(changeTime(file_))
{
}

void SettingsWatch::start()
{
    awaitSignal();
    look();
}

void SettingsWatch::awaitSignal()
{
    signals_.async_wait([this](boost::system::error_code error, int) {
        if (!error) {
            changedAt_ = changeTime(file_);
            read("signal");
            awaitSignal();
        }
    });
}

void SettingsWatch::look()
{
    const std::int64_t now = changeTime(file_);
    if (now != 0 && now != changedAt_) {
        changedAt_ = now;
        read("file");
    }
    timer_.expires_after(period);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            look();
        }
    });
}

void SettingsWatch::read(const char *reason)
{
    const auto settings = loadSettings(file_);
    if (settings.has_error()) {
        logEvent("settings.refused", {{"reason", std::string_view(settings.error().text_)}});
        return;
    }
    logEvent("settings.read", {{"reason", std::string_view(reason)}});
    changed_(settings.value());
}

} // namespace ibiswall::node
