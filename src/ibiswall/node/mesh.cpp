// Links between processes, with identification, heartbeats and at most one relay hop.

#include "mesh.hpp"

#include <algorithm>
#include <ibiswall/cell/cbor.hpp>
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxFrame = 16U << 20U;
// Unsent bytes of one link. Links of small VMs drain slowly, and their memory holds a few dozen links.
constexpr std::size_t maxBuffered = 4U << 20U;

// First byte of every frame on a link.
enum Kind : char {
    Identification = 'i',
    Heartbeat = 'b',
    /// From an entry to an entry: the peers that the sender has direct links to.
    Neighbours = 'n',
    /// From an entry to an entry: links that the sender has opened and closed since its last announcement.
    NeighbourChanges = 'c',
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
    limits.maxBufferedBytes_ = maxBuffered;
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
    , announceTimer_(io)
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
    if (links_.count(key) != 0) {
        removeLink(key);
    }
}

// Forgets a link and all paths that begin with it.
void Mesh::removeLink(Key key)
{
    const auto found = links_.find(key);
    const Link link = std::move(found->second);
    links_.erase(found);
    if (!link.identified_) {
        return;
    }
    for (const std::string &name : link.neighbours_) {
        removeRelay(key, name);
    }
    if (Paths &paths = paths_[link.peer_.name_]; paths.direct_ == key) {
        paths.direct_.reset();
        announceLink(link.peer_.name_);
    }
    refresh(link.peer_.name_);
    if (!settings_.self_.isEntry_) {
        std::vector<std::string> names;
        for (const auto &[name, paths] : paths_) {
            names.push_back(name);
        }
        for (const std::string &name : names) {
            reportLostFrames(key, name);
        }
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
        if (frame.front() == Identification) {
            onIdentification(key, parsePeer(cell::parseCbor(rest)));
        } else if (!link.identified_) {
            return;
        } else if (frame.front() == Neighbours) {
            onNeighbours(key, rest);
        } else if (frame.front() == NeighbourChanges) {
            onNeighbourChanges(key, rest);
        } else if (frame.front() == Payload) {
            const std::string name = link.peer_.name_;
            events_.received_(name, rest);
        } else if (frame.front() == Relayed) {
            relay(key, rest);
        }
    } catch (const std::exception &error) {
        // A peer that sends malformed frames is disconnected.
        const auto failed = links_.find(key);
        if (failed == links_.end()) {
            return;
        }
        logEvent("link.malformed", {{"peer", std::string_view(failed->second.peer_.name_)}, {"reason", error.what()}});
        failed->second.client_ ? failed->second.client_->drop() : server_.drop(key.second);
    }
}

void Mesh::onIdentification(Key key, Peer peer)
{
    Link &link = links_.at(key);
    if (link.identified_) {
        return;
    }
    link.peer_ = std::move(peer);
    link.peer_.path_ = link.serial_;
    link.identified_ = true;
    const std::string name = link.peer_.name_;
    Paths &paths = paths_[name];
    const std::optional<Key> older = std::exchange(paths.direct_, key);
    if (older) {
        // The newest link to a peer replaces an older one, which may be half-open.
        const Link old = links_.at(*older);
        removeLink(*older);
        old.client_ ? old.client_->drop() : server_.drop(old.id_);
    }
    announceLink(name);
    if (settings_.self_.isEntry_ && link.peer_.isEntry_) {
        Json neighbours = Json::array();
        for (const auto &[each, other] : links_) {
            if (other.identified_ && each != key) {
                neighbours.push_back(formatPeer(other.peer_));
            }
        }
        sendOn(link, pack(Neighbours, neighbours));
    }
    refresh(name);
}

void Mesh::onNeighbours(Key key, std::string_view bytes)
{
    for (const std::string &name : std::set<std::string>(links_.at(key).neighbours_)) {
        removeRelay(key, name);
    }
    for (const Json &each : cell::parseCbor(bytes)) {
        addRelay(key, parsePeer(each));
    }
}

