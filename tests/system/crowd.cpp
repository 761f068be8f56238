// Uses Asio directly, so that the clients share no code with the program under test.

#include "crowd.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string_view>

namespace ibiswall::system {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// An attack ends when no client has sent anything for this long, since a process may leave input unread.
constexpr std::chrono::milliseconds maxStall(1000);
constexpr std::chrono::milliseconds samplePeriod(20);

class Client : public std::enable_shared_from_this<Client>
{
public:
    Client(asio::io_context &io, const Attack &attack, std::size_t number, std::size_t &totalBytes)
        : socket_(io)
        , attack_(attack)
        , number_(number)
        , totalBytes_(totalBytes)
    {
    }

    void start(std::uint16_t port)
    {
        socket_.async_connect({asio::ip::address_v4::loopback(), port}, [self = shared_from_this()](error_code error) {
            if (error) {
                self->finished_ = true;
                return;
            }
            if (self->attack_.reads_) {
                self->read();
            }
            self->write(self->attack_.head_ ? self->attack_.head_(self->number_) : std::string());
        });
    }

    bool isFinished() const
    {
        return finished_;
    }

private:
    void write(std::string bytes)
    {
        pending_ = std::move(bytes);
        asio::async_write(socket_, asio::buffer(pending_), [self = shared_from_this()](error_code error, std::size_t bytesSent) {
            self->totalBytes_ += bytesSent;
            if (error || !self->attack_.part_) {
                self->finished_ = true;
                return;
            }
            self->written_ = true;
            self->writeNextPart();
        });
    }

    // Replies to the head are not counted.
    void writeNextPart()
    {
        if (!written_ || replies_ < parts_ * attack_.repliesPerPart_) {
            return;
        }
        if (partBytes_ >= attack_.maxBytes_) {
            finished_ = true;
            return;
        }
        written_ = false;
        std::string part = attack_.part_(number_, parts_++);
        partBytes_ += part.size();
        write(std::move(part));
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(received_), [self = shared_from_this()](error_code error, std::size_t bytes) {
            if (!error) {
                self->countReplies({self->received_.data(), bytes});
                self->read();
            }
        });
    }

    void countReplies(std::string_view bytes)
    {
        if (attack_.repliesPerPart_ == 0) {
            return;
        }
        constexpr std::string_view status = "HTTP/1.1 ";
        unread_ += bytes;
        std::size_t at = 0;
        for (std::size_t found = 0; (found = unread_.find(status, at)) != std::string::npos; at = found + status.size()) {
            ++replies_;
        }
        // The rest may be the begin of a status line.
        unread_.erase(0, std::max(at, unread_.size() - std::min(unread_.size(), status.size() - 1)));
        writeNextPart();
    }

    tcp::socket socket_;
    const Attack &attack_;
    std::size_t number_;
    std::size_t &totalBytes_;
    std::size_t partBytes_ = 0;
    std::size_t parts_ = 0;
    std::string pending_;
    std::array<char, 4096> received_{};
    /// Whether everything that was to be sent so far has been sent.
    bool written_ = false;
    std::size_t replies_ = 0;
    /// Received bytes in which replies have not been counted.
    std::string unread_;
    bool finished_ = false;
};

} // namespace

void sampleUse(pid_t process, Use &use)
{
    const std::filesystem::path folder = "/proc/" + std::to_string(process);
    std::ifstream status(folder / "status");
    for (std::string word; status >> word;) {
        if (word == "VmRSS:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            use.rssKilobytes_ = std::max(use.rssKilobytes_, kilobytes);
            break;
        }
    }
    std::error_code error;
    const std::filesystem::directory_iterator files(folder / "fd", error);
    if (!error) {
        use.descriptors_ = std::max(use.descriptors_, static_cast<std::size_t>(std::distance(begin(files), end(files))));
    }
}

Use peakUse(pid_t process)
{
    Use use;
    sampleUse(process, use);
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            status >> use.rssKilobytes_;
            break;
        }
    }
    return use;
}

std::string requestHead(const std::string &line, const std::string &fields)
{
    return line + " HTTP/1.1\r\nHost: desk.example\r\n" + fields;
}

std::string withBody(const std::string &head, const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Use runAttack(std::uint16_t port, pid_t process, const Attack &attack, const std::function<void()> &whileOpen)
{
    return runAttack(std::vector<std::uint16_t>{port}, std::vector<pid_t>{process}, attack, whileOpen).front();
}

std::vector<Use> runAttack(const std::vector<std::uint16_t> &ports,
                           const std::vector<pid_t> &processes,
                           const Attack &attack,
                           const std::function<void()> &whileOpen)
{
    asio::io_context io;
    std::vector<Use> uses(processes.size());
    const auto sample = [&] {
        for (std::size_t i = 0; i < processes.size(); ++i) {
            sampleUse(processes[i], uses[i]);
        }
    };
    std::size_t totalBytes = 0;
    std::vector<std::shared_ptr<Client>> clients;
    for (std::size_t number = 0; number < attack.clients_; ++number) {
        clients.push_back(std::make_shared<Client>(io, attack, number, totalBytes));
        clients.back()->start(ports[number % ports.size()]);
    }
    std::size_t lastBytes = 0;
    auto lastProgress = std::chrono::steady_clock::now();
    const auto isDone = [&] {
        const auto now = std::chrono::steady_clock::now();
        if (totalBytes != std::exchange(lastBytes, totalBytes)) {
            lastProgress = now;
        }
        return now > lastProgress + maxStall
            || std::all_of(clients.begin(), clients.end(), [](const auto &client) { return client->isFinished(); });
    };
    while (!isDone()) {
        io.run_for(samplePeriod);
        io.restart();
        sample();
    }
    // What was sent last may still be on its way.
    const auto settled = std::chrono::steady_clock::now() + maxStall;
    while (std::chrono::steady_clock::now() < settled) {
        io.run_for(samplePeriod);
        io.restart();
        sample();
    }
    if (whileOpen) {
        whileOpen();
    }
    sample();
    return uses;
}

} // namespace ibiswall::system
