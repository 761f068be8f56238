// Requests of callers to an entry, and the answers to them.

#include "entrynode.hpp"

#include "../../../platform/callers.hpp"
#include "entryreplies.hpp"
#include "keys.hpp"
#include <algorithm>
#include <charconv>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

// Deadline of a request that does not set one.
constexpr Millis defaultDeadline{10000};
// A request whose outcome is not known yet is answered as unknown this long before its deadline.
constexpr Millis answerReserve{60};
// Retry-After while the store cannot be reached: outages last seconds.
constexpr Millis storeRetryAfter{2000};
// Age at which the leader's predicted waits say nothing any more: a burst or a loss of targets can end meanwhile.
constexpr Millis maxWaitAge{1000};

Millis deadlineOf(const HttpRequest &request)
{
    const auto found = request.customHeaders_.find(platform::callerTimeoutHeader);
    std::int64_t millis = defaultDeadline.count_;
    if (found != request.customHeaders_.end()) {
        const std::string &text = found->second;
        std::int64_t given = 0;
        if (std::from_chars(text.data(), text.data() + text.size(), given).ec == std::errc() && given > 0) {
            millis = std::min(given, millis);
        }
    }
    return bootClock() + Millis{millis} - answerReserve;
}

// @param status Gone, or NotFound where no queue has the path
void answerUnknown(const std::string &id, int status, const Respond &respond)
{
    logEvent("job.unknown", {{"job", std::string_view(id)}});
    respond(errorReply(status, status == Gone ? Code::UnknownJob : Code::UnknownPath, {}));
}

} // namespace

void EntryNode::serve(HttpRequest &&request, Respond respond)
{
    count("ibiswall_requests_total", methodLabel(request.method_));
    if (!configured_) {
        respond(errorReply(Unavailable, Code::NotReady, {}, startRetryAfter));
        return;
    }
    const cell::Queue *queue = findQueue(config_, request.host_, request.path_);
    if (queue == nullptr) {
        // The state of a job whose queue was removed can still be read.
        const std::string_view id = std::string_view(request.path_).substr(request.path_.rfind('/') + 1);
        if (request.method_ == "GET" && platform::isJobId(id)) {
            answerState(std::string(id), NotFound, respond);
        } else {
            respond(errorReply(NotFound, Code::UnknownPath, {}));
        }
        return;
    }
    const std::string id = request.path_.substr(queue->prefix_.size());
    if (id.empty() && request.method_ == "GET") {
        answerQueueLength(*queue, respond);
        return;
    }
    if (!platform::isJobId(id)) {
        respond(errorReply(Malformed, Code::BadRequest, "not a job id: 16 hexadecimal digits are required"));
    } else if (request.method_ == "POST") {
        submit(*queue, id, request, std::move(respond));
    } else if (request.method_ == "GET") {
        answerState(id, Gone, respond);
    } else if (request.method_ == "DELETE") {
        cancel(id, deadlineOf(request), std::move(respond));
    } else {
        respond(errorReply(NotAllowed, Code::WrongMethod, {}));
    }
}

