// Joins the duties of an agent, each on its own thread, and stops them in order.

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

constexpr std::string_view part = "agent";
constexpr std::chrono::milliseconds runningCheck(20);
// Lets the last reports leave before the links close.
constexpr std::chrono::milliseconds reportLinger(200);
constexpr int httpOk = 200;

// The duties of one agent. The gate's duty runs on the thread that calls run().
class AgentProcess
{
public:
    explicit AgentProcess(const AgentSettings &settings)
        : gate_(gateLoop_, settings, [this](StartCall call) { toCalls_.push(std::move(call)); })
        , calls_(callsLoop_, settings, [this](CallEnd end) { toGate_.push(std::move(end)); })
        // At most one call for each slot is in progress, so neither ring can fill.
        , toCalls_(callsLoop_, static_cast<std::size_t>(settings.slots_) + 1, [this](StartCall &&call) { calls_.start(std::move(call)); })
        , toGate_(
              gateLoop_,
              static_cast<std::size_t>(settings.slots_) + 1,
              [this](CallEnd &&end) { gate_.take(std::move(end)); },
              [this] { gate_.flush(); })
        , health_(gateLoop_, HttpLimits{}, [this](const HttpRequest &request, const Respond &respond) { handle(request, respond); })
        , signals_(gateLoop_, SIGTERM, SIGINT)
        , timer_(gateLoop_)
    {
    }

    Result<std::uint16_t> listen(const Address &address)
    {
        return health_.listen(address);
    }

    Exit run()
    {
        gate_.start();
        awaitSignal();
        std::thread callsThread([this] { callsLoop_.run(); });
        gateLoop_.run();
        callsLoop_.stop();
        callsThread.join();
        log(LogLevel::Info, part, "stopped");
        return exitCode_;
    }

private:
    void handle(const HttpRequest &request, const Respond &respond)
    {
        const bool known = request.path_ == "/healthz" || request.path_ == "/metrics";
        if (known && request.method_ != "GET" && request.method_ != "HEAD") {
            respond(jsonReply(httpStatus(Code::WrongMethod), formatError({Code::WrongMethod, request.method_ + ' ' + request.path_})));
            return;
        }
        if (request.path_ == "/healthz") {
            respond(jsonReply(httpOk, leaving_ ? R"({"leaving":true})" : R"({"leaving":false})"));
            return;
        }
        if (request.path_ == "/metrics") {
            HttpReply reply;
            reply.contentType_ = "text/plain; version=0.0.4";
            reply.body_ = gate_.metrics();
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
            if (leaving_) {
                log(LogLevel::Warning, part, "second signal: abandoned " + std::to_string(gate_.running()) + " calls in progress");
                exitCode_ = Exit::Failed;
                gateLoop_.stop();
                return;
            }
            leaving_ = true;
            log(LogLevel::Info, part, "target leaves: calls in progress go on");
            gate_.leave();
            awaitSignal();
            awaitCalls();
        });
    }

    void awaitCalls()
    {
        const bool idle = gate_.running() == 0;
        timer_.expires_after(idle ? reportLinger : runningCheck);
        timer_.async_wait([this, idle](boost::system::error_code error) {
            if (error) {
                return;
            }
            if (!idle) {
                awaitCalls();
                return;
            }
            gate_.stop();
            gateLoop_.stop();
        });
    }

    boost::asio::io_context gateLoop_{1};
    boost::asio::io_context callsLoop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> callsWork_{boost::asio::make_work_guard(callsLoop_)};
    SchedulerLoop gate_;
    CallsLoop calls_;
    Channel<StartCall> toCalls_;
    Channel<CallEnd> toGate_;
    HttpServer health_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    bool leaving_ = false;
    Exit exitCode_ = Exit::Ok;
};

} // namespace

Exit runAgent(const AgentSettings &settings, const std::function<void(std::uint16_t)> &started)
{
    AgentProcess agent(settings);
    const auto port = agent.listen(settings.healthAddress_);
    if (port.has_error()) {
        log(LogLevel::Error, part, port.error().text_);
        return Exit::CannotListen;
    }
    started(port.value());
    return agent.run();
}

} // namespace ibiswall
