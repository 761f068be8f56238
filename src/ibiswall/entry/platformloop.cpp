// Polls the change log. Each poll confirms that the configuration is current, which an idle watch would not.

#include "platformloop.hpp"

#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view component = "entry.platform";
constexpr std::chrono::milliseconds pollInterval(400);
constexpr Millis writeTimeout{5000};

} // namespace

PlatformLoop::PlatformLoop(boost::asio::io_context &io, Store store, std::function<void(PlatformMessage)> report)
    : store_(std::move(store))
    , report_(std::move(report))
    , timer_(io)
{
}

void PlatformLoop::start()
{
    poll();
}

void PlatformLoop::poll()
{
    read();
    timer_.expires_after(pollInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            poll();
        }
    });
}

void PlatformLoop::read()
{
    // More changes may follow a full read, so only a partial one confirms that the configuration is current.
    for (;;) {
        ChangeLogRead message;
        message.startedAt_ = bootClock();
        auto changes = readChanges(store_, version_);
        const bool ok = changes.has_value();
        if (ok != reachable_) {
            reachable_ = ok;
            log(ok ? LogLevel::Info : LogLevel::Warning, component,
                ok ? "platform responds again" : "platform does not respond: " + changes.error().text_);
        }
        if (ok) {
            message.changes_ = std::move(changes).value();
        }
        const bool full = message.changes_.size() == changesPerRead;
        message.ok_ = ok;
        message.complete_ = ok && !full;
        version_ += message.changes_.size();
        report_(std::move(message));
        if (!full) {
            return;
        }
    }
}

void PlatformLoop::write(const WriteRequest &request)
{
    WriteReply reply{request.caller_, request.change_, writeChange(store_, request.change_, writeTimeout)};
    read();
    report_(std::move(reply));
}

} // namespace ibiswall
