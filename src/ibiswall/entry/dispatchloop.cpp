// Passes requests, frames and timer ticks to the dispatcher and executes the actions it returns.

#include "dispatchloop.hpp"

#include "views.hpp"
#include <algorithm>
#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view component = "entry.dispatch";
constexpr std::chrono::milliseconds tickInterval(50);
constexpr CallerRef relayedCallerFlag = CallerRef{1} << 63U;
constexpr int httpOk = 200;

Now readClocks()
{
    return {bootClock(), wallClock()};
}

Incarnation makeSelf(const EntrySettings &settings)
{
    return {settings.name_, makeIncarnationNumber(wallClock(), std::random_device{}())};
}

LinkLimits makeLinkLimits(const EntrySettings &settings)
{
    LinkLimits limits;
    limits.maxFrameBytes_ = settings.maxFrame_;
    constexpr std::size_t minBuffers = 64U << 20U;
    constexpr std::size_t largestFrames = 4;
    limits.buffers_ = std::make_shared<Budget>(std::max(minBuffers, largestFrames * settings.maxFrame_));
    // Together not more than the descriptors that are counted for links.
    constexpr std::size_t unidentifiedShare = 4;
    limits.maxUnidentified_ = std::clamp<std::size_t>(settings.maxLinks_ / unidentifiedShare, 1, limits.maxUnidentified_);
    limits.maxLinks_ = std::max<std::size_t>(settings.maxLinks_ - limits.maxUnidentified_, 1);
    limits.identificationTimeout_ = settings.helloTimeout_;
    return limits;
}

} // namespace

DispatchLoop::DispatchLoop(boost::asio::io_context &io, const EntrySettings &settings, DispatchLoopHooks hooks)
    : hooks_(std::move(hooks))
    , links_(io,
             makeLinkLimits(settings),
             LinkEvents{[](LinkId /*link*/) {}, [this](LinkId link) { onLinkClosed(link); },
                        [this](LinkId link, std::string_view frame) { receive(link, frame); },
                        [this](std::string_view reason) {
                            recordRefusedLink(reason);
                        }})
    , peers_(io,
             makeSelf(settings),
             settings.peers_,
             {[this](CallerRef caller, HttpReply answer) { reply(caller, std::move(answer)); },
              [this](const std::string &peer, const PeerStatus &status) { onPeerStatus(peer, status); },
              [this](const PeerChanges &changes) {
                  applyChanges(changes.changes_);
              }})
    , timer_(io)
    , nextRelayedCaller_(relayedCallerFlag)
{
    dispatcher_.self_ = peers_.self();
    dispatcher_.limits_ = settings.limits_;
    dispatcher_.random_.seed(std::random_device{}());
    configQuorum_.entries_ = peers_.size() + 1;
    configQuorum_.startedAt_ = bootClock();
}

Result<std::uint16_t> DispatchLoop::start(const Address &address)
{
    BOOST_OUTCOME_TRY(const auto port, links_.listen(address));
    peers_.start();
    scheduleTick();
    return port;
}

void DispatchLoop::stop()
{
    timer_.cancel();
    peers_.stop();
    links_.stop();
}

// Logs at most one line per second, so that many refused links do not flood the log.
void DispatchLoop::recordRefusedLink(std::string_view reason)
{
    constexpr Millis minInterval{1000};
    ++refusedLinkCount_;
    const Millis now = bootClock();
    if (now - lastRefusalLogAt_ < minInterval) {
        return;
    }
    lastRefusalLogAt_ = now;
    log(LogLevel::Warning, component,
        "link refused: " + std::string(reason) + ", " + std::to_string(refusedLinkCount_) + " refused so far");
}

void DispatchLoop::onLinkClosed(LinkId link)
{
    entryLinks_.erase(link);
    DispatchActions actions;
    loseAgent(dispatcher_, readClocks(), link, actions);
    execute(actions);
}

void DispatchLoop::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        DispatchActions actions;
        tick(dispatcher_, readClocks(), actions);
        execute(actions);
        const Millis now = bootClock();
        queryPeers(now);
        resolveConfirmations(now);
        reportDrained();
        reportCaughtUp();
        scheduleTick();
    });
}

void DispatchLoop::reportDrained()
{
    if (dispatcher_.draining_ && dispatcher_.openJobs_ == 0 && !drainReported_) {
        drainReported_ = true;
        hooks_.sendToCallers_(Drained{});
    }
}