void EntryNode::submit(const cell::Queue &queue, const std::string &id, const HttpRequest &request, Respond respond)
{
    if (const auto known = jobs_.find(id); known != jobs_.end() && !known->second.isEphemeral()) {
        logEvent("job.repeated", {{"job", std::string_view(id)}});
        respond(jsonReply(Success, {}));
        return;
    }
    if (stop_.isClosing() && submitters_.count(id) == 0) {
        count("ibiswall_refusals_total", "stopping");
        logEvent(
            "job.refused",
            {{"job", std::string_view(id)}, {"reason", "stopping"}, {"stopping_ms", stop_.elapsed(bootClock()).value_or(Millis{}).count_}});
        respond(errorReply(Unavailable, Code::Draining, {}, startRetryAfter));
        return;
    }
    if (request.body_.size() > config_.maxBody_) {
        respond(errorReply(TooLarge, Code::TooLarge, {}));
        return;
    }
    auto spec = platform::parseJob(request.body_);
    if (spec.has_error()) {
        logEvent("job.malformed", {{"job", std::string_view(id)}, {"reason", std::string_view(spec.error().text_)}});
        respond(errorReply(Malformed, spec.error().code_, spec.error().text_));
        return;
    }
    spec.value().queue_ = queue.name_;
    spec.value().acceptedBy_ = queue;
    if (spec.value().ephemeral_) {
        submitEphemeral(id, std::move(spec.value()), request, std::move(respond));
        return;
    }
    if (!acceptor_.isPending(id) && isStoreLost()) {
        count("ibiswall_refusals_total", "store_lost");
        logEvent("job.refused",
                 {{"job", std::string_view(id)},
                  {"reason", "store lost"},
                  {"store_age_ms", (bootClock() - store_.health().lastAnsweredSentAt_).count_}});
        respond(errorReply(Unavailable, Code::PlatformDown, {}, storeRetryAfter));
        return;
    }
    if (const Millis wait = unservableWait(queue, spec.value()); !acceptor_.isPending(id) && wait > Millis{0}) {
        count("ibiswall_refusals_total", "no_room_in_time");
        logEvent("job.refused", {{"job", std::string_view(id)}, {"reason", "no room in time"}, {"wait_ms", wait.count_}});
        respond(errorReply(Unavailable, Code::Overloaded, {}, cell::retryAfter(wait, id)));
        return;
    }
    if (!acceptor_.isPending(id)) {
        auto shares = acquireShares(spec.value());
        if (!shares) {
            refuse(id, "memory", respond);
            return;
        }
        acceptingShares_[id] = std::move(*shares);
    }
    submitters_[id].push_back({std::move(respond), deadlineOf(request), nextCaller_++, bootClock()});
    cell::JobRecord record;
    record.spec_ = std::move(spec.value());
    record.nonce_ = std::to_string(self_.incarnation_) + '.' + std::to_string(nextNonce_++);
    acceptor_.submit(id, std::move(record));
}

// The leader's predicted wait if a new job of the queue could only end when it is useless, otherwise 0. Nothing is known from waits that
// are older than maxWaitAge.
Millis EntryNode::unservableWait(const cell::Queue &queue, const cell::JobSpec &spec) const
{
    const auto found = waits_.find(queue.name_);
    if (!settings_.scheduling_.admission_ || found == waits_.end() || bootClock() - waitsAt_ > maxWaitAge) {
        return {0};
    }
    return cell::isUsefulAfter(found->second, spec, queue) ? Millis{0} : found->second;
}

// The caller waits until the job has ended. Nothing is stored; a caller that loses its connection has to retry.
void EntryNode::submitEphemeral(const std::string &id, cell::JobSpec spec, const HttpRequest &request, Respond respond)
{
    const auto known = jobs_.find(id);
    const bool isNew = known == jobs_.end() || !known->second.record_;
    std::optional<JobShares> shares = isNew ? acquireShares(spec) : std::nullopt;
    if (isNew && !shares) {
        refuse(id, "memory", respond);
        return;
    }
    const std::uint64_t number = nextCaller_++;
    if (request.onPeerClosed_) {
        *request.onPeerClosed_ = [this, id, number] {
            onCallerDisconnected(id, number);
        };
    }
    submitters_[id].push_back({std::move(respond), deadlineOf(request), number, bootClock()});
    KnownJob &job = jobs_[id];
    if (!isNew) {
        return;
    }
    job.shares_ = std::move(*shares);
    logEvent("job.received", {{"job", std::string_view(id)}, {"queue", std::string_view(spec.queue_)}});
    job.record_ = std::make_unique<cell::JobRecord>();
    job.record_->spec_ = std::move(spec);
    queueOffer(id);
}

// Refuses a request that has neither been stored nor offered to a leader.
void EntryNode::refuse(const std::string &id, const char *reason, const Respond &respond)
{
    count("ibiswall_refusals_total", reason);
    logEvent("job.refused", {{"job", std::string_view(id)}, {"reason", std::string_view(reason)}});
    respond(errorReply(Unavailable, Code::Overloaded, {}, startRetryAfter));
}

