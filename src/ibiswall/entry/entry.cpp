// Runs the loops of an entry, each on its own thread, and stops them in order.

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

constexpr std::string_view component = "entry";
constexpr std::size_t smallQueueCapacity = 256;
constexpr std::chrono::milliseconds pollInterval(20);

using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

// An event loop that runs on its own thread.
struct EventLoopThread
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
    WorkGuard workGuard_{boost::asio::make_work_guard(io_)};
    std::thread thread_;
};

Store makeStore(const EntrySettings &settings)
{
    Store store;
    store.addresses_ = settings.platformAddresses_;
    return store;
}

// Raises the soft limit on file descriptors, as far as the hard limit allows, to fit the configured connections and links.
void raiseDescriptorLimit(const EntrySettings &settings)
{
    constexpr rlim_t spareDescriptors = 256;
    // Connections beyond max_connections stay open until the client has read the refusal.
    constexpr rlim_t descriptorsPerConnection = 2;
    const rlim_t needed
        = settings.maxConnections_ * descriptorsPerConnection + settings.maxLinks_ + settings.peers_.size() + spareDescriptors;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= needed) {
        return;
    }
    limit.rlim_cur = std::min(needed, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < needed) {
        log(LogLevel::Warning, component,
            "the limit on file descriptors is " + std::to_string(limit.rlim_cur) + ", max_connections and max_links need "
                + std::to_string(needed));
    }
}

// The loops of one entry. The callers loop runs on the thread that calls run().
class EntryProcess
{
public:
    explicit EntryProcess(const EntrySettings &settings)
        : settings_(settings)
        , queueCapacity_(settings.maxConnections_ * 2 + smallQueueCapacity)
        , callers_(callersIo_, settings, [this](DispatchMessage message) { return toDispatch_.push(std::move(message)); })
        , dispatch_(dispatchThread_.io_,
                    settings,
                    {[this](CallersMessage message) { toCallers_.push(std::move(message)); },
                     [this](WriteRequest request) {
                         return toPlatform_.push(std::move(request));
                     }})
        , platform_(platformThread_.io_, makeStore(settings), [this](const PlatformMessage &message) { forwardToDispatch(message); })
        , toDispatch_(dispatchThread_.io_, queueCapacity_, [this](DispatchMessage &&message) { dispatch_.handle(std::move(message)); })
        , toCallers_(callersIo_, queueCapacity_, [this](CallersMessage &&message) { handle(std::move(message)); })
        , toPlatform_(platformThread_.io_, smallQueueCapacity, [this](WriteRequest &&request) { platform_.write(request); })
        , fromPlatform_(
              dispatchThread_.io_, smallQueueCapacity, [this](PlatformMessage &&message) { dispatch_.handle(std::move(message)); })
        , signals_(callersIo_, SIGTERM, SIGINT)
        , timer_(callersIo_)
    {
    }

    Result<EntryPorts> listen()
    {
        EntryPorts ports;
        BOOST_OUTCOME_TRY(ports.callersPort_, callers_.listen(settings_.callersAddress_));
        BOOST_OUTCOME_TRY(ports.linksPort_, dispatch_.start(settings_.linksAddress_));
        return ports;
    }

    Exit run()
    {
        boost::asio::post(platformThread_.io_, [this] { platform_.start(); });
        dispatchThread_.start();
        platformThread_.start();
        awaitSignal();
        callersIo_.run();
        stopping_ = true;
        platformThread_.stop();
        dispatchThread_.stop();
        log(LogLevel::Info, component, "stopped");
        return exitCode_;
    }

private:
    // Waits while the queue is full: a dropped message would leave a gap in the change log.
    void forwardToDispatch(const PlatformMessage &message)
    {
        while (!fromPlatform_.push(message) && !stopping_) {
            std::this_thread::sleep_for(pollInterval);
        }
    }

    void awaitSignal()
    {
        signals_.async_wait([this](boost::system::error_code error, int /*signal*/) {
            if (error) {
                return;
            }
            if (draining_) {
                abortPending();
                return;
            }
            beginDrain();
            awaitSignal();
        });
    }

    void abortPending()
    {
        log(LogLevel::Warning, component, "second signal: abandoned " + std::to_string(callers_.pending()) + " requests in flight");
        exitCode_ = Exit::Failed;
        callersIo_.stop();
    }

    void beginDrain()
    {
        draining_ = true;
        log(LogLevel::Info, component, "stopping: health check fails, open jobs continue");
        callers_.markStopping();
        timer_.expires_after(std::chrono::milliseconds(settings_.drainDelay_.count_));
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                drain();
            }
        });
    }

    // Makes the dispatch loop refuse new jobs. Retries while its queue is full.
    void drain()
    {
        callers_.closeIdle();
        if (toDispatch_.push(DrainRequest{})) {
            return;
        }
        timer_.expires_after(pollInterval);
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                drain();
            }
        });
    }

    void handle(CallersMessage &&message)
    {
        if (auto *reply = std::get_if<CallerReply>(&message)) {
            callers_.reply(std::move(*reply));
            return;
        }
        if (std::holds_alternative<CaughtUp>(message)) {
            callers_.markCaughtUp();
            return;
        }
        callers_.stopAccepting();
        awaitReplies();
    }

    // Stops the callers loop once every reply is sent.
    void awaitReplies()
    {
        timer_.expires_after(pollInterval);
        timer_.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            if (callers_.pending() > 0) {
                awaitReplies();
                return;
            }
            callersIo_.stop();
        });
    }

    EntrySettings settings_;
    std::size_t queueCapacity_;
    boost::asio::io_context callersIo_{1};
    EventLoopThread dispatchThread_;
    EventLoopThread platformThread_;
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
    /// Set when the loops stop, so that forwardToDispatch() no longer waits for a full queue.
    std::atomic<bool> stopping_{false};
    Exit exitCode_ = Exit::Ok;
};

} // namespace

Exit runEntry(const EntrySettings &settings, const std::function<void(EntryPorts)> &started)
{
    raiseDescriptorLimit(settings);
    EntryProcess entry(settings);
    const auto ports = entry.listen();
    if (ports.has_error()) {
        log(LogLevel::Error, component, ports.error().text_);
        return Exit::CannotListen;
    }
    started(ports.value());
    return entry.run();
}

} // namespace ibiswall
