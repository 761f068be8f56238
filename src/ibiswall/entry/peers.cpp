// Client side of relaying between entries.

#include "peers.hpp"

#include <ibiswall/log.hpp>

namespace ibiswall {

namespace {

constexpr std::string_view part = "entry.peers";
constexpr Millis askAgain{1000};

HttpReply refusal(Code code, const std::string &text)
{
    HttpReply reply = jsonReply(httpStatus(code), formatError({code, text}));
    reply.retryAfter_ = code == Code::HomeUnreachable ? askAgain : Millis{0};
    return reply;
}

} // namespace

Peers::Peers(boost::asio::io_context &io,
             Incarnation self,
             const std::vector<PeerPlace> &places,
             std::function<void(CallerRef, HttpReply)> reply)
    : self_(std::move(self))
    , reply_(std::move(reply))
{
    for (const PeerPlace &place : places) {
        Peer &peer = peers_[place.name_];
        LinkEvents events;
        events.opened_ = [this, &peer](LinkId /*link*/) {
            peer.open_ = true;
            peer.link_->send(encode(PeerHello{protocolVersion, self_}));
        };
        events.closed_ = [this, &peer](LinkId /*link*/) {
            closed(peer);
        };
        events.received_ = [this, &peer](LinkId /*link*/, std::string_view frame) {
            receive(peer, frame);
        };
        peer.link_ = std::make_unique<LinkClient>(io, place.links_, LinkLimits{}, std::move(events));
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
        reply_(caller, refusal(Code::UnknownJob, "entry \"" + home.name_ + "\" is not known"));
        return;
    }
    Peer &peer = found->second;
    if (!peer.open_ || peer.remote_.number_ == 0) {
        reply_(caller, refusal(Code::HomeUnreachable, "entry \"" + home.name_ + "\" cannot be reached"));
        return;
    }
    if (peer.remote_ != home) {
        reply_(caller, refusal(Code::HomeGone, "entry \"" + home.name_ + "\" was started anew; tasks of the job may have run"));
        return;
    }
    request.relay_ = nextRelay_++;
    peer.waiting_[request.relay_] = caller;
    peer.link_->send(encode(request));
}

void Peers::closed(Peer &peer)
{
    peer.open_ = false;
    peer.remote_ = {};
    const auto waiting = std::move(peer.waiting_);
    peer.waiting_.clear();
    for (const auto &[relay, caller] : waiting) {
        reply_(caller, refusal(Code::HomeUnreachable, "link to the job's home was lost"));
    }
}

void Peers::receive(Peer &peer, std::string_view frame)
{
    const auto message = decode(frame);
    if (message.has_error()) {
        log(LogLevel::Warning, part, message.error().text_);
        peer.link_->close();
        return;
    }
    if (const auto *hello = std::get_if<PeerHello>(&message.value())) {
        peer.remote_ = hello->entry_;
        return;
    }
    const auto *reply = std::get_if<RelayReply>(&message.value());
    const auto found = reply == nullptr ? peer.waiting_.end() : peer.waiting_.find(reply->relay_);
    if (found == peer.waiting_.end()) {
        return;
    }
    const CallerRef caller = found->second;
    peer.waiting_.erase(found);
    reply_(caller, jsonReply(reply->status_, reply->body_));
}

} // namespace ibiswall
