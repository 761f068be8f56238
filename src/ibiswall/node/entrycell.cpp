// Communication of an entry with its cell: heartbeats and offers.

#include "entrynode.hpp"

#include "keys.hpp"
#include <boost/asio/post.hpp>
#include <ibiswall/log/eventlog.hpp>
#include <tuple>

namespace ibiswall::node {

namespace {

constexpr std::size_t maxOffers = 64;
// Bytes of the records of one frame, exceeded by at most one record.
constexpr std::size_t maxOfferBytes = 64U << 10U;
// Unsent bytes of a link beyond which further offers wait. Heartbeats share the link.
constexpr std::size_t maxUnsentBytes = 256U << 10U;
constexpr Millis offerInterval{10};
// Time between the refusal of a job by the leader and the caller's deadline.
constexpr Millis refusalReserve{60};
constexpr double millisPerSecond = 1000;

} // namespace

void EntryNode::receive(const std::string &from, std::string_view bytes)
{
    auto frame = parseFrame(bytes);
    if (frame.has_error()) {
        logEvent("frame.malformed", {{"from", std::string_view(from)}, {"reason", std::string_view(frame.error().text_)}});
        return;
    }
    handle(from, std::move(frame.value()));
}

void EntryNode::handle(const std::string &from, Frame &&frame)
{
    if (const auto *heartbeat = std::get_if<HeartbeatFrame>(&frame)) {
        const std::uint64_t before = leadership_.leaderInfo().epoch_;
        if (leadership_.onHeartbeat(from, *heartbeat, bootClock())) {
            logEvent("entry.changed",
                     {{"entry", std::string_view(from)},
                      {"leaving", heartbeat->leaving_ ? 1 : 0},
                      {"accepting", heartbeat->accepting_ ? 1 : 0}});
        }
        if (leadership_.leaderInfo().epoch_ != before) {
            onLeaderChanged();
        }
        if (from == leadership_.leaderInfo().leader_) {
            succession_.onLeaderHeard(heartbeat->epoch_);
            waiting_ = heartbeat->waiting_;
            contained_ = heartbeat->contained_;
            interfering_ = heartbeat->interfering_;
            takeover_.onLeaderHeartbeat(heartbeat->epoch_, heartbeat->successor_ == self_.name_, heartbeat->sentAt_);
            requestHandover(bootClock());
            waits_ = heartbeat->waits_;
            waitsAt_ = bootClock();
        }
    } else if (const auto *notices = std::get_if<NoticesFrame>(&frame)) {
        for (const cell::Notice &notice : notices->notices_) {
            if (isRelevant(*notices, notice)) {
                onNotice(notice);
            }
        }
    } else if (const auto *unknown = std::get_if<UnknownJobFrame>(&frame)) {
        onUnknownJob(unknown->job_);
    } else if (const auto *refused = std::get_if<CancelRefusedFrame>(&frame)) {
        onCancelRefused(refused->job_);
    } else if (const auto *list = std::get_if<HandoverFrame>(&frame)) {
        onHandoverList(from, *list);
    } else if (leaderSession_) {
        leaderSession_->onFrame(from, std::move(frame));
    }
}

bool EntryNode::isRelevant(const NoticesFrame &frame, const cell::Notice &notice) const
{
    const auto job = jobs_.find(notice.job_);
    if (job == jobs_.end()) {
        return !frame.ephemeral_;
    }
    // A refusal counts only from the leader to which the job was last offered: another one may be running it.
    const bool outdated = notice.state_ == cell::JobState::Refused && job->second.offeredEpoch_ != frame.epoch_;
    if (outdated) {
        logEvent("job.refusal_ignored",
                 {{"job", std::string_view(notice.job_)},
                  {"epoch", logNumber(frame.epoch_)},
                  {"offered_to", logNumber(job->second.offeredEpoch_)}});
    }
    return !outdated;
}

bool EntryNode::sendTo(const std::string &name, const Frame &frame)
{
    if (name == self_.name_) {
        boost::asio::post(io_, [this, frame] { handle(self_.name_, Frame(frame)); });
        return true;
    }
    return mesh_.send(name, formatFrame(frame));
}

void EntryNode::broadcastToEntries(const Frame &frame)
{
    handle(self_.name_, Frame(frame));
    const std::string bytes = formatFrame(frame);
    for (const Peer &peer : mesh_.reachable()) {
        if (peer.isEntry_) {
            mesh_.send(peer.name_, bytes);
        }
    }
}

void EntryNode::queueOffer(const std::string &id)
{
    offerQueue_.push_back(id);
    scheduleOffers();
}

void EntryNode::scheduleOffers()
{
    if (!std::exchange(offersScheduled_, true)) {
        boost::asio::post(io_, [this] {
            offersScheduled_ = false;
            flushOffers();
        });
    }
}

// For how long the leader may keep the callers of a job waiting: a little less than their latest deadline.
Millis EntryNode::callerTimeout(const std::string &id) const
{
    const auto found = submitters_.find(id);
    if (found == submitters_.end() || found->second.empty()) {
        return {0};
    }
    Millis last;
    for (const Caller &caller : found->second) {
        last = {std::max(last.count_, caller.deadline_.count_)};
    }
    return {std::max<std::int64_t>((last - bootClock() - refusalReserve).count_, 1)};
}

// For how long the earliest caller of a job has waited.
Millis EntryNode::callerWait(const std::string &id) const
{
    const Millis now = bootClock();
    const auto found = submitters_.find(id);
    Millis age;
    if (found != submitters_.end()) {
        for (const Caller &caller : found->second) {
            age = {std::max(age.count_, (now - caller.since_).count_)};
        }
    }
    return age;
}

// Offers all open jobs again, to a new leader or over a new path.
void EntryNode::offerOpenJobs()
{
    offerQueue_.clear();
    reoffers_.clear();
    for (const auto &[id, job] : jobs_) {
        if (job.record_) {
            (submitters_.count(id) != 0 ? offerQueue_ : reoffers_).push_back(id);
        }
    }
    scheduleOffers();
}

// More unsent bytes than a link may have would close it, and everything would be offered again over the next one.
void EntryNode::flushOffers()
{
    sendOffers(offerQueue_);
    if (offerQueue_.empty()) {
        sendOffers(reoffers_);
    }
    if (offerQueue_.empty() && reoffers_.empty()) {
        return;
    }
    offerTimer_.expires_after(std::chrono::milliseconds(offerInterval.count_));
    offerTimer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            flushOffers();
        }
    });
}

