// Routes HTTP requests of callers and operators.

#include "callersloop.hpp"

#include <algorithm>
#include <charconv>
#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view component = "entry.callers";
constexpr std::size_t maxIdsPerCall = 10000;
constexpr std::string_view jobsPath = "/v1/jobs/";
constexpr int httpOk = 200;
constexpr int httpUnavailable = 503;

HttpReply errorReply(const Error &error)
{
    HttpReply reply = jsonReply(httpStatus(error.code_), formatError(error));
    constexpr Millis retryDelay{1000};
    reply.retryAfter_ = reply.status_ == httpUnavailable ? retryDelay : Millis{0};
    return reply;
}

HttpReply answerReply(const JobAnswer &answer)
{
    HttpReply reply = jsonReply(httpStatus(answer.code_), formatAnswer(answer));
    reply.retryAfter_ = answer.retryAfter_;
    return reply;
}

std::unordered_map<std::string, std::string> namesByAuthorization(const std::vector<Credential> &credentials)
{
    std::unordered_map<std::string, std::string> out;
    for (const Credential &credential : credentials) {
        out["Bearer " + credential.token_] = credential.name_;
    }
    return out;
}

// Parses a query such as `count=5`; an empty query gives the fallback.
Result<std::uint64_t> parseQueryNumber(const std::string &query, const std::string &key, std::uint64_t fallback)
{
    if (query.empty()) {
        return fallback;
    }
    const std::string prefix = key + '=';
    std::uint64_t value = 0;
    const char *end = query.data() + query.size();
    const bool named = query.compare(0, prefix.size(), prefix) == 0;
    const auto parsed = std::from_chars(query.data() + (named ? prefix.size() : query.size()), end, value);
    if (!named || parsed.ec != std::errc() || parsed.ptr != end) {
        return Error{Code::BadRequest, "query \"" + query + "\": only " + key + "=NUMBER is known"};
    }
    return value;
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

Error wrongMethod(const HttpRequest &request, std::string_view allowed)
{
    return {Code::WrongMethod, request.method_ + ' ' + request.path_ + ": use " + std::string(allowed)};
}

// Logs the outcome of each confirmed intent, accepted or refused.
void logConfirmation(const std::string &intent, const HttpReply &reply)
{
    const bool accepted = reply.status_ == httpOk;
    log(accepted ? LogLevel::Info : LogLevel::Warning, component,
        "intent " + std::string(accepted ? "accepted" : "refused") + ": " + intent + (accepted ? std::string() : ", " + reply.body_));
}

// A full set of connections with large bodies at a time exceeds the memory of any process.
HttpLimits limitsOf(const EntrySettings &settings)
{
    constexpr std::size_t minBudget = 64U << 20U;
    constexpr std::size_t bodiesAtATime = 8;
    HttpLimits limits{settings.maxBody_, settings.maxHeader_, settings.maxConnections_, settings.idleTimeout_};
    limits.budget_ = std::make_shared<Budget>(std::max(minBudget, bodiesAtATime * settings.maxBody_));
    return limits;
}

} // namespace

CallersLoop::CallersLoop(boost::asio::io_context &io, const EntrySettings &settings, std::function<bool(DispatchMessage)> forward)
    : forward_(std::move(forward))
    , members_(namesByAuthorization(settings.members_))
    , operators_(namesByAuthorization(settings.operators_))
    , self_(settings.name_)
    , server_(io, limitsOf(settings), [this](const HttpRequest &request, const Respond &respond) { handleMeasured(request, respond); })
{
}

Result<std::uint16_t> CallersLoop::listen(const Address &address)
{
    return server_.listen(address);
}

void CallersLoop::markCaughtUp()
{
    caughtUp_ = true;
}

void CallersLoop::markStopping()
{
    stopping_ = true;
}

void CallersLoop::closeIdle()
{
    server_.closeIdle();
}

void CallersLoop::stopAccepting()
{
    server_.stopAccepting();
}

std::size_t CallersLoop::pending() const
{
    return server_.pending();
}

void CallersLoop::reply(CallerReply &&reply)
{
    const auto found = pendingReplies_.find(reply.caller_);
    if (found == pendingReplies_.end()) {
        return;
    }
    const Respond respond = std::move(found->second);
    pendingReplies_.erase(found);
    const auto intent = pendingIntents_.find(reply.caller_);
    if (intent != pendingIntents_.end()) {
        logConfirmation(intent->second, reply.reply_);
        pendingIntents_.erase(intent);
    }
    respond(reply.answer_ ? answerReply(*reply.answer_) : std::move(reply.reply_));
}

void CallersLoop::forward(const Respond &respond, const std::function<DispatchMessage(CallerRef)> &make)
{
    const CallerRef caller = nextCaller_++;
    pendingReplies_[caller] = respond;
    if (!forward_(make(caller))) {
        pendingReplies_.erase(caller);
        pendingIntents_.erase(caller);
        respond(errorReply({Code::Overloaded, "entry \"" + self_ + "\" is overloaded"}));
    }
}

