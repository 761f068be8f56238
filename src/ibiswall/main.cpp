// Entry point of the one binary.

#include <csignal>
#include <ibiswall/cli.hpp>

int main(int argc, char **argv)
{
    // A peer that closes its socket must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return ibiswall::runCommand(arguments);
}
