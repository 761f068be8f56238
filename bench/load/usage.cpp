// Reads process usage from /proc and link traffic from the output of ss.

#include "usage.hpp"

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>

namespace ibiswall::bench {

namespace {

// Processor time of a thread in seconds. schedstat counts nanoseconds.
double threadSeconds(const std::filesystem::path &thread)
{
    constexpr double nanosPerSecond = 1e9;
    double nanos = 0;
    std::ifstream(thread / "schedstat") >> nanos;
    return nanos / nanosPerSecond;
}

// Number that follows a label, or 0 if the label is absent.
std::uint64_t numberAfter(const std::string &text, const std::string &label)
{
    const auto found = text.find(label);
    return found == std::string::npos ? 0 : std::stoull(text.substr(found + label.size()));
}

} // namespace

Usage readUsage(pid_t pid)
{
    const std::filesystem::path process = "/proc/" + std::to_string(pid);
    Usage usage;
    for (const auto &thread : std::filesystem::directory_iterator(process / "task")) {
        usage.cpuSeconds_ += threadSeconds(thread.path());
    }
    std::uint64_t total = 0;
    std::uint64_t pages = 0;
    std::ifstream(process / "statm") >> total >> pages;
    usage.residentBytes_ = pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return usage;
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
        sum.segments_ += numberAfter(text, "segs_in:") + numberAfter(text, "segs_out:");
    }
    return sum;
}

} // namespace ibiswall::bench
