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
#include <vector>

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
            if (error || !self->attack_.part_ || self->partBytes_ >= self->attack_.maxBytes_) {
                self->finished_ = true;
                return;
            }
            std::string part = self->attack_.part_(self->number_, self->parts_++);
            self->partBytes_ += part.size();
            self->write(std::move(part));
        });
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(received_), [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
            if (!error) {
                self->read();
            }
        });
    }

    tcp::socket socket_;
    const Attack &attack_;
    std::size_t number_;
    std::size_t &totalBytes_;
    std::size_t partBytes_ = 0;
    std::size_t parts_ = 0;
    std::string pending_;
    std::array<char, 4096> received_{};
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

Use runAttack(std::uint16_t port, pid_t process, const Attack &attack, const std::function<void()> &whileOpen)
{
    asio::io_context io;
    Use use;
    std::size_t totalBytes = 0;
    std::vector<std::shared_ptr<Client>> clients;
    for (std::size_t number = 0; number < attack.clients_; ++number) {
        clients.push_back(std::make_shared<Client>(io, attack, number, totalBytes));
        clients.back()->start(port);
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
        sampleUse(process, use);
    }
    // What was sent last may still be on its way.
    const auto settled = std::chrono::steady_clock::now() + maxStall;
    while (std::chrono::steady_clock::now() < settled) {
        io.run_for(samplePeriod);
        io.restart();
        sampleUse(process, use);
    }
    if (whileOpen) {
        whileOpen();
    }
    sampleUse(process, use);
    return use;
}

} // namespace ibiswall::system