void DispatchLoop::reportCaughtUp()
{
    if (configQuorum_.caughtUp_ && !caughtUpReported_) {
        caughtUpReported_ = true;
        hooks_.sendToCallers_(CaughtUp{});
    }
}

void DispatchLoop::handle(DispatchMessage &&message)
{
    std::visit([this](auto &&request) { onMessage(std::forward<decltype(request)>(request)); }, std::move(message));
}

void DispatchLoop::handle(PlatformMessage &&message)
{
    std::visit([this](auto &&payload) { onMessage(std::forward<decltype(payload)>(payload)); }, std::move(message));
}

void DispatchLoop::onMessage(SubmitRequest &&request)
{
    const Incarnation owner = request.submission_.id_.owner_;
    if (owner.name_ != dispatcher_.self_.name_) {
        peers_.relay(request.caller_, owner,
                     {0, RelayOp::Submit, format(request.submission_.id_), request.submission_.member_, std::move(request.body_)});
        return;
    }
    if (!configQuorum_.caughtUp_) {
        replyError(request.caller_, {Code::NotReady, "configuration has not been read yet"});
        return;
    }
    DispatchActions actions;
    submit(dispatcher_, readClocks(), std::move(request.submission_), request.caller_, actions);
    execute(actions);
}

void DispatchLoop::onMessage(const JobRequest &request)
{
    if (request.id_.owner_.name_ != dispatcher_.self_.name_) {
        peers_.relay(request.caller_, request.id_.owner_, {0, request.op_, format(request.id_), request.member_, {}});
        return;
    }
    const std::string id = format(request.id_);
    DispatchActions actions;
    if (request.op_ == RelayOp::Cancel) {
        cancel(dispatcher_, id, request.member_, actions);
    }
    fetch(dispatcher_, id, request.member_, request.caller_, actions);
    execute(actions);
}

void DispatchLoop::onMessage(const IdsRequest &request)
{
    std::vector<JobId> ids;
    ids.reserve(request.count_);
    for (std::size_t i = 0; i < request.count_; ++i) {
        ids.push_back(issueId(dispatcher_, readClocks()));
    }
    reply(request.caller_, jsonReply(httpOk, formatIds(ids, dispatcher_.limits_.idLifetime_)));
}

void DispatchLoop::onMessage(const StatusRequest &request)
{
    reply(request.caller_, jsonReply(httpOk, formatStatus(dispatcher_, configQuorum_, peers_.names(), bootClock())));
}

void DispatchLoop::onMessage(const AuditRequest &request)
{
    reply(request.caller_, jsonReply(httpOk, formatAudit(recentChanges_, request.after_)));
}

void DispatchLoop::onMessage(const MetricsRequest &request)
{
    HttpReply text;
    text.contentType_ = "text/plain; version=0.0.4";
    text.body_ = formatMetrics(dispatcher_, configQuorum_, bootClock());
    reply(request.caller_, std::move(text));
}

void DispatchLoop::onMessage(const DrainRequest & /*request*/)
{
    dispatcher_.draining_ = true;
    reportDrained();
}

void DispatchLoop::receive(LinkId link, std::string_view frame)
{
    const auto message = decode(frame);
    if (message.has_error()) {
        log(LogLevel::Warning, component, "link " + std::to_string(link) + " closed: " + message.error().text_);
        links_.close(link);
        return;
    }
    const bool isHello = std::holds_alternative<AgentHello>(message.value()) || std::holds_alternative<PeerHello>(message.value());
    if (!isHello && findAgent(dispatcher_.agentPool_, link) == nullptr && entryLinks_.count(link) == 0) {
        log(LogLevel::Warning, component, "link " + std::to_string(link) + " closed: no hello before other messages");
        links_.close(link);
        return;
    }
    std::visit([this, link](const auto &m) { onFrame(link, m); }, message.value());
}

void DispatchLoop::onFrame(LinkId link, const AgentHello &hello)
{
    if (hello.protocol_ != protocolVersion) {
        log(LogLevel::Warning, component,
            "target " + hello.info_.place_.target_ + " uses unsupported protocol version " + std::to_string(hello.protocol_));
        links_.close(link);
        return;
    }
    if (findAgent(dispatcher_.agentPool_, link) != nullptr) {
        links_.close(link);
        return;
    }
    if (!links_.identify(link)) {
        return;
    }
    log(LogLevel::Info, component, "target " + hello.info_.place_.target_ + " announced in " + hello.info_.place_.domain_);
    DispatchActions actions;
    joinAgent(dispatcher_, readClocks(), link, hello.info_, actions);
    execute(actions);
}

