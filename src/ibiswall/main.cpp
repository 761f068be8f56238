// Entry point of the ibiswall program.

#include <csignal>
#include <ibiswall/cli.hpp>

int main(int argc, char **argv)
{
    // Writing to a socket that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return ibiswall::runCommand(arguments);
}