void CallersLoop::handleMeasured(const HttpRequest &request, const Respond &respond)
{
    handle(request, [this, began = bootClock(), path = request.path_, respond](HttpReply reply) {
        metrics_.observe(path, reply.status_, bootClock() - began);
        if (path == "/metrics" && reply.status_ == httpOk) {
            reply.body_ += metrics_.text();
        }
        respond(std::move(reply));
    });
}

void CallersLoop::handle(const HttpRequest &request, const Respond &respond)
{
    const bool isPublic = request.path_ == "/healthz" || request.path_ == "/metrics";
    if (isPublic && request.method_ != "GET" && request.method_ != "HEAD") {
        respond(errorReply(wrongMethod(request, "GET")));
        return;
    }
    if (request.path_ == "/healthz") {
        const bool healthy = caughtUp_ && !stopping_;
        respond(jsonReply(healthy ? httpOk : httpUnavailable, healthy ? R"({"healthy":true})" : R"({"healthy":false})"));
        return;
    }
    if (request.path_ == "/metrics") {
        forward(respond, [](CallerRef caller) { return MetricsRequest{caller}; });
        return;
    }
    const auto member = members_.find(request.authorization_);
    if (member != members_.end()) {
        handleJob(request, member->second, respond);
        return;
    }
    const auto op = operators_.find(request.authorization_);
    if (op != operators_.end()) {
        handleOperator(request, op->second, respond);
        return;
    }
    respond(errorReply({Code::Unauthorized, "Authorization: Bearer TOKEN of a member or an operator is required"}));
}

void CallersLoop::handleJob(const HttpRequest &request, const std::string &member, const Respond &respond)
{
    if (request.path_ == "/v1/ids") {
        const auto count = parseQueryNumber(request.query_, "count", 1);
        if (request.method_ != "POST") {
            respond(errorReply(wrongMethod(request, "POST")));
        } else if (count.has_error()) {
            respond(errorReply(count.error()));
        } else if (count.value() < 1 || count.value() > maxIdsPerCall) {
            respond(errorReply({Code::BadRequest, "count: must lie between 1 and " + std::to_string(maxIdsPerCall)}));
        } else {
            forward(respond, [&](CallerRef caller) { return IdsRequest{caller, count.value()}; });
        }
        return;
    }
    if (!startsWith(request.path_, jobsPath)) {
        respond(errorReply({Code::UnknownPath, request.path_}));
        return;
    }
    const auto id = parseJobId(std::string_view(request.path_).substr(jobsPath.size()));
    if (id.has_error()) {
        respond(errorReply(id.error()));
        return;
    }
    if (request.method_ == "PUT") {
        auto submission = parseSubmission(id.value(), member, request.body_);
        if (submission.has_error()) {
            respond(errorReply(submission.error()));
            return;
        }
        const bool isLocal = id.value().owner_.name_ == self_;
        forward(respond, [&](CallerRef caller) {
            return SubmitRequest{caller, std::move(submission).value(), isLocal ? std::string() : request.body_};
        });
        return;
    }
    if (request.method_ == "GET" || request.method_ == "DELETE") {
        const RelayOp op = request.method_ == "GET" ? RelayOp::Fetch : RelayOp::Cancel;
        forward(respond, [&](CallerRef caller) { return JobRequest{caller, op, id.value(), member}; });
        return;
    }
    respond(errorReply(wrongMethod(request, "PUT, GET or DELETE")));
}

void CallersLoop::handleOperator(const HttpRequest &request, const std::string &name, const Respond &respond)
{
    const std::string expectedMethod = request.path_ == "/v1/status" || request.path_ == "/v1/audit" ? "GET" : "POST";
    const bool isKnownPath = request.path_ == "/v1/plan" || request.path_ == "/v1/confirm" || expectedMethod == "GET";
    if (!isKnownPath) {
        respond(errorReply({Code::UnknownPath, request.path_}));
        return;
    }
    if (request.method_ != expectedMethod) {
        respond(errorReply(wrongMethod(request, expectedMethod)));
        return;
    }
    if (request.path_ == "/v1/status") {
        forward(respond, [](CallerRef caller) { return StatusRequest{caller}; });
    } else if (request.path_ == "/v1/audit") {
        const auto after = parseQueryNumber(request.query_, "after", 0);
        if (after.has_error()) {
            respond(errorReply(after.error()));
            return;
        }
        forward(respond, [&](CallerRef caller) { return AuditRequest{caller, after.value()}; });
    } else if (request.path_ == "/v1/plan") {
        const auto intent = parseIntent(request.body_);
        if (intent.has_error()) {
            respond(errorReply(intent.error()));
            return;
        }
        forward(respond, [&](CallerRef caller) { return PlanRequest{caller, intent.value()}; });
    } else {
        auto confirmation = parseConfirmation(request.body_);
        if (confirmation.has_error()) {
            respond(errorReply(confirmation.error()));
            return;
        }
        confirmation.value().who_ = name;
        forward(respond, [&](CallerRef caller) {
            pendingIntents_[caller] = describe(confirmation.value().intent_) + ", by " + name;
            return ConfirmRequest{caller, std::move(confirmation).value()};
        });
    }
}

} // namespace ibiswall
