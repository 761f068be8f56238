// Converts calls into HTTP requests, and the replies into task outcomes.

#include "callsloop.hpp"

namespace ibiswall {

namespace {

constexpr const char *runPath = "/run";
constexpr int httpOk = 200;
constexpr int httpFirstError = 300;

TaskOutcome toOutcome(PoolResult &&result)
{
    switch (result.code_) {
    case Code::Ok:
        break;
    case Code::ConnectRefused:
    case Code::NoLease:
        return {TaskState::NotRun, result.code_, {}};
    default:
        return {TaskState::MayHaveRun, result.code_, {}};
    }
    if (result.status_ >= httpOk && result.status_ < httpFirstError) {
        return {TaskState::Done, Code::Ok, std::move(result.body_)};
    }
    return {TaskState::Failed, Code::TargetFailed, std::move(result.body_)};
}

} // namespace

CallsLoop::CallsLoop(boost::asio::io_context &io, const AgentSettings &settings, std::function<void(CallResult)> report)
    : pool_(io, settings.targetAddress_, static_cast<std::size_t>(settings.slots_))
    , timeout_(settings.callTimeout_)
    , report_(std::move(report))
{
}

void CallsLoop::start(StartCall &&call)
{
    PoolCall request;
    request.path_ = runPath;
    request.headers_
        = {{"X-Ibiswall-Job", call.key_.job_}, {"X-Ibiswall-Task", std::to_string(call.key_.task_)}, {"X-Ibiswall-Kind", call.kind_}};
    request.body_ = std::move(call.payload_);
    request.startBy_ = call.startBy_;
    request.timeout_ = timeout_;
    pool_.call(std::move(request), [this, number = call.call_](PoolResult result) { report_({number, toOutcome(std::move(result))}); });
}

} // namespace ibiswall
