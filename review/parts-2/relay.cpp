// Forwards bytes with a thread for each direction of a connection.

#include "relay.hpp"

#include "http.hpp"

#include <chrono>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

namespace {

constexpr std::size_t bufferSize = 65536;
constexpr std::chrono::milliseconds pollInterval(2);

} // namespace

Relay::Relay(std::uint16_t target)
    : target_(target)
{
    const int listener = listenOnFreePort(port_);
    std::thread([this, listener] { serve(listener); }).detach();
}

std::uint16_t Relay::port() const
{
    return port_;
}

void Relay::cut(bool cut)
{
    cut_ = cut;
}

void Relay::serve(int listener)
{
    for (;;) {
        const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            continue;
        }
        std::thread([this, client] {
            while (cut_) {
                std::this_thread::sleep_for(pollInterval);
            }
            const int server = connectTo(target_);
            if (server < 0) {
                close(client);
                return;
            }
            std::thread([this, client, server] { forward(client, server); }).detach();
            forward(server, client);
        }).detach();
    }
}

void Relay::forward(int from, int to) const
{
    std::vector<char> buffer(bufferSize);
    for (;;) {
        const ssize_t got = recv(from, buffer.data(), buffer.size(), 0);
        while (cut_) {
            std::this_thread::sleep_for(pollInterval);
        }
        if (got <= 0) {
            break;
        }
        for (ssize_t sent = 0; sent < got;) {
            const ssize_t count = send(to, buffer.data() + sent, static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
            if (count <= 0) {
                break;
            }
            sent += count;
        }
    }
    // Wakes the thread of the other direction. The descriptors stay open until the process ends, since both threads use them.
    shutdown(from, SHUT_RDWR);
    shutdown(to, SHUT_RDWR);
}

} // namespace review
