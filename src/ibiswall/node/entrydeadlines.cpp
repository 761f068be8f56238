// Callers that wait at an entry: answers before their deadlines, before the entry exits, and where no leader can start their jobs.

#include "entryreplies.hpp"

#include "entrynode.hpp"
#include <algorithm>
#include <ibiswall/cell/usefultime.hpp>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis prunePeriod{1000};
// A leader needs at least an offer and an order to start a job, each over links of up to 2.8 ms.
constexpr Millis minStartDelay{5};

} // namespace

HttpReply errorReply(int status, Code code, const std::string &text, Millis retryAfter)
{
    std::string body = "{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"reason\":\"";
    for (const char c : text.empty() ? std::string(describe(code)) : text) {
        body += c == '"' || c == '\\' || static_cast<unsigned char>(c) < ' ' ? '\'' : c;
    }
    HttpReply reply = jsonReply(status, body + "\"}");
    reply.retryAfter_ = retryAfter;
    return reply;
}

// Answers all waiting callers before the process exits.
void EntryNode::answerRemaining()
{
    for (Callers *waiting : {&submitters_, &cancellers_}) {
        for (auto &[id, callers] : *waiting) {
            for (Caller &caller : callers) {
                caller.deadline_ = {0};
            }
        }
    }
    expireCallers(bootClock());
}

// Refuses jobs that no leader has been offered and that none could start in time any more.
void EntryNode::refuseUnoffered(Millis now)
{
    std::vector<std::string> refused;
    for (const auto &[id, callers] : submitters_) {
        const auto job = jobs_.find(id);
        if (job == jobs_.end() || !job->second.isEphemeral() || job->second.offeredEpoch_ != 0 || callers.empty()) {
            continue;
        }
        const cell::JobSpec &spec = job->second.record_->spec_;
        const auto queue = config_.queues_.find(spec.queue_);
        const cell::UsefulTime useful = usefulTime(spec, queue == config_.queues_.end() ? nullptr : &queue->second);
        // A later caller of the same job may still be served.
        const Caller &latest = callers.back();
        if (isTooLateToOffer(useful, latest.since_, latest.deadline_, minStartDelay, now)) {
            refused.push_back(id);
        }
    }
    for (const std::string &id : refused) {
        count("ibiswall_refusals_total", "no_leader");
        logEvent("job.refused",
                 {{"job", std::string_view(id)}, {"reason", "no leader"}, {"leader_age_ms", leadership_.leaderAge(now).count_}});
        jobs_.erase(id);
        answerAll(submitters_, id, errorReply(Unavailable, Code::NotReady, "not run: no leader", startRetryAfter));
    }
}

// Answers callers whose deadline is near and whose outcome is still unknown, and discards final states after their retention.
void EntryNode::expireCallers(Millis now)
{
    if (now > prunedAt_ + prunePeriod) {
        prunedAt_ = now;
        expireFinalStates(now);
    }
    for (Callers *waiting : {&submitters_, &cancellers_}) {
        std::vector<std::string> expired;
        for (const auto &[id, callers] : *waiting) {
            if (std::any_of(callers.begin(), callers.end(), [now](const Caller &each) { return now >= each.deadline_; })) {
                expired.push_back(id);
            }
        }
        for (const std::string &id : expired) {
            const auto job = jobs_.find(id);
            const bool ephemeral = waiting == &submitters_ && job != jobs_.end() && job->second.isEphemeral();
            const bool offered = !ephemeral || job->second.offeredEpoch_ != 0;
            logEvent(offered ? "request.unsettled" : "job.refused",
                     {{"job", std::string_view(id)},
                      {"cancel", waiting == &cancellers_ ? 1 : 0},
                      {"leader_age_ms", leadership_.leaderAge(now).count_}});
            answerAll(*waiting, id,
                      offered ? errorReply(Unknown, Code::Unconfirmed, "outcome unknown, ask again")
                              : errorReply(Unavailable, Code::NotReady, "not run: no leader", startRetryAfter));
            if (ephemeral) {
                jobs_.erase(job);
                sendTo(leadership_.leaderInfo().leader_, CancelFrame{id, true});
            }
        }
    }
}

} // namespace ibiswall::node
