// An entry among the processes of its cell: beats, offers, the lead.

#include "entrynode.hpp"

#include "keys.hpp"
#include "roster.hpp"
#include <boost/asio/post.hpp>
#include <ibiswall/log/eventlog.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis beatPeriod{100};
constexpr Millis entriesPeriod{700};
constexpr std::size_t maxOffers = 64;
// Time between the leader's turning a job away and the caller's giving up.
constexpr Millis leaderReserve{60};
// Time without a path after which the leader takes an entry out of the roster; longer than a restart.
constexpr Millis deadEntry{6000};

std::string formatEntry(const Address &address, std::int64_t incarnation)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(nlohmann::json::array({format(address), incarnation}));
    return {bytes.begin(), bytes.end()};
}

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
    if (const auto *beat = std::get_if<BeatFrame>(&frame)) {
        const std::uint64_t before = leadership_.lead().epoch_;
        leadership_.heard(from, *beat, bootClock());
        if (leadership_.lead().epoch_ != before) {
            onLeadChanged();
        }
        if (from == leadership_.lead().leader_) {
            waiting_ = beat->waiting_;
        }
    } else if (const auto *notices = std::get_if<NoticesFrame>(&frame)) {
        for (const cell::Notice &notice : notices->notices_) {
            if (isWanted(*notices, notice)) {
                onNotice(notice);
            }
        }
    } else if (const auto *unknown = std::get_if<UnknownJobFrame>(&frame)) {
        onUnknownJob(unknown->job_);
    } else if (duty_) {
        duty_->received(from, std::move(frame));
    }
}

bool EntryNode::isWanted(const NoticesFrame &frame, const cell::Notice &notice) const
{
    const auto job = jobs_.find(notice.job_);
    if (job == jobs_.end()) {
        return !frame.ephemeral_;
    }
    // A leader to which the job has been offered since may be running it, so the refusal of an earlier one is not true.
    const bool outdated = notice.state_ == cell::JobState::Refused && job->second.offeredTo_ != frame.epoch_;
    if (outdated) {
        logEvent("job.refusal_ignored",
                 {{"job", std::string_view(notice.job_)},
                  {"epoch", logNumber(frame.epoch_)},
                  {"offered_to", logNumber(job->second.offeredTo_)}});
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

void EntryNode::tellEntries(const Frame &frame)
{
    handle(self_.name_, Frame(frame));
    const std::string bytes = formatFrame(frame);
    for (const Peer &peer : mesh_.reachable()) {
        if (peer.isEntry_) {
            mesh_.send(peer.name_, bytes);
        }
    }
}

void EntryNode::offerLater(const std::string &id)
{
    toOffer_.push_back(id);
    if (toOffer_.size() == 1) {
        boost::asio::post(io_, [this] { flushOffers(); });
    }
}

// For how long the callers of a job wait for a word of the leader: a little less than for the answer.
Millis EntryNode::patienceFor(const std::string &id) const
{
    const auto found = submitters_.find(id);
    if (found == submitters_.end() || found->second.empty()) {
        return {0};
    }
    Millis last;
    for (const Caller &caller : found->second) {
        last = {std::max(last.count_, caller.giveUpAt_.count_)};
    }
    return {std::max<std::int64_t>((last - bootClock() - leaderReserve).count_, 1)};
}

// For how long the first of the callers of a job has waited.
Millis EntryNode::ageOf(const std::string &id) const
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

void EntryNode::offerAll()
{
    for (const auto &[id, job] : jobs_) {
        if (job.record_) {
            offerLater(id);
        }
    }
}

void EntryNode::flushOffers()
{
    OffersFrame frame;
    const std::uint64_t epoch = leadership_.lead().epoch_;
    const auto send = [&] {
        if (!frame.offers_.empty()) {
            sendTo(leadership_.lead().leader_, frame);
            frame.offers_.clear();
        }
    };
    for (const std::string &id : std::exchange(toOffer_, {})) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || !found->second.record_ || epoch == 0) {
            continue;
        }
        KnownJob &job = found->second;
        frame.offers_.push_back({id, *job.record_, job.revision_, job.offeredTo_ == 0, {}, patienceFor(id), ageOf(id)});
        job.offeredTo_ = epoch;
        if (frame.offers_.size() == maxOffers) {
            send();
        }
    }
    send();
}

void EntryNode::peerUp(const Peer &peer)
{
    logEvent("peer.up", {{"peer", std::string_view(peer.name_)}, {"incarnation", peer.incarnation_}});
    if (!peer.isEntry_) {
        if (duty_) {
            duty_->agentUp(peer.name_);
        }
        return;
    }
    beatAt_ = {};
    if (peer.name_ == leadership_.lead().leader_) {
        onLeadChanged();
    }
    if (duty_) {
        duty_->sweepLater();
    }
}

