// Polls the change log. Each poll proves how fresh the configuration is, which a waiting watch would not.

#include "platformloop.hpp"

#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view part = "entry.platform";
constexpr std::chrono::milliseconds pollInterval(400);
constexpr Millis writeGiveUp{5000};

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
    // A full read may have more behind it, and only the last one proves freshness.
    for (;;) {
        LogRead message;
        message.began_ = bootClock();
        auto changes = readChanges(store_, version_);
        const bool ok = changes.has_value();
        if (ok != reachable_) {
            reachable_ = ok;
            log(ok ? LogLevel::Info : LogLevel::Warning, part,
                ok ? "platform answers again" : "platform does not answer: " + changes.error().text_);
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
    WriteReply reply{request.caller_, request.change_, writeChange(store_, request.change_, writeGiveUp)};
    read();
    report_(std::move(reply));
}

} // namespace ibiswall
