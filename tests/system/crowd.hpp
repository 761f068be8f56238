// Clients that send arbitrary bytes over many connections, and the resources that a process uses meanwhile.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>

namespace ibiswall::system {

/// What each client of a crowd sends.
struct Attack
{
    std::size_t clients_ = 8;
    /// Sent once by each client, by its number.
    std::function<std::string(std::size_t)> head_;
    /// Sent repeatedly after it, by the numbers of the client and of the part; may be empty.
    std::function<std::string(std::size_t, std::size_t)> part_;
    /// Each client stops sending after this many bytes of parts.
    std::size_t maxBytes_ = 0;
    /// Whether the clients read the replies.
    bool reads_ = true;
};

/// Largest use of a process in the samples taken.
struct Use
{
    std::size_t rssKilobytes_ = 0;
    std::size_t descriptors_ = 0;
};

/// Adds a sample from /proc.
void sampleUse(pid_t process, Use &use);

/// Connects the clients of an attack, sends until each has sent everything or the process refuses to read on, keeps the
/// connections open while `whileOpen` runs, then closes them. Samples the process throughout.
Use runAttack(std::uint16_t port, pid_t process, const Attack &attack, const std::function<void()> &whileOpen = {});

} // namespace ibiswall::system
