// Client side of the links between entries.

#include "peers.hpp"

#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view part = "entry.peers";
constexpr Millis askAgain{1000};
// Questions older than any answer could be of use.
constexpr std::size_t maxQuestionsOpen = 16;

HttpReply refusal(Code code, const std::string &text)
{
    HttpReply reply = jsonReply(httpStatus(code), formatError({code, text}));
    reply.retryAfter_ = code == Code::OwnerUnreachable ? askAgain : Millis{0};
    return reply;
}

} // namespace

Peers::Peers(boost::asio::io_context &io, Incarnation self, const std::vector<PeerPlace> &places, PeerEvents events)
    : self_(std::move(self))
    , events_(std::move(events))
{
    for (const PeerPlace &place : places) {
        if (place.name_ == self_.name_) {
            continue;
        }
        Peer &peer = peers_[place.name_];
        LinkEvents linkEvents;
        linkEvents.opened_ = [this, &peer](LinkId /*link*/) {
            peer.open_ = true;
            peer.link_->send(encode(PeerHello{protocolVersion, self_}));
        };
        linkEvents.closed_ = [this, &peer](LinkId /*link*/) {
            closed(peer);
        };
        linkEvents.received_ = [this, &peer, name = place.name_](LinkId /*link*/, std::string_view frame) {
            receive(name, peer, frame);
        };
        peer.link_ = std::make_unique<LinkClient>(io, place.links_, LinkLimits{}, std::move(linkEvents));
    }
}

void Peers::start()
{
    for (auto &[name, peer] : peers_) {
        peer.link_->start();
    }
}

void Peers::stop()
{
    for (auto &[name, peer] : peers_) {
        peer.link_->stop();
    }
}

void Peers::relay(CallerRef caller, const Incarnation &home, RelayRequest request)
{
    const auto found = peers_.find(home.name_);
    if (found == peers_.end()) {
        events_.reply_(caller, refusal(Code::UnknownJob, "entry \"" + home.name_ + "\" is not known"));
        return;
    }
    Peer &peer = found->second;
    if (!peer.open_ || peer.remote_.number_ == 0) {
        events_.reply_(caller, refusal(Code::OwnerUnreachable, "entry \"" + home.name_ + "\" cannot be reached"));
        return;
    }
    if (peer.remote_ != home) {
        events_.reply_(caller, refusal(Code::OwnerGone, "entry \"" + home.name_ + "\" was started anew; tasks of the job may have run"));
        return;
    }
    request.relayId_ = nextRelay_++;
    peer.waiting_[request.relayId_] = caller;
    peer.link_->send(encode(request));
}

void Peers::closed(Peer &peer)
{
    peer.open_ = false;
    peer.remote_ = {};
    peer.asked_.clear();
    const auto waiting = std::move(peer.waiting_);
    peer.waiting_.clear();
    for (const auto &[relay, caller] : waiting) {
        events_.reply_(caller, refusal(Code::OwnerUnreachable, "link to the job's home was lost"));
    }
}

void Peers::ask(std::uint64_t version)
{
    for (auto &[name, peer] : peers_) {
        ask(peer, version);
    }
}

void Peers::ask(const std::string &name, std::uint64_t version)
{
    const auto found = peers_.find(name);
    if (found != peers_.end()) {
        ask(found->second, version);
    }
}

// Asks only a peer that has said which process it is.
void Peers::ask(Peer &peer, std::uint64_t version)
{
    if (!peer.open_ || peer.remote_.number_ == 0) {
        return;
    }
    const std::uint64_t number = nextQuestion_++;
    peer.asked_[number] = bootClock();
    if (peer.asked_.size() > maxQuestionsOpen) {
        peer.asked_.erase(peer.asked_.begin());
    }
    peer.link_->send(encode(PeerStatusRequest{number, version}));
}

std::vector<std::string> Peers::names() const
{
    std::vector<std::string> names;
    names.reserve(peers_.size());
    for (const auto &[name, peer] : peers_) {
        names.push_back(name);
    }
    return names;
}

void Peers::passToAll(const PeerChanges &changes)
{
    for (const auto &[name, peer] : peers_) {
        pass(name, changes);
    }
}

void Peers::pass(const std::string &name, const PeerChanges &changes)
{
    const auto found = peers_.find(name);
    if (found != peers_.end() && found->second.open_) {
        found->second.link_->send(encode(changes));
    }
}

void Peers::receive(const std::string &name, Peer &peer, std::string_view frame)
{
    const auto message = decode(frame);
    if (message.has_error()) {
        log(LogLevel::Warning, part, message.error().text_);
        peer.link_->close();
        return;
    }
    std::visit([&](const auto &m) { on(name, peer, m); }, message.value());
}

void Peers::on(const std::string &name, Peer &peer, const PeerHello &hello)
{
    if (hello.entry_.name_ != name) {
        log(LogLevel::Error, part, "entry \"" + name + "\" in the settings calls itself \"" + hello.entry_.name_ + "\"");
        peer.link_->close();
        return;
    }
    peer.remote_ = hello.entry_;
}

void Peers::on(const std::string & /*name*/, Peer &peer, const RelayReply &relayed)
{
    const auto found = peer.waiting_.find(relayed.relayId_);
    if (found == peer.waiting_.end()) {
        return;
    }
    const CallerRef caller = found->second;
    peer.waiting_.erase(found);
    events_.reply_(caller, jsonReply(relayed.status_, relayed.body_));
}

void Peers::on(const std::string &name, Peer &peer, const PeerStatusReply &answer)
{
    const auto found = peer.asked_.find(answer.number_);
    if (found == peer.asked_.end()) {
        return;
    }
    const PeerWord word{found->second, answer.version_, answer.caughtUp_};
    peer.asked_.erase(peer.asked_.begin(), std::next(found));
    events_.word_(name, word);
}

void Peers::on(const std::string & /*name*/, Peer & /*peer*/, const PeerChanges &changes)
{
    events_.changes_(changes);
}

template<typename T>
void Peers::on(const std::string &name, Peer &peer, const T & /*unexpected*/)
{
    log(LogLevel::Warning, part, "link to entry \"" + name + "\" closed: unexpected message");
    peer.link_->close();
}

} // namespace ibiswall
