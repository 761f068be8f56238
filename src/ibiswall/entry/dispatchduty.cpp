// Feeds the dispatcher with events and carries out what it asks for.

#include "dispatchduty.hpp"

#include "views.hpp"
#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view part = "entry.dispatch";
constexpr std::chrono::milliseconds tickInterval(50);
constexpr CallerRef relayedBit = CallerRef{1} << 63U;
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
    limits.maxLinks_ = settings.maxLinks_;
    limits.firstFrameTimeout_ = settings.hello_;
    return limits;
}

} // namespace

DispatchDuty::DispatchDuty(boost::asio::io_context &io, const EntrySettings &settings, DispatchOutlets outlets)
    : outlets_(std::move(outlets))
    , links_(io,
             makeLinkLimits(settings),
             LinkEvents{[](LinkId /*link*/) {}, [this](LinkId link) { closed(link); },
                        [this](LinkId link, std::string_view frame) { receive(link, frame); },
                        [this](std::string_view reason) {
                            noteRefusedLink(reason);
                        }})
    , peers_(io,
             makeSelf(settings),
             settings.peers_,
             {[this](CallerRef caller, HttpReply answer) { reply(caller, std::move(answer)); },
              [this](const std::string &peer, const PeerWord &word) { on(peer, word); },
              [this](const PeerChanges &changes) {
                  applyChanges(changes.changes_);
              }})
    , timer_(io)
    , nextRelayed_(relayedBit)
{
    dispatcher_.self_ = peers_.self();
    dispatcher_.limits_ = settings.limits_;
    dispatcher_.random_.seed(std::random_device{}());
    electorate_.entries_ = peers_.size() + 1;
    electorate_.startedAt_ = bootClock();
}

Result<std::uint16_t> DispatchDuty::start(const Address &address)
{
    BOOST_OUTCOME_TRY(const auto port, links_.listen(address));
    peers_.start();
    scheduleTick();
    return port;
}

void DispatchDuty::stop()
{
    timer_.cancel();
    peers_.stop();
    links_.stop();
}

// Logs at most one line a second, so that a flood of peers does not become a flood of lines.
void DispatchDuty::noteRefusedLink(std::string_view reason)
{
    constexpr Millis pause{1000};
    ++refusedLinks_;
    const Millis now = bootClock();
    if (now - refusalLogged_ < pause) {
        return;
    }
    refusalLogged_ = now;
    log(LogLevel::Warning, part, "link refused: " + std::string(reason) + ", " + std::to_string(refusedLinks_) + " refused so far");
}

void DispatchDuty::closed(LinkId link)
{
    entryLinks_.erase(link);
    DispatchActions actions;
    loseAgent(dispatcher_, readClocks(), link, actions);
    act(actions);
}

void DispatchDuty::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        DispatchActions actions;
        tick(dispatcher_, readClocks(), actions);
        act(actions);
        const Millis now = bootClock();
        askPeers(now);
        answerConfirms(now);
        reportDrained();
        scheduleTick();
    });
}

void DispatchDuty::reportDrained()
{
    if (dispatcher_.draining_ && dispatcher_.openJobs_ == 0 && !drainReported_) {
        drainReported_ = true;
        outlets_.callers_(Drained{});
    }
}

void DispatchDuty::take(DispatchMessage &&message)
{
    std::visit([this](auto &&request) { on(std::forward<decltype(request)>(request)); }, std::move(message));
}

void DispatchDuty::take(PlatformMessage &&message)
{
    std::visit([this](auto &&news) { on(std::forward<decltype(news)>(news)); }, std::move(message));
}

void DispatchDuty::on(SubmitRequest &&request)
{
    const Incarnation home = request.submission_.id_.home_;
    if (home.name_ != dispatcher_.self_.name_) {
        peers_.relay(request.caller_, home,
                     {0, RelayOp::Submit, format(request.submission_.id_), request.submission_.member_, std::move(request.body_)});
        return;
    }
    if (!electorate_.settled_) {
        replyError(request.caller_, {Code::NotReady, "configuration has not been read yet"});
        return;
    }
    DispatchActions actions;
    submit(dispatcher_, readClocks(), std::move(request.submission_), request.caller_, actions);
    act(actions);
}

void DispatchDuty::on(const JobRequest &request)
{
    if (request.id_.home_.name_ != dispatcher_.self_.name_) {
        peers_.relay(request.caller_, request.id_.home_, {0, request.op_, format(request.id_), request.member_, {}});
        return;
    }
    const std::string id = format(request.id_);
    DispatchActions actions;
    if (request.op_ == RelayOp::Cancel) {
        cancel(dispatcher_, id, request.member_, actions);
    }
    fetch(dispatcher_, id, request.member_, request.caller_, actions);
    act(actions);
}

void DispatchDuty::on(const IdsRequest &request)
{
    std::vector<JobId> ids;
    ids.reserve(request.count_);
    for (std::size_t i = 0; i < request.count_; ++i) {
        ids.push_back(issueId(dispatcher_, readClocks()));
    }
    reply(request.caller_, jsonReply(httpOk, formatIds(ids, dispatcher_.limits_.idLife_)));
}

void DispatchDuty::on(const StatusRequest &request)
{
    reply(request.caller_, jsonReply(httpOk, formatStatus(dispatcher_, electorate_, peers_.names(), bootClock())));
}

void DispatchDuty::on(const AuditRequest &request)
{
    reply(request.caller_, jsonReply(httpOk, formatAudit(audit_, request.after_)));
}

void DispatchDuty::on(const MetricsRequest &request)
{
    HttpReply text;
    text.contentType_ = "text/plain; version=0.0.4";
    text.body_ = formatMetrics(dispatcher_, electorate_, bootClock());
    reply(request.caller_, std::move(text));
}

