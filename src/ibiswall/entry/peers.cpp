// Client side of the links between entries.

#include "peers.hpp"

#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view component = "entry.peers";
constexpr Millis retryDelay{1000};
// An answer to an older query would no longer be useful, so the oldest queries are dropped.
constexpr std::size_t maxPendingQueries = 16;

HttpReply errorReply(Code code, const std::string &text)
{
    HttpReply reply = jsonReply(httpStatus(code), formatError({code, text}));
    reply.retryAfter_ = code == Code::OwnerUnreachable ? retryDelay : Millis{0};
    return reply;
}

} // namespace

Peers::Peers(boost::asio::io_context &io, Incarnation self, const std::vector<PeerSettings> &peers, PeerEvents events)
    : self_(std::move(self))
    , events_(std::move(events))
{
    for (const PeerSettings &settings : peers) {
        if (settings.name_ == self_.name_) {
            continue;
        }
        Peer &peer = peers_[settings.name_];
        LinkEvents linkEvents;
        linkEvents.opened_ = [this, &peer](LinkId /*link*/) {
            peer.open_ = true;
            peer.link_->send(encode(PeerHello{protocolVersion, self_}));
        };
        linkEvents.closed_ = [this, &peer](LinkId /*link*/) {
            onLinkClosed(peer);
        };
        linkEvents.received_ = [this, &peer, name = settings.name_](LinkId /*link*/, std::string_view frame) {
            receive(name, peer, frame);
        };
        peer.link_ = std::make_unique<LinkClient>(io, settings.linksAddress_, LinkLimits{}, std::move(linkEvents));
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

void Peers::relay(CallerRef caller, const Incarnation &owner, RelayRequest request)
{
    const auto found = peers_.find(owner.name_);
    if (found == peers_.end()) {
        events_.reply_(caller, errorReply(Code::UnknownJob, "entry \"" + owner.name_ + "\" is not known"));
        return;
    }
    Peer &peer = found->second;
    if (!peer.open_ || peer.remote_.number_ == 0) {
        events_.reply_(caller, errorReply(Code::OwnerUnreachable, "entry \"" + owner.name_ + "\" cannot be reached"));
        return;
    }
    if (peer.remote_ != owner) {
        events_.reply_(caller,
                       errorReply(Code::OwnerGone, "entry \"" + owner.name_ + "\" was started anew; tasks of the job may have run"));
        return;
    }
    request.relayId_ = nextRelay_++;
    peer.pendingRelays_[request.relayId_] = caller;
    peer.link_->send(encode(request));
}

void Peers::onLinkClosed(Peer &peer)
{
    peer.open_ = false;
    peer.remote_ = {};
    peer.pendingQueries_.clear();
    const auto relays = std::move(peer.pendingRelays_);
    peer.pendingRelays_.clear();
    for (const auto &[relay, caller] : relays) {
        events_.reply_(caller, errorReply(Code::OwnerUnreachable, "link to the job's home was lost"));
    }
}

void Peers::queryStatus(std::uint64_t version)
{
    for (auto &[name, peer] : peers_) {
        queryStatus(peer, version);
    }
}

void Peers::queryStatus(const std::string &name, std::uint64_t version)
{
    const auto found = peers_.find(name);
    if (found != peers_.end()) {
        queryStatus(found->second, version);
    }
}

// Skips a peer whose hello has not arrived: its incarnation is not known yet.
void Peers::queryStatus(Peer &peer, std::uint64_t version)
{
    if (!peer.open_ || peer.remote_.number_ == 0) {
        return;
    }
    const std::uint64_t number = nextQuery_++;
    peer.pendingQueries_[number] = bootClock();
    if (peer.pendingQueries_.size() > maxPendingQueries) {
        peer.pendingQueries_.erase(peer.pendingQueries_.begin());
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

void Peers::broadcastChanges(const PeerChanges &changes)
{
    for (const auto &[name, peer] : peers_) {
        sendChanges(name, changes);
    }
}

void Peers::sendChanges(const std::string &name, const PeerChanges &changes)
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
        log(LogLevel::Warning, component, message.error().text_);
        peer.link_->close();
        return;
    }
    std::visit([&](const auto &m) { onFrame(name, peer, m); }, message.value());
}

void Peers::onFrame(const std::string &name, Peer &peer, const PeerHello &hello)
{
    if (hello.entry_.name_ != name) {
        log(LogLevel::Error, component, "entry \"" + name + "\" in the settings identifies itself as \"" + hello.entry_.name_ + "\"");
        peer.link_->close();
        return;
    }
    peer.remote_ = hello.entry_;
}

void Peers::onFrame(const std::string & /*name*/, Peer &peer, const RelayReply &relayed)
{
    const auto found = peer.pendingRelays_.find(relayed.relayId_);
    if (found == peer.pendingRelays_.end()) {
        return;
    }
    const CallerRef caller = found->second;
    peer.pendingRelays_.erase(found);
    events_.reply_(caller, jsonReply(relayed.status_, relayed.body_));
}

void Peers::onFrame(const std::string &name, Peer &peer, const PeerStatusReply &statusReply)
{
    const auto found = peer.pendingQueries_.find(statusReply.number_);
    if (found == peer.pendingQueries_.end()) {
        return;
    }
    const PeerStatus status{found->second, statusReply.version_, statusReply.caughtUp_};
    peer.pendingQueries_.erase(peer.pendingQueries_.begin(), std::next(found));
    events_.peerStatus_(name, status);
}

void Peers::onFrame(const std::string & /*name*/, Peer & /*peer*/, const PeerChanges &changes)
{
    events_.changes_(changes);
}

template<typename T>
void Peers::onFrame(const std::string &name, Peer &peer, const T & /*unexpected*/)
{
    log(LogLevel::Warning, component, "link to entry \"" + name + "\" closed: unexpected message");
    peer.link_->close();
}

} // namespace ibiswall