// Handles a caller that closed its connection before the answer.
void EntryNode::onCallerDisconnected(const std::string &id, std::uint64_t number)
{
    const auto found = submitters_.find(id);
    if (found == submitters_.end()) {
        return;
    }
    auto &callers = found->second;
    callers.erase(std::remove_if(callers.begin(), callers.end(), [number](const Caller &each) { return each.number_ == number; }),
                  callers.end());
    if (!callers.empty()) {
        return;
    }
    submitters_.erase(found);
    logEvent("job.abandoned", {{"job", std::string_view(id)}});
    jobs_.erase(id);
    sendTo(leadership_.leaderInfo().leader_, CancelFrame{id, true});
}

void EntryNode::answerAll(Callers &waiting, const std::string &id, const HttpReply &reply)
{
    const auto found = waiting.find(id);
    if (found == waiting.end()) {
        return;
    }
    const std::vector<Caller> callers = std::move(found->second);
    waiting.erase(found);
    const std::string outcome = std::to_string(reply.status_);
    for (const Caller &caller : callers) {
        count("ibiswall_jobs_total", outcome);
        observe("ibiswall_job_seconds", bootClock() - caller.since_, outcome);
        caller.respond_(reply);
    }
}

void EntryNode::onAccepted(const std::string &id, const AcceptedJob &job)
{
    JobShares shares;
    if (const auto found = acceptingShares_.find(id); found != acceptingShares_.end()) {
        shares = std::move(found->second);
        acceptingShares_.erase(found);
    }
    if (job.acceptance_ == Acceptance::NotStored) {
        count("ibiswall_refusals_total", "store_refused");
        logEvent("job.refused", {{"job", std::string_view(id)}, {"reason", "store refused"}});
        answerAll(submitters_, id, errorReply(Unavailable, Code::PlatformDown, {}, storeRetryAfter));
        return;
    }
    if (job.acceptance_ == Acceptance::Rejected) {
        count("ibiswall_refusals_total", "store_rejected");
        logEvent("job.refused", {{"job", std::string_view(id)}, {"reason", "store rejected"}});
        answerAll(submitters_, id, errorReply(TooLarge, Code::TooLarge, {}));
        return;
    }
    if (job.record_.progress_.state_ == cell::JobState::Withdrawn) {
        count("ibiswall_refusals_total", "withdrawn");
        logEvent("job.refused", {{"job", std::string_view(id)}, {"reason", "withdrawn"}});
        answerAll(submitters_, id, errorReply(Unavailable, Code::Cancelled, {}, withdrawnRetention));
        return;
    }
    logEvent("job.accepted",
             {{"job", std::string_view(id)},
              {"queue", std::string_view(job.record_.spec_.queue_)},
              {"revision", job.revision_},
              {"new", job.acceptance_ == Acceptance::Created ? 1 : 0}});
    KnownJob &known = jobs_[id];
    const bool wasFinal = isFinal(known.state_);
    known.state_ = job.record_.progress_.state_;
    known.revision_ = job.revision_;
    if (isFinal(known.state_)) {
        if (!wasFinal) {
            keepFinalState(id, known);
        }
    } else {
        known.record_ = std::make_unique<cell::JobRecord>(job.record_);
        known.shares_ = std::move(shares);
        // A job that was stored before may be known to another entry or an earlier leader.
        known.offeredEpoch_ = job.acceptance_ == Acceptance::Created ? 0 : leadership_.leaderInfo().epoch_;
        queueOffer(id);
    }
    answerAll(submitters_, id, jsonReply(Success, {}));
}

