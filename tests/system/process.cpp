// Starts child processes with posix_spawn.

#include "process.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <random>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace ibiswall::system {

namespace {

std::string readLine(int file)
{
    std::string line;
    char byte = 0;
    while (read(file, &byte, 1) == 1 && byte != '\n') {
        line += byte;
    }
    return line;
}

} // namespace

Process::Process(const std::vector<std::string> &command, const std::string &errorFile)
{
    int pipeEnds[2];
    if (pipe(pipeEnds) != 0) {
        throw std::runtime_error("pipe failed");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, pipeEnds[0]);
    posix_spawn_file_actions_addclose(&actions, pipeEnds[1]);
    if (!errorFile.empty()) {
        constexpr mode_t ownerOnly = 0600;
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, ownerOnly);
    }
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    const int spawnError = posix_spawn(&pid_, command[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    output_ = pipeEnds[0];
    if (spawnError != 0) {
        throw std::runtime_error("cannot start " + command[0]);
    }
    firstLine_ = readLine(output_);
}

Process::~Process()
{
    kill();
    if (output_ >= 0) {
        close(output_);
    }
}

Process::Process(Process &&other) noexcept
    : pid_(std::exchange(other.pid_, -1))
    , output_(std::exchange(other.output_, -1))
    , firstLine_(std::move(other.firstLine_))
{
}

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(output_, other.output_);
    std::swap(firstLine_, other.firstLine_);
    return *this;
}

const std::string &Process::firstLine() const
{
    return firstLine_;
}

std::string Process::unreadOutput() const
{
    std::string output;
    int available = 0;
    while (ioctl(output_, FIONREAD, &available) == 0 && available > 0) {
        const std::size_t size = output.size();
        output.resize(size + static_cast<std::size_t>(available));
        const ssize_t got = read(output_, output.data() + size, static_cast<std::size_t>(available));
        output.resize(size + static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    }
    return output;
}

bool Process::isRunning() const
{
    siginfo_t info{};
    return pid_ > 0 && waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == 0;
}

pid_t Process::pid() const
{
    return pid_;
}

void Process::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

int Process::wait()
{
    if (pid_ <= 0) {
        return -1;
    }
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Process::kill()
{
    signal(SIGKILL);
    wait();
}

std::uint16_t freePort()
{
    constexpr int first = 10000;
    constexpr int last = 30000;
    static std::mt19937 random(std::random_device{}());
    static std::set<int> tried;
    for (;;) {
        const int port = std::uniform_int_distribution<int>(first, last)(random);
        if (!tried.insert(port).second) {
            continue;
        }
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            close(socket);
            continue;
        }
        // The socket stays bound, so that no other test process gets the port before a child listens or while a child restarts. With
        // this option a child can listen nevertheless.
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        return static_cast<std::uint16_t>(port);
    }
}

} // namespace ibiswall::system
