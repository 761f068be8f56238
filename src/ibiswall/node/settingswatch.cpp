// Watches the settings file by its modification time.

#include "settingswatch.hpp"

#include <csignal>
#include <ibiswall/log/eventlog.hpp>
#include <sys/stat.h>

namespace ibiswall::node {

namespace {

constexpr std::chrono::milliseconds pollInterval(1000);

std::int64_t modificationTime(const std::string &file)
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

SettingsWatch::SettingsWatch(boost::asio::io_context &io, std::string file, std::function<void(const Settings &)> onChange)
    : file_(std::move(file))
    , onChange_(std::move(onChange))
    , signals_(io, SIGHUP)
    , timer_(io)
    , modifiedAt_(modificationTime(file_))
{
}

void SettingsWatch::start()
{
    awaitSignal();
    checkFile();
}

void SettingsWatch::awaitSignal()
{
    signals_.async_wait([this](boost::system::error_code error, int) {
        if (!error) {
            modifiedAt_ = modificationTime(file_);
            reload("signal");
            awaitSignal();
        }
    });
}

void SettingsWatch::checkFile()
{
    const std::int64_t now = modificationTime(file_);
    if (now != 0 && now != modifiedAt_) {
        modifiedAt_ = now;
        reload("file");
    }
    timer_.expires_after(pollInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            checkFile();
        }
    });
}

void SettingsWatch::reload(const char *reason)
{
    const auto settings = loadSettings(file_);
    if (settings.has_error()) {
        logEvent("settings.refused", {{"reason", std::string_view(settings.error().text_)}});
        return;
    }
    logEvent("settings.read", {{"reason", std::string_view(reason)}});
    onChange_(settings.value());
}

} // namespace ibiswall::node
