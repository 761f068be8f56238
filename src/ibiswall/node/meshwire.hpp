// Frames between the two ends of a link, beneath the frames of the cell.

#pragma once

#include "mesh.hpp"
#include <ibiswall/cell/cbor.hpp>
#include <stdexcept>

namespace ibiswall::node::wire {

/// First byte of every frame on a link.
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

inline std::string pack(Kind kind, const nlohmann::json &json)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(json);
    std::string frame(1, kind);
    frame.append(bytes.begin(), bytes.end());
    return frame;
}

inline nlohmann::json formatPeer(const Peer &peer)
{
    return nlohmann::json::array({peer.name_, peer.incarnation_, peer.isEntry_, peer.path_});
}

/// Names of settings have at most 64 characters. Throws std::out_of_range for a longer one, which no process of the cell has.
inline std::string parseName(const nlohmann::json &json)
{
    constexpr std::size_t maxName = 64;
    const auto &name = json.get_ref<const std::string &>();
    if (name.size() > maxName) {
        throw std::out_of_range("name of " + std::to_string(name.size()) + " bytes");
    }
    return name;
}

inline Peer parsePeer(const nlohmann::json &json)
{
    return {parseName(json.at(0)), json.at(1).get<std::int64_t>(), json.at(2).get<bool>(), json.at(3).get<std::uint64_t>()};
}

inline nlohmann::json binary(std::string_view bytes)
{
    return nlohmann::json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

} // namespace ibiswall::node::wire
