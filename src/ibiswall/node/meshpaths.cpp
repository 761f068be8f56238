// Paths between the processes of a cell: what entries announce to one another, and the choice of the link for a frame.

#include "mesh.hpp"

#include "meshwire.hpp"
#include <algorithm>
#include <stdexcept>

namespace ibiswall::node {

using namespace wire;

namespace {

using Json = nlohmann::json;

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

} // namespace

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
    if (link->second.neighbours_.size() >= settings_.maxNeighbours_) {
        throw std::out_of_range("more than " + std::to_string(settings_.maxNeighbours_) + " neighbours");
    }
    if (paths_.size() >= settings_.maxPeers_ && paths_.count(peer.name_) == 0) {
        // Its direct link is still accepted.
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
        if (paths->second.arrivedOn_ == key) {
            paths->second.arrivedOn_.reset();
        }
        refresh(name);
        reportLostFrames(key, name);
    }
}

void Mesh::relay(Key key, std::string_view bytes)
{
    const Json json = cell::parseCbor(bytes);
    const std::string to = parseName(json.at(0));
    const std::string from = parseName(json.at(1));
    const auto &payload = json.at(2).get_binary();
    if (to == settings_.self_.name_) {
        const auto paths = paths_.find(from);
        const bool announced = paths != paths_.end() && paths->second.relays_.count(key) != 0;
        const bool isRecorded = paths != paths_.end() || paths_.size() < settings_.maxPeers_;
        if (announced || (!settings_.self_.isEntry_ && isRecorded)) {
            paths_[from].arrivedOn_ = key;
        }
        events_.received_(from, std::string_view(reinterpret_cast<const char *>(payload.data()), payload.size()));
    } else if (from != links_.at(key).peer_.name_) {
        // An agent keeps the sender of every relayed frame, so a peer must not be able to invent senders.
        throw std::out_of_range("relayed frame of another sender");
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

std::size_t Mesh::unsentBytes(const std::string &name) const
{
    const auto found = paths_.find(name);
    const std::optional<Key> key = found == paths_.end() ? std::nullopt : linkTo(found->second);
    const auto link = key ? links_.find(*key) : links_.end();
    if (link == links_.end()) {
        return 0;
    }
    return link->second.client_ ? link->second.client_->unsentBytes() : server_.unsentBytes(link->second.id_);
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

} // namespace ibiswall::node