void Mesh::onNeighbourChanges(Key key, std::string_view bytes)
{
    const Json changes = cell::parseCbor(bytes);
    for (const Json &each : changes.at(1)) {
        removeRelay(key, each.get<std::string>());
    }
    for (const Json &each : changes.at(0)) {
        addRelay(key, parsePeer(each));
    }
}

void Mesh::addRelay(Key key, Peer peer)
{
    const auto link = links_.find(key);
    if (link == links_.end() || peer.name_ == settings_.self_.name_) {
        return;
    }
    peer.path_ = relayedPath(link->second.serial_, peer.path_);
    const std::string name = peer.name_;
    link->second.neighbours_.insert(name);
    paths_[name].relays_[key] = std::move(peer);
    refresh(name);
}

void Mesh::removeRelay(Key key, const std::string &name)
{
    if (const auto link = links_.find(key); link != links_.end()) {
        link->second.neighbours_.erase(name);
    }
    if (const auto paths = paths_.find(name); paths != paths_.end() && paths->second.relays_.erase(key) > 0) {
        refresh(name);
        reportLostFrames(key, name);
    }
}

void Mesh::relay(Key key, std::string_view bytes)
{
    const Json json = cell::parseCbor(bytes);
    const std::string to = json.at(0).get<std::string>();
    const std::string from = json.at(1).get<std::string>();
    const auto &payload = json.at(2).get_binary();
    if (to == settings_.self_.name_) {
        if (const auto paths = paths_.find(from); paths != paths_.end() || !settings_.self_.isEntry_) {
            paths_[from].arrivedOn_ = key;
        }
        events_.received_(from, std::string_view(reinterpret_cast<const char *>(payload.data()), payload.size()));
    } else if (Link *next = directLink(to); next != nullptr && next != &links_.at(key)) {
        std::string frame(1, Relayed);
        frame.append(bytes);
        sendOn(*next, frame);
    }
}

Mesh::Link *Mesh::directLink(const std::string &name)
{
    const auto paths = paths_.find(name);
    return paths == paths_.end() || !paths->second.direct_ ? nullptr : &links_.at(*paths->second.direct_);
}

bool Mesh::isFresh(Key key) const
{
    const auto link = links_.find(key);
    return link != links_.end() && bootClock() <= link->second.lastContactAt_ + settings_.silentLinkAge_;
}

// The link to an entry that relays frames to a peer: the one over which the peer's latest relayed frame has arrived, or one to an
// entry that has announced the peer. Agents receive no announcements and try any entry. Links that are not silent go first.
std::optional<Mesh::Key> Mesh::relayTo(const Paths &paths) const
{
    std::vector<Key> candidates;
    if (paths.arrivedOn_ && links_.count(*paths.arrivedOn_) != 0) {
        candidates.push_back(*paths.arrivedOn_);
    }
    if (paths.relays_.count(paths.reportedLink_) != 0) {
        candidates.push_back(paths.reportedLink_);
    }
    for (const auto &[key, peer] : paths.relays_) {
        candidates.push_back(key);
    }
    for (const auto &[key, link] : links_) {
        if (!settings_.self_.isEntry_ && link.identified_ && key != paths.direct_) {
            candidates.push_back(key);
        }
    }
    const auto fresh = std::find_if(candidates.begin(), candidates.end(), [this](Key key) { return isFresh(key); });
    if (fresh != candidates.end()) {
        return *fresh;
    }
    return candidates.empty() ? std::nullopt : std::optional(candidates.front());
}

// The first link on the way to a peer.
std::optional<Mesh::Key> Mesh::linkTo(const Paths &paths) const
{
    if (paths.direct_ && isFresh(*paths.direct_)) {
        return paths.direct_;
    }
    const std::optional<Key> relay = relayTo(paths);
    return paths.direct_ && !(relay && isFresh(*relay)) ? paths.direct_ : relay;
}

