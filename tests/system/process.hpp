// Child processes of system tests.

#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace ibiswall::system {

/// A child process, killed on destruction if it still runs.
class Process
{
public:
    /// Starts a program and waits for its first line of output; throws std::runtime_error if it cannot be started.
    /// @param errorFile file to which standard error is appended; empty to inherit it
    explicit Process(const std::vector<std::string> &command, const std::string &errorFile = {});
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// First line of the standard output, without the line break.
    const std::string &firstLine() const;

    /// Output after the first line that is still in the pipe. It holds the beginning of the output, since nothing else reads it.
    std::string unreadOutput() const;

    /// Whether the process has not ended yet.
    bool isRunning() const;

    /// Process id, or -1 after wait() or kill().
    pid_t pid() const;

    void signal(int number) const;

    /// Waits for the process to exit.
    /// @return the exit code, or -1 if a signal ended the process
    int wait();

    /// Sends SIGKILL and waits for the process to exit.
    void kill();

private:
    pid_t pid_ = -1;
    int output_ = -1;
    std::string firstLine_;
};

/// Finds an unused TCP port of 127.0.0.1 outside the ephemeral range, so that no outgoing connection occupies it.
/// Never returns the same port twice within a process, and reserves it for the children of this process until it exits.
std::uint16_t freePort();

} // namespace ibiswall::system
