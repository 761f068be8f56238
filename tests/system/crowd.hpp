// Clients that send arbitrary bytes over many connections, and the resources that a process uses meanwhile.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

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
    /// Number of replies that a client awaits before it sends the next part; 0 to send without waiting.
    std::size_t repliesPerPart_ = 0;
};

/// Largest use of a process in the samples taken.
struct Use
{
    std::size_t rssKilobytes_ = 0;
    std::size_t descriptors_ = 0;
};

/// Adds a sample from /proc.
void sampleUse(pid_t process, Use &use);

/// Use of a process until now: its largest resident memory and its open descriptors.
Use peakUse(pid_t process);

/// Start of a request up to its own header fields, which end with a line break each, without the blank line.
std::string requestHead(const std::string &line, const std::string &fields);

/// Completes a request.
std::string withBody(const std::string &head, const std::string &body);

/// Connects the clients of an attack, sends until each has sent everything or the process refuses to read on, keeps the
/// connections open while `whileOpen` runs, then closes them. Samples the process throughout.
Use runAttack(std::uint16_t port, pid_t process, const Attack &attack, const std::function<void()> &whileOpen = {});

/// The same with the clients divided among several ports.
/// @return the use of each process
std::vector<Use> runAttack(const std::vector<std::uint16_t> &ports,
                           const std::vector<pid_t> &processes,
                           const Attack &attack,
                           const std::function<void()> &whileOpen = {});

} // namespace ibiswall::system