void DispatchLoop::onFrame(LinkId link, const LeaseRenewal &renewal)
{
    const Agent *agent = findAgent(dispatcher_.agentPool_, link);
    if (agent == nullptr) {
        links_.close(link);
        return;
    }
    const Now now = readClocks();
    links_.send(
        link,
        encode(makeLeaseGrant(*agent, renewal.number_, leaseDuration(configQuorum_, dispatcher_.configuration_.version_, now.boot_))));
    DispatchActions actions;
    recordAgentContact(dispatcher_, now, link, renewal.version_, actions);
    execute(actions);
}

void DispatchLoop::onFrame(LinkId link, const TaskReports &reports)
{
    DispatchActions actions;
    applyReports(dispatcher_, readClocks(), link, reports.reports_, actions);
    execute(actions);
}

void DispatchLoop::onFrame(LinkId link, const AgentDraining & /*leaving*/)
{
    markAgentLeaving(dispatcher_, readClocks(), link);
}

void DispatchLoop::onFrame(LinkId link, const PeerHello &hello)
{
    if (hello.protocol_ != protocolVersion) {
        log(LogLevel::Warning, component,
            "entry " + hello.entry_.name_ + " uses unsupported protocol version " + std::to_string(hello.protocol_));
        links_.close(link);
        return;
    }
    if (!links_.identify(link)) {
        return;
    }
    entryLinks_[link] = hello.entry_;
    links_.send(link, encode(PeerHello{protocolVersion, dispatcher_.self_}));
}

void DispatchLoop::onFrame(LinkId link, const RelayRequest &request)
{
    const CallerRef caller = nextRelayedCaller_++;
    relayedCallers_[caller] = {link, request.relayId_};
    const auto id = parseJobId(request.id_);
    if (id.has_error() || id.value().owner_.name_ != dispatcher_.self_.name_) {
        replyError(caller, {Code::UnknownJob, "relayed to the wrong entry"});
        return;
    }
    if (request.op_ != RelayOp::Submit) {
        onMessage(JobRequest{caller, request.op_, id.value(), request.member_});
        return;
    }
    auto submission = parseSubmission(id.value(), request.member_, request.body_);
    if (submission.has_error()) {
        replyError(caller, submission.error());
        return;
    }
    onMessage(SubmitRequest{caller, std::move(submission).value(), {}});
}

template<typename T>
void DispatchLoop::onFrame(LinkId link, const T & /*unexpected*/)
{
    log(LogLevel::Warning, component, "link " + std::to_string(link) + " closed: unexpected message");
    links_.close(link);
}

void DispatchLoop::execute(DispatchActions &actions)
{
    // All orders of one batch of actions for the same agent go in one frame.
    std::unordered_map<AgentRef, Orders> frames;
    for (SendOrders &send : actions.orders_) {
        std::vector<Order> &orders = frames[send.agent_].orders_;
        std::move(send.orders_.begin(), send.orders_.end(), std::back_inserter(orders));
    }
    for (auto &[agent, orders] : frames) {
        links_.send(agent, encode(std::move(orders)));
    }
    for (const AnswerCaller &action : actions.answers_) {
        answer(action.caller_, action.answer_);
    }
    for (const AgentRef lostAgent : actions.lostAgents_) {
        links_.close(lostAgent);
    }
}

void DispatchLoop::answer(CallerRef caller, const std::shared_ptr<const JobAnswer> &answer)
{
    if ((caller & relayedCallerFlag) == 0) {
        hooks_.sendToCallers_(CallerReply{caller, answer, {}});
        return;
    }
    reply(caller, jsonReply(httpStatus(answer->code_), formatAnswer(*answer)));
}

void DispatchLoop::reply(CallerRef caller, HttpReply reply)
{
    const auto found = relayedCallers_.find(caller);
    if (found == relayedCallers_.end()) {
        hooks_.sendToCallers_(CallerReply{caller, nullptr, std::move(reply)});
        return;
    }
    const auto [link, relay] = found->second;
    relayedCallers_.erase(found);
    links_.send(link, encode(RelayReply{relay, reply.status_, std::move(reply.body_)}));
}

void DispatchLoop::replyError(CallerRef caller, const Error &error)
{
    reply(caller, jsonReply(httpStatus(error.code_), formatError(error)));
}

} // namespace ibiswall