// Sends offers, in order, until the link to the leader has maxUnsentBytes.
void EntryNode::sendOffers(std::deque<std::string> &queue)
{
    const std::uint64_t epoch = leadership_.leaderInfo().epoch_;
    const std::string leader = leadership_.leaderInfo().leader_;
    std::size_t sentBytes = 0;
    while (!queue.empty() && sentBytes < maxUnsentBytes && mesh_.unsentBytes(leader) < maxUnsentBytes) {
        OffersFrame frame;
        std::size_t bytes = 0;
        while (!queue.empty() && frame.offers_.size() < maxOffers && bytes < maxOfferBytes) {
            const std::string id = std::move(queue.front());
            queue.pop_front();
            const auto found = jobs_.find(id);
            if (found == jobs_.end() || !found->second.record_ || epoch == 0) {
                continue;
            }
            const KnownJob &job = found->second;
            bytes += recordBytes(job.record_->spec_);
            frame.offers_.push_back(
                {id, *job.record_, job.revision_, job.offeredEpoch_ == 0, {}, callerTimeout(id), callerWait(id), settings_.domain_});
        }
        // Without a path to the leader the jobs remain unoffered; they are offered when there is one.
        if (frame.offers_.empty() || !sendTo(leader, frame)) {
            continue;
        }
        sentBytes += bytes;
        for (const cell::JobOffer &offer : frame.offers_) {
            jobs_.at(offer.id_).offeredEpoch_ = epoch;
            if (cancellers_.count(offer.id_) != 0) {
                sendTo(leader, CancelFrame{offer.id_});
            }
        }
    }
}

void EntryNode::onPeerUp(const Peer &peer)
{
    if (!peer.isEntry_) {
        if (leaderSession_) {
            logEvent("peer.up", {{"peer", std::string_view(peer.name_)}, {"incarnation", peer.incarnation_}});
            leaderSession_->requestFullReport(peer.name_);
        }
        return;
    }
    logEvent("peer.up", {{"peer", std::string_view(peer.name_)}, {"incarnation", peer.incarnation_}});
    succession_.onIncarnation(peer.name_, peer.incarnation_);
    heartbeatsDueAt_.erase(peer.name_);
    if (peer.name_ == leadership_.leaderInfo().leader_) {
        onLeaderChanged();
    }
    if (leaderSession_) {
        leaderSession_->scheduleSweeps();
    }
}

