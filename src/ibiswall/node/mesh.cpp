// Links between processes, with identification, heartbeats and at most one relay hop.

#include "mesh.hpp"

#include <nlohmann/json.hpp>

namespace ibiswall::node {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxFrame = 16U << 20U;

// First byte of every frame on a link.
enum Kind : char {
    Identification = 'i',
    Heartbeat = 'b',
    Neighbours = 'n',
    Payload = 'p',
    /// To be relayed: the rest is CBOR of [to, from, payload].
    Relayed = 'r',
};

std::string pack(Kind kind, const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    std::string frame(1, kind);
    frame.append(bytes.begin(), bytes.end());
    return frame;
}

Json formatPeer(const Peer &peer)
{
    return Json::array({peer.name_, peer.incarnation_, peer.isEntry_, peer.path_});
}

Peer parsePeer(const Json &json)
{
    return {json.at(0).get<std::string>(), json.at(1).get<std::int64_t>(), json.at(2).get<bool>(), json.at(3).get<std::uint64_t>()};
}

Json binary(std::string_view bytes)
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

bool samePeer(const Peer &a, const Peer &b)
{
    return a.name_ == b.name_ && a.incarnation_ == b.incarnation_ && a.path_ == b.path_;
}

// Path number of a relayed path, different from those of direct links and of other relayed paths.
std::uint64_t relayedPath(std::uint64_t linkSerial, std::uint64_t peerPath)
{
    constexpr unsigned linkShift = 32;
    return (linkSerial << linkShift) + peerPath + 1;
}

LinkLimits meshLimits()
{
    LinkLimits limits;
    limits.maxFrameBytes_ = maxFrame;
    limits.maxReconnectDelay_ = {400};
    return limits;
}

} // namespace

Mesh::Mesh(boost::asio::io_context &io, MeshSettings settings, MeshEvents events)
    : io_(io)
    , settings_(std::move(settings))
    , events_(std::move(events))
    , server_(io,
              meshLimits(),
              {[this](LinkId id) {
                   onLinkOpened({false, id}, nullptr);
               },
               [this](LinkId id) {
                   onLinkClosed({false, id});
               },
               [this](LinkId id, std::string_view frame) {
                   onFrame({false, id}, frame);
               },
               {}})
    , timer_(io)
{
    tick();
}

Result<std::uint16_t> Mesh::listen()
{
    return server_.listen(settings_.listen_);
}

void Mesh::setEntries(const std::map<std::string, Address> &entries)
{
    for (auto each = clients_.begin(); each != clients_.end();) {
        const auto wanted = entries.find(each->first);
        if (wanted == entries.end() || !(wanted->second == each->second.first)) {
            each->second.second->stop();
            each = clients_.erase(each);
        } else {
            ++each;
        }
    }
    for (const auto &[name, address] : entries) {
        const bool connects = settings_.self_.isEntry_ ? settings_.self_.name_ < name : true;
        if (!connects || clients_.count(name) != 0) {
            continue;
        }
        const std::uint64_t base = nextClient_++ << 32U;
        auto clientRef = std::make_shared<std::weak_ptr<LinkClient>>();
        auto client = std::make_shared<LinkClient>(io_, address, meshLimits(),
                                                   LinkEvents{[this, base, clientRef](LinkId id) {
                                                                  onLinkOpened({true, base + id}, clientRef->lock());
                                                              },
                                                              [this, base](LinkId id) {
                                                                  onLinkClosed({true, base + id});
                                                              },
                                                              [this, base](LinkId id, std::string_view frame) {
                                                                  onFrame({true, base + id}, frame);
                                                              },
                                                              {}});
        *clientRef = client;
        clients_[name] = {address, client};
        client->start();
    }
}

void Mesh::onLinkOpened(Key key, std::shared_ptr<LinkClient> client)
{
    Link &link = links_[key];
    link.client_ = std::move(client);
    link.id_ = key.second;
    link.serial_ = nextSerial_++;
    link.lastContactAt_ = bootClock();
    sendOn(link, pack(Identification, formatPeer(settings_.self_)));
}

void Mesh::onLinkClosed(Key key)
{
    const auto found = links_.find(key);
    if (found == links_.end()) {
        return;
    }
    const bool identified = found->second.identified_;
    links_.erase(found);
    if (identified) {
        sendNeighbours();
        refreshReachable();
    }
}

void Mesh::sendOn(Link &link, std::string_view frame)
{
    link.sentAt_ = bootClock();
    if (link.client_) {
        link.client_->send(frame);
    } else {
        server_.send(link.id_, frame);
    }
}

void Mesh::onFrame(Key key, std::string_view frame)
{
    const auto found = links_.find(key);
    if (found == links_.end() || frame.empty()) {
        return;
    }
    Link &link = found->second;
    link.lastContactAt_ = bootClock();
    const std::string_view rest = frame.substr(1);
    try {
        switch (frame.front()) {
        case Identification:
            onIdentification(key, link, parsePeer(Json::from_cbor(rest)));
            break;
        case Neighbours:
            link.neighbours_.clear();
            for (const Json &each : Json::from_cbor(rest)) {
                Peer peer = parsePeer(each);
                link.neighbours_[peer.name_] = peer;
            }
            refreshReachable();
            break;
        case Payload:
            if (link.identified_) {
                const std::string name = link.peer_.name_;
                events_.received_(name, rest);
            }
            break;
        case Relayed:
            relay(link, rest);
            break;
        default:
            break;
        }
    } catch (const nlohmann::json::exception &) {
        // A peer that sends malformed frames is disconnected.
        drop(link.peer_.name_);
    }
}

