// Reads /proc and the output of ss.

#include "usage.hpp"

#include <array>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <unistd.h>

namespace ibiswall::bench {

namespace {

// Fields of /proc/PID/stat that follow the command's closing bracket.
constexpr int fieldsBeforeUserTime = 11;
constexpr int fieldsBetweenSystemTimeAndResident = 8;

std::uint64_t numberAfter(const std::string &text, const std::string &label)
{
    const auto found = text.find(label);
    return found == std::string::npos ? 0 : std::stoull(text.substr(found + label.size()));
}

} // namespace

Usage readUsage(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream in(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < fieldsBeforeUserTime; ++i) {
        in >> skipped;
    }
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    in >> user >> system;
    for (int i = 0; i < fieldsBetweenSystemTimeAndResident; ++i) {
        in >> skipped;
    }
    std::uint64_t pages = 0;
    in >> pages;
    return {static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
            pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE))};
}

LinkBytes readLinkBytes(std::uint16_t port)
{
    const std::string command = "ss -tinHO state established sport = :" + std::to_string(port);
    const std::unique_ptr<FILE, int (*)(FILE *)> pipe(popen(command.c_str(), "r"), pclose);
    LinkBytes sum;
    std::array<char, 4096> line{};
    while (pipe && fgets(line.data(), static_cast<int>(line.size()), pipe.get()) != nullptr) {
        const std::string text(line.data());
        sum.received_ += numberAfter(text, "bytes_received:");
        sum.sent_ += numberAfter(text, "bytes_sent:");
    }
    return sum;
}

} // namespace ibiswall::bench