void EntryNode::onPeerDown(const std::string &name)
{
    heartbeatsDueAt_.erase(name);
    const bool isEntry = entries_.count(name) != 0;
    if (isEntry || leaderSession_) {
        logEvent("peer.down", {{"peer", std::string_view(name)}});
    }
    if (leaderSession_ && isEntry) {
        leaderSession_->scheduleSweeps();
    }
}

// Offers again all jobs that the leader may not have, and discards non-final states, which may be outdated.
void EntryNode::onLeaderChanged()
{
    reachStage(RecoveryStage::Leader);
    logEvent("lead.changed",
             {{"epoch", static_cast<std::int64_t>(leadership_.leaderInfo().epoch_)},
              {"leader", std::string_view(leadership_.leaderInfo().leader_)}});
    if (leaderSession_ && !leadership_.isLeader()) {
        leaderSession_->stop();
        leaderSession_.reset();
    }
    for (auto each = jobs_.begin(); each != jobs_.end();) {
        const KnownJob &job = each->second;
        each = !job.record_ && !isFinal(job.state_) ? jobs_.erase(each) : std::next(each);
    }
    offerOpenJobs();
    for (const auto &[id, callers] : cancellers_) {
        sendTo(leadership_.leaderInfo().leader_, CancelFrame{id});
    }
}

HeartbeatFrame EntryNode::makeHeartbeat(Millis now)
{
    HeartbeatFrame frame;
    frame.epoch_ = leadership_.leaderInfo().epoch_;
    frame.leader_ = leadership_.leaderInfo().leader_;
    frame.leaderAge_ = leadership_.leaderAge(now);
    frame.storeAge_ = leaderSession_ ? leaderSession_->storeContact().age_ : now - store_.health().lastAnsweredSentAt_;
    frame.leaving_ = stop_.hasBegun();
    frame.accepting_ = configured_ && !stop_.isClosing();
    frame.steppedDown_ = leaderSession_ && leaderSession_->hasSteppedDown();
    frame.millicores_ = leadership_.millicores();
    frame.sentAt_ = now;
    frame.holdOffFrom_ = campaigning_ ? Millis{0} : leadership_.holdOffFrom();
    if (leaderSession_) {
        frame.waiting_ = leaderSession_->waitingJobs();
        waiting_ = frame.waiting_;
        frame.contained_ = leaderSession_->containedQueues();
        contained_ = frame.contained_;
        frame.successor_ = leaderSession_->successor();
        frame.interfering_ = leaderSession_->interferingPairs();
        interfering_ = frame.interfering_;
        frame.waits_ = leaderSession_->predictedWaits();
        waits_ = frame.waits_;
        waitsAt_ = now;
        for (const auto &[queue, wait] : waits_) {
            gauge("ibiswall_predicted_wait_seconds", static_cast<double>(wait.count_) / millisPerSecond, queue);
        }
    }
    return frame;
}

// Sends the heartbeats that are due, and one to every entry when the state in them has changed.
void EntryNode::sendHeartbeats()
{
    const Millis now = bootClock();
    updateHandover(now);
    HeartbeatFrame frame = makeHeartbeat(now);
    const auto stateOf = [](const HeartbeatFrame &each) {
        return std::tie(each.epoch_, each.leaving_, each.accepting_, each.steppedDown_, each.successor_);
    };
    const bool changed = stateOf(frame) != stateOf(lastHeartbeat_);
    lastHeartbeat_ = frame;
    // The frame in its encoded form for each interval.
    std::map<std::int64_t, std::string> encoded;
    for (const Peer &peer : mesh_.reachable()) {
        if (!peer.isEntry_) {
            continue;
        }
        const Millis interval = leadership_.heartbeatInterval(peer.name_, now);
        Millis &dueAt = heartbeatsDueAt_[peer.name_];
        dueAt = {std::min(dueAt.count_, (now + interval).count_)};
        if (!changed && now < dueAt) {
            continue;
        }
        dueAt = now + interval;
        std::string &bytes = encoded[interval.count_];
        if (bytes.empty()) {
            frame.nextIn_ = interval;
            bytes = formatFrame(frame);
        }
        succession_.onHeartbeatSent(peer.name_, now);
        mesh_.send(peer.name_, bytes);
    }
}

} // namespace ibiswall::node