void DispatchDuty::on(const DrainRequest & /*request*/)
{
    dispatcher_.draining_ = true;
    reportDrained();
}

void DispatchDuty::receive(LinkId link, std::string_view frame)
{
    const auto message = decode(frame);
    if (message.has_error()) {
        log(LogLevel::Warning, part, "link " + std::to_string(link) + " closed: " + message.error().text_);
        links_.close(link);
        return;
    }
    const bool greets = std::holds_alternative<AgentHello>(message.value()) || std::holds_alternative<PeerHello>(message.value());
    if (!greets && findAgent(dispatcher_.fleet_, link) == nullptr && entryLinks_.count(link) == 0) {
        log(LogLevel::Warning, part, "link " + std::to_string(link) + " closed: no hello before other messages");
        links_.close(link);
        return;
    }
    std::visit([this, link](const auto &m) { onFrame(link, m); }, message.value());
}

void DispatchDuty::onFrame(LinkId link, const AgentHello &hello)
{
    if (hello.protocol_ != protocolVersion) {
        log(LogLevel::Warning, part, "target " + hello.info_.place_.target_ + " speaks protocol " + std::to_string(hello.protocol_));
        links_.close(link);
        return;
    }
    if (findAgent(dispatcher_.fleet_, link) != nullptr) {
        links_.close(link);
        return;
    }
    log(LogLevel::Info, part, "target " + hello.info_.place_.target_ + " announced in " + hello.info_.place_.domain_);
    DispatchActions actions;
    joinAgent(dispatcher_, readClocks(), link, hello.info_, actions);
    act(actions);
}

void DispatchDuty::onFrame(LinkId link, const LeaseRenewal &renewal)
{
    const Agent *agent = findAgent(dispatcher_.fleet_, link);
    if (agent == nullptr) {
        links_.close(link);
        return;
    }
    const Now now = readClocks();
    links_.send(link, encode(makeGrant(*agent, renewal.number_, grantLength(electorate_, dispatcher_.configuration_.version_, now.boot_))));
    DispatchActions actions;
    hearAgent(dispatcher_, now, link, renewal.version_, actions);
    act(actions);
}

void DispatchDuty::onFrame(LinkId link, const TaskReports &reports)
{
    DispatchActions actions;
    takeReports(dispatcher_, readClocks(), link, reports.reports_, actions);
    act(actions);
}

void DispatchDuty::onFrame(LinkId link, const AgentDraining & /*leaving*/)
{
    leaveAgent(dispatcher_, readClocks(), link);
}

void DispatchDuty::onFrame(LinkId link, const PeerHello &hello)
{
    if (hello.protocol_ != protocolVersion) {
        log(LogLevel::Warning, part, "entry " + hello.entry_.name_ + " speaks protocol " + std::to_string(hello.protocol_));
        links_.close(link);
        return;
    }
    entryLinks_[link] = hello.entry_;
    links_.send(link, encode(PeerHello{protocolVersion, dispatcher_.self_}));
}

void DispatchDuty::onFrame(LinkId link, const RelayRequest &request)
{
    const CallerRef caller = nextRelayed_++;
    relayed_[caller] = {link, request.relayId_};
    const auto id = parseJobId(request.id_);
    if (id.has_error() || id.value().home_.name_ != dispatcher_.self_.name_) {
        replyError(caller, {Code::UnknownJob, "relayed to the wrong entry"});
        return;
    }
    if (request.op_ != RelayOp::Submit) {
        on(JobRequest{caller, request.op_, id.value(), request.member_});
        return;
    }
    auto submission = parseSubmission(id.value(), request.member_, request.body_);
    if (submission.has_error()) {
        replyError(caller, submission.error());
        return;
    }
    on(SubmitRequest{caller, std::move(submission).value(), {}});
}

template<typename T>
void DispatchDuty::onFrame(LinkId link, const T & /*unexpected*/)
{
    log(LogLevel::Warning, part, "link " + std::to_string(link) + " closed: unexpected message");
    links_.close(link);
}

void DispatchDuty::act(DispatchActions &actions)
{
    // Orders that one decision made for the same agent share a frame.
    std::unordered_map<AgentRef, Orders> frames;
    for (SendOrders &send : actions.orders_) {
        std::vector<Order> &orders = frames[send.agent_].orders_;
        std::move(send.orders_.begin(), send.orders_.end(), std::back_inserter(orders));
    }
    for (auto &[agent, orders] : frames) {
        links_.send(agent, encode(std::move(orders)));
    }
    for (const AnswerCaller &each : actions.answers_) {
        answer(each.caller_, each.answer_);
    }
    for (const AgentRef lost : actions.lostAgents_) {
        links_.close(lost);
    }
}

void DispatchDuty::answer(CallerRef caller, const std::shared_ptr<const JobAnswer> &answer)
{
    if ((caller & relayedBit) == 0) {
        outlets_.callers_(CallerReply{caller, answer, {}});
        return;
    }
    reply(caller, jsonReply(httpStatus(answer->code_), formatAnswer(*answer)));
}

void DispatchDuty::reply(CallerRef caller, HttpReply reply)
{
    const auto found = relayed_.find(caller);
    if (found == relayed_.end()) {
        outlets_.callers_(CallerReply{caller, nullptr, std::move(reply)});
        return;
    }
    const auto [link, relay] = found->second;
    relayed_.erase(found);
    links_.send(link, encode(RelayReply{relay, reply.status_, std::move(reply.body_)}));
}

void DispatchDuty::replyError(CallerRef caller, const Error &error)
{
    reply(caller, jsonReply(httpStatus(error.code_), formatError(error)));
}

} // namespace ibiswall
