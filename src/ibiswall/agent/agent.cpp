// Runs the loops of an agent, each on its own thread, and stops them in order.

#include <ibiswall/agent.hpp>

#include "callsloop.hpp"
#include "schedulerloop.hpp"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <ibiswall/codec.hpp>
#include <ibiswall/log.hpp>
#include <thread>

namespace ibiswall {

namespace {

constexpr std::string_view component = "agent";
constexpr std::chrono::milliseconds drainPollInterval(20);
// Leaves time to send the last reports before the links close.
constexpr std::chrono::milliseconds reportFlushDelay(200);
constexpr int httpOk = 200;

// The loops of one agent. The scheduler loop runs on the thread that calls run().
class AgentProcess
{
public:
    explicit AgentProcess(const AgentSettings &settings)
        : scheduler_(schedulerIo_, settings, [this](StartCall call) { toCalls_.push(std::move(call)); })
        , calls_(callsIo_, settings, [this](CallResult result) { toScheduler_.push(std::move(result)); })
        // At most one call per slot is in progress, so neither queue can become full.
        , toCalls_(callsIo_, static_cast<std::size_t>(settings.slots_) + 1, [this](StartCall &&call) { calls_.start(std::move(call)); })
        , toScheduler_(
              schedulerIo_,
              static_cast<std::size_t>(settings.slots_) + 1,
              [this](CallResult &&result) { scheduler_.handle(std::move(result)); },
              [this] { scheduler_.flush(); })
        , health_(
              schedulerIo_, HttpLimits{}, [this](const HttpRequest &request, const Respond &respond) { handleRequest(request, respond); })
        , signals_(schedulerIo_, SIGTERM, SIGINT)
        , timer_(schedulerIo_)
    {
    }

    Result<std::uint16_t> listen(const Address &address)
    {
        return health_.listen(address);
    }

    Exit run()
    {
        scheduler_.start();
        awaitSignal();
        std::thread callsThread([this] { callsIo_.run(); });
        schedulerIo_.run();
        callsIo_.stop();
        callsThread.join();
        log(LogLevel::Info, component, "stopped");
        return exitCode_;
    }

private:
    void handleRequest(const HttpRequest &request, const Respond &respond)
    {
        const bool isKnownPath = request.path_ == "/healthz" || request.path_ == "/metrics";
        if (isKnownPath && request.method_ != "GET" && request.method_ != "HEAD") {
            respond(jsonReply(httpStatus(Code::WrongMethod), formatError({Code::WrongMethod, request.method_ + ' ' + request.path_})));
            return;
        }
        if (request.path_ == "/healthz") {
            respond(jsonReply(httpOk, draining_ ? R"({"leaving":true})" : R"({"leaving":false})"));
            return;
        }
        if (request.path_ == "/metrics") {
            HttpReply reply;
            reply.contentType_ = "text/plain; version=0.0.4";
            reply.body_ = scheduler_.metrics();
            respond(std::move(reply));
            return;
        }
        respond(jsonReply(httpStatus(Code::UnknownPath), formatError({Code::UnknownPath, request.path_})));
    }

    void awaitSignal()
    {
        signals_.async_wait([this](boost::system::error_code error, int /*signal*/) {
            if (error) {
                return;
            }
            if (draining_) {
                log(LogLevel::Warning, component,
                    "second signal: abandoned " + std::to_string(scheduler_.running()) + " calls in progress");
                exitCode_ = Exit::Failed;
                schedulerIo_.stop();
                return;
            }
            draining_ = true;
            log(LogLevel::Info, component, "stopping: no new calls, running calls continue");
            scheduler_.drain();
            awaitSignal();
            awaitCalls();
        });
    }

    void awaitCalls()
    {
        const bool idle = scheduler_.running() == 0;
        timer_.expires_after(idle ? reportFlushDelay : drainPollInterval);
        timer_.async_wait([this, idle](boost::system::error_code error) {
            if (error) {
                return;
            }
            if (!idle) {
                awaitCalls();
                return;
            }
            scheduler_.stop();
            schedulerIo_.stop();
        });
    }

    boost::asio::io_context schedulerIo_{1};
    boost::asio::io_context callsIo_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> callsWork_{boost::asio::make_work_guard(callsIo_)};
    SchedulerLoop scheduler_;
    CallsLoop calls_;
    Channel<StartCall> toCalls_;
    Channel<CallResult> toScheduler_;
    HttpServer health_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    bool draining_ = false;
    Exit exitCode_ = Exit::Ok;
};

} // namespace

Exit runAgent(const AgentSettings &settings, const std::function<void(std::uint16_t)> &started)
{
    AgentProcess agent(settings);
    const auto port = agent.listen(settings.healthAddress_);
    if (port.has_error()) {
        log(LogLevel::Error, component, port.error().text_);
        return Exit::CannotListen;
    }
    started(port.value());
    return agent.run();
}

} // namespace ibiswall
