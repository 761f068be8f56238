// HTTP over blocking sockets.

#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <mutex>
#include <netinet/tcp.h>
#include <random>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t readSize = 65536;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int openSocket()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        throw std::runtime_error("no socket");
    }
    return socket;
}

void setFlag(int socket, int level, int option)
{
    const int enabled = 1;
    setsockopt(socket, level, option, &enabled, sizeof(enabled));
}

int bindFreePort(std::uint16_t &port)
{
    constexpr int first = 10000;
    constexpr int last = 30000;
    static std::mutex mutex;
    static std::mt19937 random(std::random_device{}());
    static std::set<int> tried;
    const std::lock_guard<std::mutex> lock(mutex);
    for (;;) {
        const int candidate = std::uniform_int_distribution<int>(first, last)(random);
        if (!tried.insert(candidate).second) {
            continue;
        }
        const int socket = openSocket();
        const sockaddr_in address = loopback(static_cast<std::uint16_t>(candidate));
        if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
            port = static_cast<std::uint16_t>(candidate);
            return socket;
        }
        close(socket);
    }
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string percentDecode(const std::string &text)
{
    constexpr int hexadecimal = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hexadecimal));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

// Reads one message: its first line, its headers and its body. Returns false if the connection ends before.
bool readMessage(int socket, std::string &buffer, std::string &line, std::map<std::string, std::string> &headers, std::string &body)
{
    const auto readMore = [&] {
        std::string chunk(readSize, '\0');
        const ssize_t got = recv(socket, chunk.data(), chunk.size(), 0);
        if (got <= 0) {
            return false;
        }
        buffer.append(chunk, 0, static_cast<std::size_t>(got));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            return false;
        }
    }
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    line = head.substr(0, at);
    headers.clear();
    for (at += 2; at < head.size();) {
        const std::size_t next = head.find("\r\n", at);
        const std::string field = head.substr(at, next - at);
        const std::size_t colon = field.find(':');
        if (colon != std::string::npos) {
            const std::size_t begin = field.find_first_not_of(' ', colon + 1);
            headers[lower(field.substr(0, colon))] = begin == std::string::npos ? std::string() : field.substr(begin);
        }
        at = next + 2;
    }
    const auto length = headers.find("content-length");
    const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < size) {
        if (!readMore()) {
            return false;
        }
    }
    body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

Request toRequest(const std::string &line, std::map<std::string, std::string> headers, std::string body)
{
    Request request;
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    request.method_ = line.substr(0, first);
    const std::string target = line.substr(first + 1, second - first - 1);
    const std::size_t question = target.find('?');
    request.path_ = target.substr(0, question);
    for (std::size_t at = question; at != std::string::npos;) {
        const std::size_t next = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            request.query_[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
        }
        at = next;
    }
    request.headers_ = std::move(headers);
    request.body_ = std::move(body);
    return request;
}

void serveConnection(int socket, const Handler &handler)
{
    setFlag(socket, IPPROTO_TCP, TCP_NODELAY);
    std::string buffer;
    std::string line;
    std::string body;
    std::map<std::string, std::string> headers;
    while (readMessage(socket, buffer, line, headers, body)) {
        const std::optional<Reply> reply = handler(toRequest(line, headers, body));
        if (!reply) {
            // Never answered: the connection stays open until the other side closes it.
            continue;
        }
        if (!sendAll(socket,
                     "HTTP/1.1 " + std::to_string(reply->status_) + " -\r\nContent-Type: application/json\r\nContent-Length: "
                         + std::to_string(reply->body_.size()) + "\r\n\r\n" + reply->body_)) {
            break;
        }
    }
}

} // namespace

std::int64_t nowMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

int listenOnFreePort(std::uint16_t &port)
{
    const int socket = bindFreePort(port);
    if (listen(socket, SOMAXCONN) != 0) {
        throw std::runtime_error("cannot listen");
    }
    return socket;
}

std::uint16_t reservePort()
{
    std::uint16_t port = 0;
    // The socket stays bound, so that nobody else gets the port; with this option the child can listen nevertheless.
    setFlag(bindFreePort(port), SOL_SOCKET, SO_REUSEADDR);
    return port;
}

int connectTo(std::uint16_t port)
{
    const int socket = openSocket();
    const sockaddr_in address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(socket);
        return -1;
    }
    setFlag(socket, IPPROTO_TCP, TCP_NODELAY);
    return socket;
}

void serveOn(int listener, Handler handler)
{
    std::thread([listener, handler = std::move(handler)] {
        for (;;) {
            const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0) {
                std::thread([socket, handler] {
                    serveConnection(socket, handler);
                    close(socket);
                }).detach();
            }
        }
    }).detach();
}

std::uint16_t serve(Handler handler)
{
    std::uint16_t port = 0;
    serveOn(listenOnFreePort(port), std::move(handler));
    return port;
}

Server::Server(Handler handler)
    : handler_(std::move(handler))
{
    const int listener = listenOnFreePort(port_);
    setFlag(listener, SOL_SOCKET, SO_REUSEADDR);
    listener_ = listener;
    std::thread([this, listener] { accept(listener); }).detach();
}

std::uint16_t Server::port() const
{
    return port_;
}

void Server::accept(int listener)
{
    for (;;) {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (listener_ != listener) {
                ::close(socket);
                return;
            }
            connections_.insert(socket);
        }
        std::thread([this, socket] {
            serveConnection(socket, handler_);
            const std::lock_guard<std::mutex> lock(mutex_);
            connections_.erase(socket);
            ::close(socket);
        }).detach();
    }
}

void Server::close()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    listener_ = -1;
    for (const int socket : connections_) {
        shutdown(socket, SHUT_RDWR);
    }
}

void Server::open()
{
    const int listener = openSocket();
    setFlag(listener, SOL_SOCKET, SO_REUSEADDR);
    const sockaddr_in address = loopback(port_);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(listener, SOMAXCONN) != 0) {
        throw std::runtime_error("cannot listen again");
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    listener_ = listener;
    std::thread([this, listener] { accept(listener); }).detach();
}

Reply call(std::uint16_t port,
           const std::string &method,
           const std::string &path,
           const std::string &body,
           const std::map<std::string, std::string> &headers,
           std::int64_t timeoutMillis)
{
    constexpr std::int64_t millisPerSecond = 1000;
    const int socket = connectTo(port);
    if (socket < 0) {
        return {};
    }
    const timeval timeout{timeoutMillis / millisPerSecond, (timeoutMillis % millisPerSecond) * millisPerSecond};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    std::string text = method + " " + path + " HTTP/1.1\r\nContent-Type: application/json\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (headers.count("Host") == 0) {
        text += "Host: 127.0.0.1\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    Reply reply;
    std::string buffer;
    std::string line;
    std::map<std::string, std::string> answered;
    if (sendAll(socket, text) && readMessage(socket, buffer, line, answered, reply.body_)) {
        reply.status_ = std::stoi(line.substr(line.find(' ') + 1));
    }
    close(socket);
    return reply;
}

namespace {

constexpr char base64Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

std::string toBase64(const std::string &bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j <= bytes.size() ? base64Digits[(group >> (18U - 6U * j)) & 63U] : '=';
        }
    }
    return out;
}

std::string fromBase64(const std::string &text)
{
    const std::string digits = base64Digits;
    std::string out;
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const char c : text) {
        const std::size_t value = digits.find(c);
        if (value == std::string::npos) {
            break;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>((bits >> count) & 255U);
        }
    }
    return out;
}

} // namespace review