void EntryNode::peerDown(const std::string &name)
{
    logEvent("peer.down", {{"peer", std::string_view(name)}});
    if (duty_ && entries_.count(name) != 0) {
        duty_->sweepLater();
    }
}

// Offers again whatever the leader may have missed, and forgets states that it may not have told.
void EntryNode::onLeadChanged()
{
    logEvent("lead.changed",
             {{"epoch", static_cast<std::int64_t>(leadership_.lead().epoch_)}, {"leader", std::string_view(leadership_.lead().leader_)}});
    if (duty_ && !leadership_.isMine()) {
        duty_->stop();
        duty_.reset();
    }
    for (auto each = jobs_.begin(); each != jobs_.end();) {
        const KnownJob &job = each->second;
        each = !job.record_ && !isFinal(job.state_) ? jobs_.erase(each) : std::next(each);
    }
    offerAll();
    for (const auto &[id, callers] : cancellers_) {
        sendTo(leadership_.lead().leader_, CancelFrame{id});
    }
}

void EntryNode::beat()
{
    const Millis now = bootClock();
    if (now < beatAt_ + beatPeriod) {
        return;
    }
    beatAt_ = now;
    BeatFrame frame;
    frame.epoch_ = leadership_.lead().epoch_;
    frame.leader_ = leadership_.lead().leader_;
    frame.leaderAge_ = leadership_.leaderAge(now);
    frame.storeAge_ = duty_ ? duty_->storeContact().age_ : now - store_.health().lastAnsweredSentAt_;
    if (duty_ && duty_->hasYielded()) {
        if (leadership_.shouldResume(duty_->yieldedAt(), now)) {
            duty_->resume();
        }
    } else if (duty_ && leadership_.shouldLetGo(duty_->storeContact(), stoppingSince_.has_value(), now)) {
        duty_->yield();
    }
    frame.leaving_ = stoppingSince_.has_value();
    frame.yielded_ = duty_ && duty_->hasYielded();
    frame.power_ = leadership_.power();
    frame.sentAt_ = now;
    frame.promisedFrom_ = takingLead_ ? Millis{0} : leadership_.promisedFrom();
    if (duty_) {
        frame.waiting_ = duty_->waitingJobs();
        waiting_ = frame.waiting_;
    }
    const std::string bytes = formatFrame(frame);
    for (const Peer &peer : mesh_.reachable()) {
        if (peer.isEntry_) {
            mesh_.send(peer.name_, bytes);
        }
    }
}

void EntryNode::considerLead()
{
    const Millis now = bootClock();
    if (takingLead_ || !configured_) {
        return;
    }
    if (leadership_.shouldTake(now - store_.health().lastAnsweredSentAt_, stoppingSince_.has_value(), now)) {
        readLead();
    }
}

void EntryNode::readLead()
{
    takingLead_ = true;
    const Millis sentAt = bootClock();
    store_.get(keys::leader, [this, sentAt](const platform::StoreResult &answer) {
        takingLead_ = false;
        if (answer.outcome_ == platform::StoreOutcome::NotFound) {
            takeLead(0);
            return;
        }
        if (answer.outcome_ != platform::StoreOutcome::Ok || answer.items_.empty()) {
            return;
        }
        const platform::Item &item = answer.items_.front();
        const auto epoch = static_cast<std::uint64_t>(item.revision_);
        if (!leadNonce_.empty() && item.value_ == leadNonce_) {
            // An attempt whose answer was lost had won.
            leadNonce_.clear();
            lead(epoch, sentAt, false);
            return;
        }
        const std::string leader = item.value_.substr(0, item.value_.find(' '));
        if (leadership_.learn({epoch, leader}, bootClock())) {
            onLeadChanged();
        } else if (leadership_.shouldTake(bootClock() - store_.health().lastAnsweredSentAt_, stoppingSince_.has_value(), bootClock())) {
            takeLead(item.revision_);
        }
    });
}

void EntryNode::takeLead(std::int64_t expected)
{
    takingLead_ = true;
    leadNonce_ = self_.name_ + ' ' + std::to_string(self_.incarnation_) + ' ' + std::to_string(nextNonce_++);
    platform::Transaction transaction;
    transaction.conditions_.push_back({keys::leader, expected});
    transaction.writes_.push_back({keys::leader, leadNonce_});
    const Millis sentAt = bootClock();
    store_.commit(transaction, [this, sentAt, expected](const platform::StoreResult &answer) {
        takingLead_ = false;
        if (answer.outcome_ == platform::StoreOutcome::Ok) {
            leadNonce_.clear();
            lead(static_cast<std::uint64_t>(answer.revision_), sentAt, expected == 0);
        }
    });
}

