// Links between processes, with identification, heartbeats and at most one relay hop.

#include "mesh.hpp"

#include "meshwire.hpp"
#include "metrics.hpp"
#include <algorithm>
#include <ibiswall/log/eventlog.hpp>
#include <sys/resource.h>

namespace ibiswall::node {

using namespace wire;

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxFrame = 16U << 20U;
// Unsent bytes of one link. Links of small VMs drain slowly, and their memory holds a few dozen links.
constexpr std::size_t maxBuffered = 4U << 20U;
// Untrusted peers may connect and send malformed frames without end: at most one of each event is logged in this time.
constexpr Millis minLogInterval{10000};

LinkLimits meshLimits(const MeshSettings &settings)
{
    LinkLimits limits;
    limits.buffers_ = settings.buffers_;
    limits.maxFrameBytes_ = maxFrame;
    limits.maxBufferedBytes_ = maxBuffered;
    limits.maxReconnectDelay_ = {400};
    return limits;
}

// Half of the descriptors is left for callers, the store, metrics and files. Those of unidentified peers are an eighth of that half, apart
// from the links of peers.
LinkLimits serverLimits(const MeshSettings &settings)
{
    constexpr std::size_t linksShare = 2;
    constexpr std::size_t unidentifiedShare = 8;
    std::size_t descriptors = settings.maxDescriptors_;
    if (rlimit limit{}; descriptors == 0 && getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        descriptors = limit.rlim_cur;
    }
    LinkLimits limits = meshLimits(settings);
    const std::size_t forLinks = std::min(descriptors / linksShare, limits.maxLinks_);
    limits.maxUnidentified_ = std::clamp<std::size_t>(forLinks / unidentifiedShare, 1, limits.maxUnidentified_);
    limits.maxLinks_ = std::max<std::size_t>(forLinks - std::min(forLinks, limits.maxUnidentified_), 1);
    limits.identificationTimeout_ = settings.identificationTimeout_;
    return limits;
}

} // namespace

Mesh::Mesh(boost::asio::io_context &io, MeshSettings settings, MeshEvents events)
    : io_(io)
    , settings_(std::move(settings))
    , events_(std::move(events))
    , server_(io,
              serverLimits(settings_),
              {[this](LinkId id) {
                   onLinkOpened({false, id}, nullptr);
               },
               [this](LinkId id) {
                   onLinkClosed({false, id});
               },
               [this](LinkId id, std::string_view frame) {
                   onFrame({false, id}, frame);
               },
               [this](std::string_view reason) {
                   recordRefusedLink(reason);
               }})
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
        if (clients_.count(name) != 0 || !(connectsTo(name) || isMissed(name))) {
            continue;
        }
        const std::uint64_t base = nextClient_++ << 32U;
        auto clientRef = std::make_shared<std::weak_ptr<LinkClient>>();
        auto client = std::make_shared<LinkClient>(io_, address, meshLimits(settings_),
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

// Whether links to an entry are this process's to open.
bool Mesh::connectsTo(const std::string &entry) const
{
    return !settings_.self_.isEntry_ || settings_.self_.name_ < entry;
}

// Whether an entry has not connected although it should: it may not know of this one while it cannot read the registry.
bool Mesh::isMissed(const std::string &entry)
{
    const Millis now = bootClock();
    if (directLink(entry) != nullptr) {
        missedSince_.erase(entry);
        return false;
    }
    return now > missedSince_.try_emplace(entry, now).first->second + settings_.missedEntryDelay_;
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
        count("ibiswall_links_malformed_total");
        if (const Millis now = bootClock(); malformedLoggedAt_ == Millis{0} || now >= malformedLoggedAt_ + minLogInterval) {
            malformedLoggedAt_ = now;
            logEvent("link.malformed", {{"peer", std::string_view(failed->second.peer_.name_)}, {"reason", error.what()}});
        }
        failed->second.client_ ? failed->second.client_->drop() : server_.drop(key.second);
    }
}

void Mesh::onIdentification(Key key, Peer peer)
{
    Link &link = links_.at(key);
    if (link.identified_ || (!link.client_ && !server_.identify(link.id_))) {
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
    if (const auto client = clients_.find(name); !key.first && client != clients_.end() && !connectsTo(name)) {
        // The entry knows this one again. Without a client of this process, the two cannot replace each other's links in turn.
        client->second.second->stop();
        clients_.erase(client);
        missedSince_.erase(name);
    }
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

void Mesh::drop(const std::string &name)
{
    if (const Link *link = directLink(name); link != nullptr) {
        link->client_ ? link->client_->drop() : server_.drop(link->id_);
    }
}

void Mesh::recordRefusedLink(std::string_view reason)
{
    count("ibiswall_links_refused_total", std::string(reason));
    ++refusedLinks_;
    const Millis now = bootClock();
    if (refusalLoggedAt_ != Millis{0} && now < refusalLoggedAt_ + minLogInterval) {
        return;
    }
    refusalLoggedAt_ = now;
    logEvent("link.refused", {{"reason", reason}, {"refused", static_cast<std::int64_t>(refusedLinks_)}});
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