bool Mesh::send(const std::string &name, std::string_view frame)
{
    const auto found = paths_.find(name);
    const std::optional<Key> key = found == paths_.end() ? std::nullopt : linkTo(found->second);
    if (!key) {
        return false;
    }
    Link &link = links_.at(*key);
    if (key == found->second.direct_) {
        sendOn(link, std::string(1, Payload).append(frame));
    } else {
        found->second.sentOn_.insert(*key);
        sendOn(link, pack(Relayed, Json::array({name, settings_.self_.name_, binary(frame)})));
    }
    return true;
}

// Frames to a peer may have been lost with a relay that is not the reported path: reports the path again.
void Mesh::reportLostFrames(Key key, const std::string &name)
{
    const auto found = paths_.find(name);
    if (found == paths_.end() || found->second.sentOn_.erase(key) == 0) {
        return;
    }
    if (found->second.reported_) {
        events_.up_(*found->second.reported_);
    } else if (!settings_.self_.isEntry_) {
        Peer peer;
        peer.name_ = name;
        events_.up_(peer);
    }
}

// Only entries relay, so only they announce their links.
void Mesh::announceLink(const std::string &name)
{
    if (!settings_.self_.isEntry_) {
        return;
    }
    unannounced_.insert(name);
    if (unannounced_.size() > 1) {
        return;
    }
    announceTimer_.expires_after(std::chrono::milliseconds(settings_.announceDelay_.count_));
    announceTimer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            flushAnnouncements();
        }
    });
}

void Mesh::flushAnnouncements()
{
    Json opened = Json::array();
    Json closed = Json::array();
    for (const std::string &name : std::exchange(unannounced_, {})) {
        if (const Link *link = directLink(name); link != nullptr) {
            opened.push_back(formatPeer(link->peer_));
        } else {
            closed.push_back(name);
        }
    }
    const std::string frame = pack(NeighbourChanges, Json::array({std::move(opened), std::move(closed)}));
    for (auto &[key, link] : links_) {
        if (link.identified_ && link.peer_.isEntry_) {
            sendOn(link, frame);
        }
    }
}

std::vector<Peer> Mesh::reachable() const
{
    std::vector<Peer> out;
    for (const auto &[name, paths] : paths_) {
        if (paths.reported_) {
            out.push_back(*paths.reported_);
        }
    }
    return out;
}

bool Mesh::isReachable(const std::string &name) const
{
    const auto found = paths_.find(name);
    return found != paths_.end() && found->second.reported_;
}

// Chooses the path to a peer, and reports it if it differs from the one reported before. A direct path is preferred, then
// the one in use, so that a further relay does not interrupt the traffic.
void Mesh::refresh(const std::string &name)
{
    const auto found = paths_.find(name);
    if (found == paths_.end()) {
        return;
    }
    Paths &paths = found->second;
    std::optional<Peer> now;
    if (paths.direct_) {
        now = links_.at(*paths.direct_).peer_;
        paths.reportedLink_ = *paths.direct_;
    } else if (!paths.relays_.empty()) {
        const auto current = paths.relays_.find(paths.reportedLink_);
        const auto &[key, peer] = current != paths.relays_.end() ? *current : *paths.relays_.begin();
        now = peer;
        paths.reportedLink_ = key;
    }
    const std::optional<Peer> before = std::exchange(paths.reported_, now);
    if (!now && (settings_.self_.isEntry_ || !paths.arrivedOn_)) {
        paths_.erase(found);
    }
    if (!now && before) {
        events_.down_(name);
    } else if (now && !(before && samePeer(*before, *now))) {
        events_.up_(*now);
    }
}

void Mesh::drop(const std::string &name)
{
    if (const Link *link = directLink(name); link != nullptr) {
        link->client_ ? link->client_->drop() : server_.drop(link->id_);
    }
}

void Mesh::tick()
{
    timer_.expires_after(std::chrono::milliseconds(settings_.heartbeatInterval_.count_ / 3));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
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
}

void Mesh::stop()
{
    timer_.cancel();
    announceTimer_.cancel();
    for (auto &[name, client] : clients_) {
        client.second->stop();
    }
    server_.stop();
}

} // namespace ibiswall::node