void EntryNode::lead(std::uint64_t epoch, Millis takenAt, bool first)
{
    if (duty_) {
        duty_->stop();
    }
    leadership_.take(epoch, bootClock());
    DispatchOutlets outlets;
    outlets.send_ = [this](const std::string &name, const Frame &frame) {
        return sendTo(name, frame);
    };
    outlets.tellEntries_ = [this](const Frame &frame) {
        tellEntries(frame);
    };
    outlets.drop_ = [this](const std::string &name) {
        mesh_.drop(name);
    };
    outlets.agents_ = [this] {
        std::vector<std::string> agents;
        for (const Peer &peer : mesh_.reachable()) {
            if (!peer.isEntry_) {
                agents.push_back(peer.name_);
            }
        }
        return agents;
    };
    outlets.promisedUntil_ = [this] {
        if (!entriesKnown_) {
            return Millis{0};
        }
        std::set<std::string> others;
        for (const auto &[name, address] : entries_) {
            others.insert(name);
        }
        return leadership_.promisedUntil(others);
    };
    outlets.deposed_ = [this] {
        leadership_.release();
        boost::asio::post(io_, [this] {
            if (!leadership_.isMine()) {
                duty_.reset();
            }
        });
    };
    duty_ = std::make_shared<DispatchDuty>(io_, store_, outlets, epoch, takenAt, first, settings_.keepStates_);
    duty_->setConfig(config_, domainsOut_);
    duty_->start();
    onLeadChanged();
    beatAt_ = {};
    beat();
}

void EntryNode::publishEntry()
{
    // Read first, so that the condition is right whatever an earlier life has left.
    store_.get(keys::entries + self_.name_, [this](const platform::StoreResult &answer) {
        const bool known = answer.outcome_ == platform::StoreOutcome::Ok && !answer.items_.empty();
        if (!known && answer.outcome_ != platform::StoreOutcome::NotFound) {
            return;
        }
        platform::Transaction transaction;
        const std::string key = keys::entries + self_.name_;
        transaction.conditions_.push_back({key, known ? answer.items_.front().revision_ : 0});
        transaction.writes_.push_back({key, formatEntry(settings_.links_, self_.incarnation_)});
        store_.commit(transaction, [this](const platform::StoreResult &written) {
            if (written.outcome_ == platform::StoreOutcome::Ok) {
                entriesReadAt_ = {};
            }
        });
    });
}

// The leader takes entries out of the roster that it has not reached for long. One that lives puts itself back.
void EntryNode::removeDeadEntries(Span<const platform::Item> items)
{
    const Millis now = bootClock();
    for (const platform::Item &item : items) {
        const std::string name = keys::nameOf(item.key_, keys::entries);
        Millis &reached = entryReachedAt_[name];
        if (name == self_.name_ || mesh_.isReachable(name) || reached == Millis{0}) {
            reached = now;
        }
        if (!duty_ || now < reached + deadEntry) {
            continue;
        }
        logEvent("entry.removed", {{"entry", std::string_view(name)}, {"unreached_ms", (now - reached).count_}});
        platform::Transaction transaction;
        transaction.conditions_.push_back({item.key_, item.revision_});
        transaction.removals_.push_back(item.key_);
        store_.commit(transaction, [](const platform::StoreResult &) {
            // Read again with the roster; a removal that failed is tried again then.
        });
        reached = now;
    }
}

void EntryNode::readEntries()
{
    const Millis now = bootClock();
    if (readingEntries_ || now < entriesReadAt_ + entriesPeriod) {
        return;
    }
    entriesReadAt_ = now;
    readingEntries_ = true;
    store_.readAll(keys::entries, true, [this](const platform::StoreResult &answer) {
        readingEntries_ = false;
        if (answer.outcome_ != platform::StoreOutcome::Ok) {
            return;
        }
        std::map<std::string, Address> entries = parseEntries(answer.items_);
        const auto own = entries.find(self_.name_);
        if (own == entries.end() || !(own->second == settings_.links_)) {
            publishEntry();
        }
        entries.erase(self_.name_);
        entries_ = entries;
        entriesKnown_ = true;
        mesh_.setEntries(entries);
        removeDeadEntries(answer.items_);
    });
}

} // namespace ibiswall::node