void Mesh::onIdentification(Key key, Link &link, Peer peer)
{
    link.peer_ = std::move(peer);
    link.peer_.path_ = link.serial_;
    link.identified_ = true;
    // The newest link to a peer replaces an older one, which may be half-open.
    std::vector<Key> older;
    for (const auto &[other, each] : links_) {
        if (other != key && each.identified_ && each.peer_.name_ == link.peer_.name_) {
            older.push_back(other);
        }
    }
    for (const Key &each : older) {
        const Link old = links_[each];
        links_.erase(each);
        old.client_ ? old.client_->drop() : server_.drop(old.id_);
    }
    sendNeighbours();
    refreshReachable();
}

void Mesh::relay(Link &link, std::string_view bytes)
{
    const Json json = Json::from_cbor(bytes);
    const std::string to = json.at(0).get<std::string>();
    const std::string from = json.at(1).get<std::string>();
    const auto &payload = json.at(2).get_binary();
    if (to == settings_.self_.name_) {
        events_.received_(from, std::string_view(reinterpret_cast<const char *>(payload.data()), payload.size()));
    } else if (Link *next = directLink(to); next != nullptr && next != &link) {
        std::string frame(1, Relayed);
        frame.append(bytes);
        sendOn(*next, frame);
    }
}

Mesh::Link *Mesh::directLink(const std::string &name)
{
    for (auto &[key, link] : links_) {
        if (link.identified_ && link.peer_.name_ == name) {
            return &link;
        }
    }
    return nullptr;
}

bool Mesh::send(const std::string &name, std::string_view frame)
{
    if (Link *link = directLink(name); link != nullptr) {
        sendOn(*link, std::string(1, Payload).append(frame));
        return true;
    }
    for (auto &[key, link] : links_) {
        if (link.identified_ && link.peer_.isEntry_ && link.neighbours_.count(name) != 0) {
            sendOn(link, pack(Relayed, Json::array({name, settings_.self_.name_, binary(frame)})));
            return true;
        }
    }
    return false;
}

// Only entries relay, so only they announce their links.
void Mesh::sendNeighbours()
{
    if (!settings_.self_.isEntry_) {
        return;
    }
    Json neighbours = Json::array();
    for (const auto &[key, link] : links_) {
        if (link.identified_) {
            neighbours.push_back(formatPeer(link.peer_));
        }
    }
    const std::string frame = pack(Neighbours, neighbours);
    for (auto &[key, link] : links_) {
        if (link.identified_) {
            sendOn(link, frame);
        }
    }
}

std::vector<Peer> Mesh::reachable() const
{
    std::map<std::string, Peer> peers;
    for (const auto &[key, link] : links_) {
        if (link.identified_ && link.peer_.isEntry_) {
            for (const auto &[name, peer] : link.neighbours_) {
                if (name != settings_.self_.name_ && peers.count(name) == 0) {
                    peers[name] = peer;
                    peers[name].path_ = relayedPath(link.serial_, peer.path_);
                }
            }
        }
    }
    for (const auto &[key, link] : links_) {
        if (link.identified_) {
            peers[link.peer_.name_] = link.peer_;
        }
    }
    std::vector<Peer> out;
    out.reserve(peers.size());
    for (auto &[name, peer] : peers) {
        out.push_back(std::move(peer));
    }
    return out;
}

bool Mesh::isReachable(const std::string &name) const
{
    return reportedPeers_.count(name) != 0;
}

// Reports the peers that have become reachable or unreachable since the last call.
void Mesh::refreshReachable()
{
    std::map<std::string, Peer> now;
    for (Peer &peer : reachable()) {
        std::string name = peer.name_;
        now[std::move(name)] = std::move(peer);
    }
    const std::map<std::string, Peer> before = std::exchange(reportedPeers_, now);
    for (const auto &[name, peer] : before) {
        if (now.count(name) == 0) {
            events_.down_(name);
        }
    }
    for (const auto &[name, peer] : now) {
        const auto old = before.find(name);
        if (old == before.end() || !samePeer(old->second, peer)) {
            events_.up_(peer);
        }
    }
}

void Mesh::drop(const std::string &name)
{
    for (auto &[key, link] : links_) {
        if (link.peer_.name_ == name) {
            link.client_ ? link.client_->drop() : server_.drop(link.id_);
        }
    }
}

void Mesh::tick()
{
    const Millis now = bootClock();
    std::vector<std::pair<std::shared_ptr<LinkClient>, LinkId>> timedOut;
    for (auto &[key, link] : links_) {
        if (now > link.lastContactAt_ + settings_.linkTimeout_) {
            timedOut.emplace_back(link.client_, link.id_);
        } else if (now >= link.sentAt_ + settings_.heartbeatInterval_) {
            sendOn(link, std::string(1, Heartbeat));
        }
    }
    for (const auto &[client, id] : timedOut) {
        client ? client->drop() : server_.drop(id);
    }
    timer_.expires_after(std::chrono::milliseconds(settings_.heartbeatInterval_.count_ / 2));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

void Mesh::stop()
{
    timer_.cancel();
    for (auto &[name, client] : clients_) {
        client.second->stop();
    }
    server_.stop();
}

} // namespace ibiswall::node