void EntryNode::answerState(const std::string &id, int unknownStatus, const Respond &respond)
{
    if (const auto known = jobs_.find(id); known != jobs_.end()) {
        respond(jsonReply(Success, platform::formatState(known->second.state_)));
        return;
    }
    if (lookups_ >= limits_.maxLookups_) {
        refuse(id, "lookups", respond);
        return;
    }
    ++lookups_;
    store_.get(keys::job(id), [this, id, unknownStatus, respond](const platform::StoreResult &answer) {
        --lookups_;
        if (answer.outcome_ == platform::StoreOutcome::NotFound) {
            answerUnknown(id, unknownStatus, respond);
            return;
        }
        const auto record = answer.items_.empty() ? Result<cell::JobRecord>(Error{Code::PlatformDown, {}})
                                                  : cell::parseRecord(answer.items_.front().value_);
        if (record.has_error()) {
            respond(errorReply(Unavailable, record.error().code_, record.error().text_, startRetryAfter));
            return;
        }
        const cell::JobState state = record.value().progress_.state_;
        if (state == cell::JobState::Withdrawn) {
            answerUnknown(id, unknownStatus, respond);
            return;
        }
        if (isFinal(state)) {
            onNotice({id, state, {}});
        }
        respond(jsonReply(Success, platform::formatState(state)));
    });
}

void EntryNode::cancel(const std::string &id, Millis deadline, Respond respond)
{
    if (const auto known = jobs_.find(id); known != jobs_.end() && isFinal(known->second.state_)) {
        respond(jsonReply(Success, platform::formatState(known->second.state_)));
        return;
    }
    if (cancellers_.size() >= limits_.maxLookups_ && cancellers_.count(id) == 0) {
        refuse(id, "cancels", respond);
        return;
    }
    cancellers_[id].push_back({std::move(respond), deadline, nextCaller_++, bootClock()});
    flushOffers();
    // A leader that has not been offered the job yet would not know it; the offer is followed by the cancel.
    const auto known = jobs_.find(id);
    const bool isUnoffered
        = known != jobs_.end() && known->second.record_ && known->second.offeredEpoch_ != leadership_.leaderInfo().epoch_;
    if (!isUnoffered) {
        sendTo(leadership_.leaderInfo().leader_, CancelFrame{id});
    }
}

void EntryNode::onNotice(const cell::Notice &notice)
{
    KnownJob &job = jobs_[notice.job_];
    if (isFinal(job.state_)) {
        return;
    }
    job.state_ = notice.state_;
    if (!isFinal(notice.state_)) {
        return;
    }
    if (notice.state_ == cell::JobState::Refused) {
        count("ibiswall_refusals_total", "no_room_in_time");
    }
    logEvent("job.ended", {{"job", std::string_view(notice.job_)}, {"state", platform::stateName(notice.state_)}});
    const bool ephemeral = job.isEphemeral();
    if (!ephemeral) {
        keepFinalState(notice.job_, job);
    }
    const Millis retryAfter = notice.retryAfter_ > Millis{0} ? notice.retryAfter_ : startRetryAfter;
    const HttpReply reply = notice.state_ == cell::JobState::Refused ? errorReply(Unavailable, Code::Overloaded, {}, retryAfter)
                                                                     : jsonReply(Success, platform::formatState(notice.state_));
    answerAll(cancellers_, notice.job_, reply);
    if (ephemeral) {
        // The leader keeps the state for a caller that retries.
        jobs_.erase(notice.job_);
        answerAll(submitters_, notice.job_, reply);
    }
}

void EntryNode::onUnknownJob(const std::string &id)
{
    answerAll(cancellers_, id, errorReply(Gone, Code::UnknownJob, {}));
}

// The leader keeps no more records of cancelled ids until some expire.
void EntryNode::onCancelRefused(const std::string &id)
{
    count("ibiswall_refusals_total", "cancels");
    logEvent("cancel.refused", {{"job", std::string_view(id)}});
    answerAll(cancellers_, id, errorReply(Unavailable, Code::Overloaded, {}, withdrawnRetention));
}

void EntryNode::answerQueueLength(const cell::Queue &queue, const Respond &respond) const
{
    const auto found = waiting_.find(queue.name_);
    std::size_t own = 0;
    for (const auto &[id, job] : jobs_) {
        if (job.record_ && job.state_ == cell::JobState::Pending && job.record_->spec_.queue_ == queue.name_) {
            ++own;
        }
    }
    respond(jsonReply(Success, platform::formatQueueLength(std::max(own, found == waiting_.end() ? std::size_t{0} : found->second))));
}

} // namespace ibiswall::node
