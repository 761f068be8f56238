// Joins the duties of an entry, each on its own thread, and stops them in order.

#include <ibiswall/entry.hpp>

#include "callersloop.hpp"
#include "dispatchloop.hpp"
#include "platformloop.hpp"
#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <ibiswall/log.hpp>
#include <sys/resource.h>
#include <thread>

namespace ibiswall {

namespace {

constexpr std::string_view part = "entry";
constexpr std::size_t smallRing = 256;
constexpr std::chrono::milliseconds pendingCheck(20);

using Work = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

// An event loop on a thread of its own.
struct Loop
{
    void start()
    {
        thread_ = std::thread([this] { io_.run(); });
    }

    void stop()
    {
        io_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    boost::asio::io_context io_{1};
    Work work_{boost::asio::make_work_guard(io_)};
    std::thread thread_;
};

Store makeStore(const EntrySettings &settings)
{
    Store store;
    store.addresses_ = settings.platformAddresses_;
    return store;
}

// Raises the limit on descriptors, as far as the system allows, to what the limits on peers need.
void raiseDescriptorLimit(const EntrySettings &settings)
{
    constexpr rlim_t spare = 256;
    // Connections past the limit are held while their refusal is read.
    constexpr rlim_t connectionShare = 2;
    const rlim_t needed = settings.maxConnections_ * connectionShare + settings.maxLinks_ + settings.peers_.size() + spare;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= needed) {
        return;
    }
    limit.rlim_cur = std::min(needed, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < needed) {
        log(LogLevel::Warning, part,
            "the limit on descriptors is " + std::to_string(limit.rlim_cur) + ", max_connections and max_links need "
                + std::to_string(needed));
    }
}

// The duties of one entry. The callers' duty runs on the thread that calls run().
class Entry
{
public:
    explicit Entry(const EntrySettings &settings)
        : settings_(settings)
        , ringSize_(settings.maxConnections_ * 2 + smallRing)
        , callers_(callersLoop_, settings, [this](DispatchMessage message) { return toDispatch_.push(std::move(message)); })
        , dispatch_(dispatchLoop_.io_,
                    settings,
                    {[this](CallersMessage message) { toCallers_.push(std::move(message)); },
                     [this](WriteRequest request) {
                         return toPlatform_.push(std::move(request));
                     }})
        , platform_(platformLoop_.io_, makeStore(settings), [this](const PlatformMessage &message) { send(message); })
        , toDispatch_(dispatchLoop_.io_, ringSize_, [this](DispatchMessage &&message) { dispatch_.take(std::move(message)); })
        , toCallers_(callersLoop_, ringSize_, [this](CallersMessage &&message) { take(std::move(message)); })
        , toPlatform_(platformLoop_.io_, smallRing, [this](WriteRequest &&request) { platform_.write(request); })
        , fromPlatform_(dispatchLoop_.io_, smallRing, [this](PlatformMessage &&message) { dispatch_.take(std::move(message)); })
        , signals_(callersLoop_, SIGTERM, SIGINT)
        , timer_(callersLoop_)
    {
    }

    Result<EntryPorts> listen()
    {
        EntryPorts ports;
        BOOST_OUTCOME_TRY(ports.callers_, callers_.listen(settings_.callersAddress_));
        BOOST_OUTCOME_TRY(ports.links_, dispatch_.start(settings_.linksAddress_));
        return ports;
    }

    Exit run()
    {
        boost::asio::post(platformLoop_.io_, [this] { platform_.start(); });
        dispatchLoop_.start();
        platformLoop_.start();
        awaitSignal();
        callersLoop_.run();
        stopping_ = true;
        platformLoop_.stop();
        dispatchLoop_.stop();
        log(LogLevel::Info, part, "stopped");
        return exitCode_;
    }

private:
    // The ring to the dispatch duty is never left short: the platform's news must arrive in order.
    void send(const PlatformMessage &message)
    {
        while (!fromPlatform_.push(message) && !stopping_) {
            std::this_thread::sleep_for(pendingCheck);
        }
    }

    void awaitSignal()
    {
        signals_.async_wait([this](boost::system::error_code error, int /*signal*/) {
            if (error) {
                return;
            }
            if (draining_) {
                abandon();
                return;
            }
            beginDrain();
            awaitSignal();
        });
    }

    void abandon()
    {
        log(LogLevel::Warning, part, "second signal: abandoned " + std::to_string(callers_.pending()) + " requests in flight");
        exitCode_ = Exit::Failed;
        callersLoop_.stop();
    }

    void beginDrain()
    {
        draining_ = true;
        log(LogLevel::Info, part, "stop begins: unhealthy, jobs in flight go on");
        callers_.turnUnhealthy();
        timer_.expires_after(std::chrono::milliseconds(settings_.drainDelay_.count_));
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                drain();
            }
        });
    }

    // Refuses new jobs. Tries again while the ring is full.
    void drain()
    {
        callers_.closeIdle();
        if (toDispatch_.push(DrainRequest{})) {
            return;
        }
        timer_.expires_after(pendingCheck);
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                drain();
            }
        });
    }

    void take(CallersMessage &&message)
    {
        if (auto *reply = std::get_if<CallerReply>(&message)) {
            callers_.reply(std::move(*reply));
            return;
        }
        callers_.stopAccepting();
        awaitReplies();
    }

    // Waits until the last reply has left.
    void awaitReplies()
    {
        timer_.expires_after(pendingCheck);
        timer_.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            if (callers_.pending() > 0) {
                awaitReplies();
                return;
            }
            callersLoop_.stop();
        });
    }

    EntrySettings settings_;
    std::size_t ringSize_;
    boost::asio::io_context callersLoop_{1};
    Loop dispatchLoop_;
    Loop platformLoop_;
    CallersLoop callers_;
    DispatchLoop dispatch_;
    PlatformLoop platform_;
    Channel<DispatchMessage> toDispatch_;
    Channel<CallersMessage> toCallers_;
    Channel<WriteRequest> toPlatform_;
    Channel<PlatformMessage> fromPlatform_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    bool draining_ = false;
    /// Set when the loops stop, so that no sender waits for a full ring.
    std::atomic<bool> stopping_{false};
    Exit exitCode_ = Exit::Ok;
};

} // namespace

Exit runEntry(const EntrySettings &settings, const std::function<void(EntryPorts)> &started)
{
    raiseDescriptorLimit(settings);
    Entry entry(settings);
    const auto ports = entry.listen();
    if (ports.has_error()) {
        log(LogLevel::Error, part, ports.error().text_);
        return Exit::CannotListen;
    }
    started(ports.value());
    return entry.run();
}

} // namespace ibiswall
